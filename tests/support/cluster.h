#pragma once

#include "support/blockinghttp.h"
#include "support/clusterlayout.h"
#include "support/journalchecker.h"
#include "support/temporarydirectory.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace mulberrysail::testsupport {

/** A whole system of real processes on this machine, with stand-ins for the
 * platform. All are ended with it. */
class Cluster
{
public:
  explicit Cluster(const ClusterOptions& aOptions);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /** Starts all processes, puts the first configuration in force and waits
   * till each entry knows all endpoints and workers.
   * @throws std::runtime_error with the logs if it isn't ready in time. */
  void Start();

  /** @return the process of a member.
   * @throws std::out_of_range if it was never started. */
  Process& Member(const std::string& aName) { return *m_processes.at(aName); }

  /** Starts a member again, as a new process with the same settings. */
  void Restart(const std::string& aName);

  /** Waits till each entry that runs knows @p aEndpoints endpoints and
   * @p aWorkers workers. @return whether it came to that. */
  bool WaitKnown(std::size_t aEndpoints,
                 std::size_t aWorkers,
                 std::chrono::milliseconds aTimeout);

  /** Sets the faults of a link; see standin_proxy. */
  void SetLink(const std::string& aLink, nlohmann::json aFaults);

  /** Sets the faults of a stand-in. */
  void Control(const std::string& aMember, const nlohmann::json& aFaults);

  /** Adds what endpoints and workers have journaled so far. */
  void AddJournals(JournalChecker& aChecker) const;

  /** @return the last lines of each log. */
  std::string Logs() const;

  BlockingHttp& Http() { return m_http; }
  const ClusterLayout& Layout() const { return m_layout; }

private:
  void StartMember(const MemberSpec& aSpec);
  void Configure();
  bool EntryKnows(const std::string& aEntry,
                  std::size_t aEndpoints,
                  std::size_t aWorkers);
  void FailUnless(bool aReady, const char* aWhat) const;

  ClusterOptions m_options;
  TemporaryDirectory m_directory;
  ClusterLayout m_layout;
  BlockingHttp m_http;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

} // namespace mulberrysail::testsupport
