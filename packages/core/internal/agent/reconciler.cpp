#include "core/internal/agent/reconciler.h"

#include "core/internal/agent/leasedruns.h"
#include "core/internal/agent/outcomes.h"

namespace mulberrysail::core::agent {

void
Reconciler::Revoke(EntryIndex aEntry, const RevokeBatch& aBatch)
{
  for (const AttemptId attempt : aBatch.m_attempts) {
    RevokeAttempt({ aEntry, attempt }, aBatch.m_stopRunning);
  }
}

void
Reconciler::RevokeAttempt(const AttemptKey& aKey, bool aStopRunning)
{
  const auto place = m_board.m_attempts.m_open.find(aKey);
  if (place == m_board.m_attempts.m_open.end()) {
    ReportNotOpen(aKey, AttemptFate::Revoked);
    return;
  }
  Attempt& attempt = place->second;
  if (!attempt.m_running) {
    Outcomes(m_board).EndQueued(
      attempt, AttemptFate::Revoked, ErrorKind::Cancelled);
  } else if (aStopRunning) {
    StopTask(attempt);
  }
}

void
Reconciler::StopTask(Attempt& aAttempt)
{
  if (aAttempt.m_offer.m_kind != WorkKind::Task || aAttempt.m_stopRequested) {
    return;
  }
  aAttempt.m_stopRequested = true;
  const auto worker = m_board.m_workers.m_workers.find(aAttempt.m_worker);
  if (worker == m_board.m_workers.m_workers.end()) {
    return;
  }
  if (worker->second.m_leasedRuns) {
    LeasedRuns(m_board).Stop(aAttempt);
    return;
  }
  m_board.m_commands->push_back(
    StopRun{ aAttempt.m_run,
             { WorkKind::Task, worker->first, worker->second.m_url, {} },
             aAttempt.m_runName });
}

void
Reconciler::ReportAttempts(EntryIndex aEntry, const Reconcile& aReconcile)
{
  m_board.m_entries.m_records.at(aEntry).m_loadRequested = true;
  for (const AttemptId id : aReconcile.m_attempts) {
    const AttemptKey key{ aEntry, id };
    const auto place = m_board.m_attempts.m_open.find(key);
    if (place == m_board.m_attempts.m_open.end()) {
      ReportNotOpen(key, AttemptFate::Refused);
      continue;
    }
    AttemptReport report;
    report.m_attempt = id;
    report.m_fate =
      place->second.m_running ? AttemptFate::Running : AttemptFate::Queued;
    Outcomes(m_board).QueueReport(aEntry, std::move(report));
  }
}

void
Reconciler::ReportNotOpen(const AttemptKey& aKey,
                          AttemptFate aFateIfNeverStarted)
{
  if (const AttemptReport* cached = ReportCache(m_board).Find(aKey)) {
    Outcomes(m_board).QueueReport(aKey.m_entry, *cached);
    return;
  }
  if (ReportCache(m_board).Classify(aKey) != UnknownAttempt::MayHaveStarted) {
    Outcomes(m_board).ReportNeverStarted(aKey, aFateIfNeverStarted);
    return;
  }
  AttemptReport report;
  report.m_attempt = aKey.m_attempt;
  report.m_fate = AttemptFate::Lost;
  report.m_kind = ErrorKind::RunLost;
  Outcomes(m_board).QueueReport(aKey.m_entry, std::move(report));
}

} // namespace mulberrysail::core::agent
