#pragma once

#include "support/cluster.h"
#include "support/journalchecker.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <vector>

namespace mulberrysail::testsupport {

/** Requests that are open at once, each with a payload of its own and none
 * repeatable, spread over the entries in turn. */
class RequestCrowd
{
public:
  /** @param aRun how long each request runs. */
  RequestCrowd(Cluster& aCluster,
               std::uint32_t aEntries,
               std::chrono::milliseconds aRun,
               std::chrono::milliseconds aDeadline);

  /** Starts requests named @p aName-0, -1 ... */
  void Submit(const std::string& aName, std::uint32_t aCount);

  /** Waits for all answers.
   * @return the number of complete ones so far. */
  std::size_t Collect();

  /** @return what in the journals and answers breaks an invariant. */
  std::vector<std::string> Violations() const;

  /** @return the body of an answer that isn't complete, if there is one. */
  const std::string& FirstFailure() const { return m_firstFailure; }

private:
  struct OpenRequest
  {
    SubmittedWork m_work;
    std::future<network::HttpOutcome> m_outcome;
  };

  Cluster& m_cluster;
  std::uint32_t m_entries;
  std::chrono::milliseconds m_run;
  std::chrono::milliseconds m_deadline;
  std::vector<OpenRequest> m_open;
  std::vector<CallerAnswer> m_answers;
  std::string m_firstFailure;
  std::size_t m_complete = 0;
};

} // namespace mulberrysail::testsupport
