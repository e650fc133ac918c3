#pragma once

#include "support/cluster.h"
#include "support/journalchecker.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <set>
#include <string>
#include <vector>

namespace mulberrysail::testsupport {

/** Callers with one request each, in turn at the entries. A request that was
 * proved not to have run because its entry drains or is gone is submitted again
 * at the next entry. For one thread. */
class CallerLoad
{
public:
  /** @param aEntries number of entries; requests go to each in turn,
   * as a balancer sends them. */
  CallerLoad(Cluster& aCluster, std::uint32_t aEntries);

  /** Sets whether the balancer sends new requests to an entry. */
  void SetInBalancer(std::uint32_t aEntry, bool aIn);

  /** Starts requests till @p aCount are open. */
  void Fill(std::size_t aCount);

  /** Starts one request at an entry, counted from 1. */
  void Submit(std::uint32_t aEntry);

  /** Takes answers that have come.
   * @return whether all requests are answered. */
  bool Pump();

  std::size_t Submitted() const { return m_submitted; }
  std::size_t Complete() const { return m_complete; }
  std::size_t Retries() const { return m_retries; }

  /** @return the answers of requests that came to nothing. */
  const std::string& Failures() const { return m_failures; }

  /** @return what in the journals and answers breaks an invariant. */
  std::vector<std::string> Violations() const;

private:
  struct OpenRequest
  {
    SubmittedWork m_work;
    std::uint32_t m_entry = 0;
    std::uint32_t m_tries = 0;
    std::chrono::milliseconds m_run{ 0 };
    std::future<network::HttpOutcome> m_outcome;
  };

  std::uint32_t NextEntry();
  void Start(OpenRequest aRequest, const std::string& aId);
  void Take(OpenRequest aRequest);

  Cluster& m_cluster;
  std::uint32_t m_entries;
  std::uint32_t m_lastEntry = 0;
  std::set<std::uint32_t> m_outOfBalancer;
  std::vector<OpenRequest> m_open;
  std::vector<CallerAnswer> m_answers;
  std::size_t m_submitted = 0;
  std::size_t m_complete = 0;
  std::size_t m_retries = 0;
  std::string m_failures;
};

} // namespace mulberrysail::testsupport
