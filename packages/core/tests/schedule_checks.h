#pragma once

#include "core/types/answer.h"
#include "core/types/ids.h"
#include "core/types/messages.h"
#include "core/types/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** A submission of a caller. A payload is the name of the work, '#' and the
 * number of the submission of this work. */
struct ScheduledSubmission
{
  CallerToken m_caller;
  ProcessId m_entry;
  Instant m_submittedAt;
  Duration m_deadline{};
  bool m_repeatable = false;
  /** The outcome of another submission of the same work may answer it. */
  bool m_keyed = false;
  std::vector<std::string> m_payloads;
};

/** Checks the invariants of the system. Only the first violation is kept. */
class ScheduleChecks
{
public:
  void Submitted(ScheduledSubmission aSubmission);
  void RunStarted(RunId aRun, const std::string& aPayload);
  void CallerAnswered(CallerToken aCaller, const Answer& aAnswer, Instant aNow);

  /** Exempts the callers of a crashed incarnation of an entry: they can no
   * longer be answered. */
  void EntryCrashed(const ProcessId& aEntry);
  /** Checks that an entry that ended after draining has answered all callers.
   */
  void EntryEnded(const ProcessId& aEntry);
  /** Extends the time limits of an entry's answers by a pause, in which it
   * cannot answer. */
  void EntryPaused(const ProcessId& aEntry, Duration aFor);
  /** Checks that a process never returns to an older configuration. */
  void ConfigInForce(const ProcessId& aProcess, ConfigVersion aVersion);

  /** Checks all answers once no further event is due. */
  void CheckFinalState();

  void Fail(const std::string& aViolation);
  bool Failed() const { return !m_violation.empty(); }
  const std::string& Violation() const { return m_violation; }
  std::size_t Answers() const { return m_answers.size(); }
  /** @return the number of answers without an error. */
  std::size_t Complete() const { return m_complete; }

private:
  void CheckOutputs(const ScheduledSubmission& aSubmission,
                    const Answer& aAnswer);
  void CheckNotRun(const ScheduledSubmission& aSubmission);
  void CheckRan(const ScheduledSubmission& aSubmission);
  bool HasStarted(const std::string& aPayload, bool aAnySubmission) const;

  std::map<CallerToken, ScheduledSubmission> m_submissions;
  std::map<CallerToken, Answer> m_answers;
  std::set<ProcessId> m_crashedEntries;
  std::map<ProcessId, Duration> m_pausedFor;
  std::map<ProcessId, ConfigVersion> m_configs;
  std::set<RunId> m_startedRuns;
  std::map<std::string, std::uint32_t> m_startsByPayload;
  std::map<std::string, std::uint32_t> m_startsByWork;
  std::set<std::string> m_repeatable;
  std::size_t m_complete = 0;
  std::string m_violation;
};

/** @return the name of the work in a payload or an output. */
std::string
WorkOf(const std::string& aPayload);

/** @return the output of a backend for a payload. */
std::string
OutputOf(const std::string& aPayload);

} // namespace mulberrysail::core
