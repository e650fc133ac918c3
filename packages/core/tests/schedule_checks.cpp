#include "core/tests/schedule_checks.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kTolerance = std::chrono::milliseconds(5);

std::string
NameOf(const ProcessId& aProcess)
{
  return aProcess.m_name + "/" + std::to_string(aProcess.m_incarnation.m_value);
}

} // namespace

std::string
WorkOf(const std::string& aPayload)
{
  return aPayload.substr(0, aPayload.find('#'));
}

std::string
OutputOf(const std::string& aPayload)
{
  return "output of " + aPayload;
}

void
ScheduleChecks::Fail(const std::string& aViolation)
{
  if (m_violation.empty()) {
    m_violation = aViolation;
  }
}

void
ScheduleChecks::Submitted(ScheduledSubmission aSubmission)
{
  if (aSubmission.m_repeatable) {
    for (const std::string& payload : aSubmission.m_payloads) {
      m_repeatable.insert(WorkOf(payload));
    }
  }
  // CallerAnswered() adds all pauses of the entry, so those before the
  // submission are subtracted here.
  aSubmission.m_submittedAt -= m_pausedFor[aSubmission.m_entry];
  m_submissions.emplace(aSubmission.m_caller, std::move(aSubmission));
}

void
ScheduleChecks::RunStarted(RunId aRun, const std::string& aPayload)
{
  const bool firstStart = m_startedRuns.insert(aRun).second;
  ++m_startsByPayload[aPayload];
  const std::string work = WorkOf(aPayload);
  const std::uint32_t starts = ++m_startsByWork[work];
  if (!firstStart) {
    Fail("run " + std::to_string(aRun.m_value) + " started twice");
  }
  if (starts > 1 && !m_repeatable.contains(work)) {
    Fail("non-repeatable work started more than once: " + aPayload);
  }
}

void
ScheduleChecks::CallerAnswered(CallerToken aCaller,
                               const Answer& aAnswer,
                               Instant aNow)
{
  const std::string name = "caller " + std::to_string(aCaller.m_value);
  const auto found = m_submissions.find(aCaller);
  if (found == m_submissions.end()) {
    Fail(name + " was answered but never submitted");
    return;
  }
  if (!m_answers.emplace(aCaller, aAnswer).second) {
    Fail(name + " was answered twice");
    return;
  }
  const ScheduledSubmission& submission = found->second;
  const Instant latest = submission.m_submittedAt + submission.m_deadline +
                         m_pausedFor[submission.m_entry] + kTolerance;
  if (aNow > latest) {
    Fail(name + " was answered at " +
         std::to_string(aNow.time_since_epoch().count()) + " us, expected by " +
         std::to_string(latest.time_since_epoch().count()) + " us");
  }
  if (aAnswer.m_kind == ErrorKind::None) {
    ++m_complete;
    CheckOutputs(submission, aAnswer);
  } else if (!aAnswer.m_outputs.empty()) {
    Fail(name + ": expected no outputs with an error, got " +
         std::to_string(aAnswer.m_outputs.size()));
  }
}

void
ScheduleChecks::CheckOutputs(const ScheduledSubmission& aSubmission,
                             const Answer& aAnswer)
{
  const std::string name =
    "caller " + std::to_string(aSubmission.m_caller.m_value);
  if (aAnswer.m_outputs.size() != aSubmission.m_payloads.size()) {
    Fail(name + " got " + std::to_string(aAnswer.m_outputs.size()) + " of " +
         std::to_string(aSubmission.m_payloads.size()) + " outputs");
    return;
  }
  for (std::size_t i = 0; i < aAnswer.m_outputs.size(); ++i) {
    const std::string& output = aAnswer.m_outputs[i];
    const std::string expected = OutputOf(aSubmission.m_payloads[i]);
    const bool matches = aSubmission.m_keyed
                           ? WorkOf(output) == WorkOf(expected)
                           : output == expected;
    if (!matches) {
      std::string violation = name;
      violation.append(" got '").append(output).append("' instead of '");
      Fail(violation.append(expected).append("'"));
    }
  }
}

void
ScheduleChecks::EntryCrashed(const ProcessId& aEntry)
{
  m_crashedEntries.insert(aEntry);
}

void
ScheduleChecks::EntryEnded(const ProcessId& aEntry)
{
  for (const auto& [caller, submission] : m_submissions) {
    if (submission.m_entry == aEntry && !m_answers.contains(caller)) {
      Fail(NameOf(aEntry) + " ended without an answer to caller " +
           std::to_string(caller.m_value));
    }
  }
}

void
ScheduleChecks::EntryPaused(const ProcessId& aEntry, Duration aFor)
{
  m_pausedFor[aEntry] += aFor;
}

void
ScheduleChecks::ConfigInForce(const ProcessId& aProcess, ConfigVersion aVersion)
{
  ConfigVersion& last = m_configs[aProcess];
  if (aVersion < last) {
    Fail(NameOf(aProcess) + " applied configuration " +
         std::to_string(aVersion.m_value) + " after " +
         std::to_string(last.m_value));
  }
  last = aVersion;
}

void
ScheduleChecks::CheckFinalState()
{
  for (const auto& [caller, submission] : m_submissions) {
    const auto answer = m_answers.find(caller);
    if (answer == m_answers.end()) {
      if (!m_crashedEntries.contains(submission.m_entry)) {
        Fail("caller " + std::to_string(caller.m_value) +
             " was never answered");
      }
      continue;
    }
    switch (answer->second.m_execution) {
      case Execution::NotRun:
        CheckNotRun(submission);
        break;
      case Execution::Ran:
        CheckRan(submission);
        break;
      case Execution::MayHaveRun:
        break;
    }
  }
}

bool
ScheduleChecks::HasStarted(const std::string& aPayload,
                           bool aAnySubmission) const
{
  return aAnySubmission ? m_startsByWork.contains(WorkOf(aPayload))
                        : m_startsByPayload.contains(aPayload);
}

void
ScheduleChecks::CheckNotRun(const ScheduledSubmission& aSubmission)
{
  for (const std::string& payload : aSubmission.m_payloads) {
    if (HasStarted(payload, false)) {
      Fail("answered not-run, but a run was started: " + payload);
    }
  }
}

void
ScheduleChecks::CheckRan(const ScheduledSubmission& aSubmission)
{
  const bool anyStarted =
    std::any_of(aSubmission.m_payloads.begin(),
                aSubmission.m_payloads.end(),
                [this, &aSubmission](const std::string& aPayload) {
                  return HasStarted(aPayload, aSubmission.m_keyed);
                });
  if (!anyStarted) {
    Fail("answered ran, but no run was started: " +
         aSubmission.m_payloads.front());
  }
}

} // namespace mulberrysail::core
