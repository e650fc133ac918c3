#include "core/internal/agent/breakers.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

constexpr Duration kLongestPause = std::chrono::seconds(60);
constexpr std::uint32_t kFirstShare = 25;
constexpr std::uint32_t kWholeShare = 100;

bool
MustOpen(const AgentBoard& aBoard, const Breaker& aBreaker)
{
  const std::uint32_t limit = aBoard.m_policy.m_quarantineFailures;
  // One job alone may be to blame for its failures, so it has to fail longer.
  return aBreaker.m_failures >= (aBreaker.m_severalJobs ? limit : 2 * limit);
}

} // namespace

void
Breakers::Succeeded(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_failures = 0;
  breaker.m_severalJobs = false;
  switch (breaker.m_state) {
    case BreakerState::Closed:
    case BreakerState::Open:
      return;
    case BreakerState::Probing:
      breaker.m_state = BreakerState::Restoring;
      breaker.m_roomPercent = kFirstShare;
      return;
    case BreakerState::Restoring:
      breaker.m_roomPercent *= 2;
      break;
  }
  if (breaker.m_roomPercent < kWholeShare) {
    return;
  }
  breaker.m_roomPercent = kWholeShare;
  breaker.m_state = BreakerState::Closed;
  breaker.m_pause = {};
  Record(m_board,
         EventCode::WorkerRestored,
         0,
         EventDetail().Add("worker", aWorker.m_info.m_name));
}

void
Breakers::Failed(Worker& aWorker, const Attempt& aAttempt)
{
  Breaker& breaker = aWorker.m_breaker;
  const std::pair<std::uint32_t, SubmissionId> job{ aAttempt.m_key.m_entry,
                                                    aAttempt.m_offer.m_job };
  if (breaker.m_failures == 0) {
    breaker.m_firstJob = job;
  }
  ++breaker.m_failures;
  breaker.m_severalJobs = breaker.m_severalJobs || job != breaker.m_firstJob;
  switch (breaker.m_state) {
    case BreakerState::Open:
      return;
    case BreakerState::Probing:
    case BreakerState::Restoring:
      Open(aWorker);
      return;
    case BreakerState::Closed:
      if (MustOpen(m_board, breaker)) {
        Open(aWorker);
      }
      return;
  }
}

void
Breakers::Open(Worker& aWorker)
{
  Breaker& breaker = aWorker.m_breaker;
  breaker.m_pause = breaker.m_pause == Duration{}
                      ? m_board.m_policy.m_quarantineDuration
                      : std::min(2 * breaker.m_pause, kLongestPause);
  breaker.m_state = BreakerState::Open;
  breaker.m_openUntil = m_board.m_now + breaker.m_pause;
  breaker.m_roomPercent = kFirstShare;
  aWorker.m_info.m_quarantined = true;
  m_board.m_workers.m_shrunk = true;
  Record(m_board,
         EventCode::WorkerQuarantined,
         0,
         EventDetail()
           .Add("worker", aWorker.m_info.m_name)
           .Add("failures", breaker.m_failures)
           .Add("pause_ms", breaker.m_pause));
  AnnounceToAll(m_board);
}

void
Breakers::EndPauses()
{
  for (auto& [name, worker] : m_board.m_workers.m_workers) {
    Breaker& breaker = worker.m_breaker;
    if (breaker.m_state == BreakerState::Open &&
        breaker.m_openUntil <= m_board.m_now) {
      breaker.m_state = BreakerState::Probing;
      worker.m_info.m_quarantined = false;
      AnnounceToAll(m_board);
    }
  }
}

} // namespace mulberrysail::core::agent
