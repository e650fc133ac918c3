#include "core/internal/agent/outcomes.h"

namespace mulberrysail::core::agent {

namespace {

/** Maximum number of unsent reports for an unreachable entry. The oldest are
 * dropped; the entry requests them again with a Reconcile. */
constexpr std::size_t kMaxUnsentReports = 4096;

/** @return the timeline event for a run that ended with @p aFate. */
EventCode
EventOfEnd(AttemptFate aFate)
{
  switch (aFate) {
    case AttemptFate::Completed:
      return EventCode::AttemptFinished;
    case AttemptFate::Lost:
      return EventCode::AttemptLost;
    case AttemptFate::Refused:
      return EventCode::AttemptRefused;
    default:
      return EventCode::AttemptFailed;
  }
}

} // namespace

void
Outcomes::EndQueued(Attempt& aAttempt, AttemptFate aFate, ErrorKind aKind)
{
  Queues(m_board).Remove(aAttempt);
  AttemptReport report;
  report.m_attempt = aAttempt.m_key.m_attempt;
  report.m_fate = aFate;
  report.m_kind = aKind;
  report.m_waitedFor = m_board.m_now - aAttempt.m_receivedAt;
  const bool revoked = aFate == AttemptFate::Revoked;
  ++(revoked ? m_board.m_counters.m_revoked
             : m_board.m_counters.m_offersRefused);
  RecordAttempt(m_board,
                revoked ? EventCode::AttemptRevoked : EventCode::AttemptRefused,
                report.m_attempt,
                aAttempt.m_offer,
                EventDetail()
                  .Add("cause", DescribeError(aKind).m_name)
                  .Add("waited_ms", report.m_waitedFor));
  CloseAttempt(aAttempt, std::move(report), false);
}

void
Outcomes::EndRun(Attempt& aAttempt,
                 AttemptFate aFate,
                 ErrorKind aKind,
                 std::string aOutput)
{
  AttemptReport report;
  report.m_attempt = aAttempt.m_key.m_attempt;
  report.m_fate = aFate;
  report.m_kind = aKind;
  report.m_ranFor = m_board.m_now - aAttempt.m_startedAt;
  report.m_waitedFor = aAttempt.m_startedAt - aAttempt.m_receivedAt;
  report.m_output = std::move(aOutput);
  report.m_warmingUp = aAttempt.m_startedWarmingUp;
  switch (aFate) {
    case AttemptFate::Completed:
      ++m_board.m_counters.m_completed;
      break;
    case AttemptFate::Failed:
      ++m_board.m_counters.m_failed;
      break;
    case AttemptFate::Lost:
      ++m_board.m_counters.m_lost;
      break;
    default:
      ++m_board.m_counters.m_offersRefused;
      break;
  }
  RecordAttempt(m_board,
                EventOfEnd(aFate),
                report.m_attempt,
                aAttempt.m_offer,
                EventDetail()
                  .Add("fate", FateName(aFate))
                  .Add("cause", DescribeError(aKind).m_name)
                  .Add("worker", aAttempt.m_worker)
                  .Add("start", aAttempt.m_runName.m_startNumber)
                  .Add("waited_ms", report.m_waitedFor)
                  .Add("ran_ms", report.m_ranFor));
  m_board.m_attempts.m_byRun.erase(aAttempt.m_run);
  const bool ran = aFate != AttemptFate::Refused;
  CloseAttempt(aAttempt, std::move(report), ran);
}

void
Outcomes::RefuseOffer(const AttemptKey& aKey,
                      const Offer& aOffer,
                      ErrorKind aKind)
{
  AttemptReport report;
  report.m_attempt = aKey.m_attempt;
  report.m_fate = AttemptFate::Refused;
  report.m_kind = aKind;
  ++m_board.m_counters.m_offersRefused;
  RecordAttempt(m_board,
                EventCode::AttemptRefused,
                aKey.m_attempt,
                aOffer,
                EventDetail()
                  .Add("cause", DescribeError(aKind).m_name)
                  .Add("open", m_board.m_attempts.m_open.size())
                  .Add("start_by_in_ms", aOffer.m_startBy - m_board.m_now));
  ReportCache(m_board).Store(aKey, report, false, aOffer.m_startBy);
  QueueReport(aKey.m_entry, std::move(report));
}

void
Outcomes::ReportNeverStarted(const AttemptKey& aKey, AttemptFate aFate)
{
  AttemptReport report;
  report.m_attempt = aKey.m_attempt;
  report.m_fate = aFate;
  report.m_kind = aFate == AttemptFate::Revoked ? ErrorKind::Cancelled
                                                : ErrorKind::AttemptExpired;
  ReportCache(m_board).Store(aKey, report, false, kNever);
  QueueReport(aKey.m_entry, std::move(report));
}

void
Outcomes::QueueReport(EntryIndex aEntry, AttemptReport aReport)
{
  const auto entry = m_board.m_entries.m_records.find(aEntry);
  if (entry == m_board.m_entries.m_records.end()) {
    return;
  }
  std::vector<AttemptReport>& reports = entry->second.m_reports;
  if (entry->second.m_unreachable && reports.size() >= kMaxUnsentReports) {
    reports.erase(reports.begin());
  }
  reports.push_back(std::move(aReport));
}

void
Outcomes::CloseAttempt(Attempt& aAttempt, AttemptReport aReport, bool aStarted)
{
  KeyRegistry(m_board).RecordOutcome(aAttempt, aReport);
  ReportCache(m_board).Store(
    aAttempt.m_key, aReport, aStarted, aAttempt.m_offer.m_startBy);
  const AttemptKey key = aAttempt.m_key;
  const auto entry = m_board.m_entries.m_records.find(key.m_entry);
  if (entry != m_board.m_entries.m_records.end()) {
    --entry->second.m_openAttempts;
  }
  m_board.m_attempts.m_open.erase(key);
  QueueReport(key.m_entry, std::move(aReport));
}

} // namespace mulberrysail::core::agent
