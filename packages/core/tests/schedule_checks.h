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
  Instant m_handedIn;
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
  void HandedIn(ScheduledSubmission aSubmission);
  void Started(RunId aRun, const std::string& aPayload);
  void Answered(CallerToken aCaller, const Answer& aAnswer, Instant aNow);

  /** The callers of this life of an entry can't be answered any more. */
  void EntryCrashed(const ProcessId& aEntry);
  /** An entry that drained says that it is done. */
  void EntryEnded(const ProcessId& aEntry);
  /** Nothing can be answered while its entry is paused. */
  void Paused(const ProcessId& aEntry, Duration aFor);
  void ConfigInForce(const ProcessId& aProcess, ConfigVersion aVersion);

  /** Nothing will happen any more. */
  void Finish();

  void Fail(const std::string& aBreach);
  bool Failed() const { return !m_breach.empty(); }
  const std::string& Breach() const { return m_breach; }
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
  std::set<ProcessId> m_crashed;
  std::map<ProcessId, Duration> m_paused;
  std::map<ProcessId, ConfigVersion> m_configs;
  std::set<RunId> m_runs;
  std::map<std::string, std::uint32_t> m_starts;
  std::map<std::string, std::uint32_t> m_startsOfWork;
  std::set<std::string> m_repeatable;
  std::size_t m_complete = 0;
  std::string m_breach;
};

/** @return the name of the piece of work in a payload. */
std::string
WorkOf(const std::string& aPayload);

/** @return what a back end answers to a payload. */
std::string
OutputOf(const std::string& aPayload);

} // namespace mulberrysail::core
