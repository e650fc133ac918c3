#pragma once

#include "core/iagent.h"
#include "core/ientry.h"
#include "core/tests/schedule_backends.h"
#include "core/tests/schedule_checks.h"
#include "core/tests/schedule_clock.h"
#include "core/tests/schedule_drains.h"
#include "core/tests/schedule_network.h"
#include "core/tests/schedule_plan.h"
#include "core/tests/schedule_process.h"
#include "core/tests/schedule_random.h"

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** Simulates entries, agents, network and backends in one thread, on a virtual
 * clock. */
class ScheduleCluster
{
public:
  using EntryProcess = ScheduleProcess<IEntry, EntryEvent, EntryCommands>;
  using AgentProcess = ScheduleProcess<IAgent, AgentEvent, AgentCommands>;

  /** @param aTrace receives a line for each step; may be null. */
  ScheduleCluster(const SchedulePlan& aPlan, std::ostream* aTrace);

  /** Starts all processes and the periodic announcements of endpoints and
   * workers. */
  void Boot();
  /**
   * Runs all actions due until @p aEnd.
   * @return false if a check failed or the step limit was exceeded.
   */
  bool RunUntil(Instant aEnd);
  /** Checks the invariants that hold once no further event is due. */
  void CheckFinalState();

  // Callers
  /** @return the index of a random entry that accepts submissions, if any. */
  std::optional<std::size_t> RandomReadyEntry();
  void Submit(std::size_t aEntry,
              EntryEvent aEvent,
              ScheduledSubmission aSubmission);
  /** After @p aAfter, disconnects @p aCaller or cancels its submission, at
   * random. The submission must be the last submitted. */
  void CancelLater(std::size_t aEntry, CallerToken aCaller, Duration aAfter);

  // Faults and operators
  void CutLink();
  void CrashAgent();
  void CrashEntry();
  void Pause();
  void CrashBackend();
  void DrainAgent();
  void DrainEntry();
  void PatchConfig();
  /** Drains a random zone, or returns it to service. */
  void DrainZone();

  ScheduleClock& Clock() { return m_clock; }
  ScheduleRandom& Random() { return m_random; }
  ScheduleChecks& Checks() { return m_checks; }
  ScheduleNetwork& Network() { return m_network; }
  std::uint64_t Steps() const { return m_steps; }
  std::uint64_t Forwarded() const { return m_forwarded; }

private:
  void BootEntry(std::size_t aEntry);
  void BootAgent(std::size_t aAgent);
  void AnnounceEntries();
  void ConnectEntry(std::size_t aEntry);
  void AnnounceEndpoint(std::size_t aAgent);
  void AnnounceWorker(std::size_t aWorker);
  /** Samples the processor usage of an entry; the first entry is busy. */
  void SampleProcessor(std::size_t aEntry);

  void ExecuteEntry(std::size_t aEntry, EntryCommands& aCommands);
  void ExecuteAgent(std::size_t aAgent, AgentCommands& aCommands);
  void DeliverAnswer(const ProcessId& aEntry, const AnswerCaller& aAnswer);
  void ApplyDenyRun(Message& aMessage) const;
  void ApplyOmitDrains(Message& aMessage) const;
  /** Passes the store's list of drained zones to the entry. */
  void InformOfDrains(std::size_t aEntry, const ZoneDrains& aDrains);
  /** Checks that the agent may start a run: its zone isn't drained, or the
   * agent need not know of it yet. */
  void CheckStartInZone(std::size_t aAgent);
  /** Checks that all processes have the same list of drained zones. */
  void CheckDrainCopies();
  void CheckConfigVersion(const ProcessId& aProcess,
                          const RecordEvent& aRecord);
  void StopDrainedProcesses();
  void RestartAgentLater(std::size_t aAgent);
  void Deliver(const ProcessId& aTo, MessageReceived aMessage);
  void LinkUp(const std::string& aLeft, const std::string& aRight);
  /** Checks that all agents know the newest version and some have a copy. */
  void CheckConfigCopies();
  void ApplyConfig(std::size_t aEntry, ConfigVersion aVersion);
  ConfigChanged ConfigOf(ConfigVersion aVersion) const;
  void Trace(const std::string& aText);

  EntryProcess* FindEntry(const std::string& aName);
  AgentProcess* FindAgent(const std::string& aName);

  const SchedulePlan m_plan;
  std::ostream* m_trace;
  ScheduleClock m_clock;
  ScheduleRandom m_random;
  ScheduleChecks m_checks;
  ScheduleNetwork m_network;
  ScheduleBackends m_backends;
  std::vector<std::unique_ptr<EntryProcess>> m_entries;
  std::vector<std::unique_ptr<AgentProcess>> m_agents;
  std::vector<std::size_t> m_agentOfWorker;
  std::vector<bool> m_entryDraining;
  std::vector<bool> m_agentDraining;
  std::uint64_t m_nextIncarnation = 1;
  ConfigVersion m_config{ 1 };
  ScheduleDrains m_drains;
  std::string m_lastOutput = "output of nothing";
  /** Id of the last submission; zero if it was not admitted. */
  SubmissionId m_lastAdmitted;
  std::uint64_t m_steps = 0;
  std::uint64_t m_forwarded = 0;
};

} // namespace mulberrysail::core
