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

/** What a caller handed in. A payload is the name of the piece of work, '#'
 * and the number of the submission of it. */
struct ScheduledSubmission
{
  CallerToken m_caller;
  ProcessId m_entry;
  Instant m_submittedAt;
  Duration m_deadline{};
  bool m_repeatable = false;
  /** Other submissions of the same work may answer for it. */
  bool m_keyed = false;
  std::vector<std::string> m_payloads;
};

/** What must always hold. The first breach is kept. */
class ScheduleChecks
{
public:
  void Submitted(ScheduledSubmission aSubmission);
  void RunStarted(RunId aRun, const std::string& aPayload);
  void CallerAnswered(CallerToken aCaller, const Answer& aAnswer, Instant aNow);

  /** The callers of this life of an entry can't be answered any more. */
  void EntryCrashed(const ProcessId& aEntry);
  /** An entry that drained says that it is done. */
  void EntryEnded(const ProcessId& aEntry);
  /** Nothing can be answered while its entry is paused. */
  void Paused(const ProcessId& aEntry, Duration aFor);
  void ConfigInForce(const ProcessId& aProcess, ConfigVersion aVersion);

  /** Nothing will happen any more. */
  void CheckFinalState();

  void Fail(const std::string& aViolation);
  bool Failed() const { return !m_violation.empty(); }
  const std::string& Violation() const { return m_violation; }
  std::size_t Answers() const { return m_answers.size(); }
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

/** @return the name of the piece of work in a payload. */
std::string
WorkOf(const std::string& aPayload);

/** @return what a back end answers to a payload. */
std::string
OutputOf(const std::string& aPayload);

} // namespace mulberrysail::core
