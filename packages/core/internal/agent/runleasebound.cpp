#include "core/internal/agent/runleasebound.h"

namespace mulberrysail::core::agent {

namespace {

/** The reading of an announcement is doubtful if it is lower by more than this
 * than the lowest value that follows from the reading before it. */
constexpr std::chrono::milliseconds kMaxReadingDelay{ 100 };
/** Age of a reading after which the worker is observed for another one. Longer
 * than the interval of its announcements, which state the clock as well. */
constexpr Duration kRefreshAfter = std::chrono::seconds(2);
/** Age of a reading up to which it is used for starts. A lease is shorter than
 * wanted by kMaxClockDrift of the age if the worker's clock is right. */
constexpr Duration kMaxReadingAge = std::chrono::milliseconds(2500);

} // namespace

Instant
LatestRunEnd(Instant aDecidedAt, Duration aLease)
{
  const Duration drift(static_cast<Duration::rep>(
    static_cast<double>(aLease.count()) * kMaxClockDrift));
  return aDecidedAt + aLease + drift + kMaxEndDelay;
}

void
WorkerClockEstimate::RecordAnnouncement(WorkerInstant aReading, Instant aNow)
{
  const std::optional<WorkerInstant> expected = EarliestAt(aNow);
  m_isDoubtful =
    m_isDoubtful || (expected && aReading + kMaxReadingDelay < *expected);
  m_reading = Reading{ aReading, aNow };
}

bool
WorkerClockEstimate::RecordAnswer(WorkerInstant aReading,
                                  Instant aSentAt,
                                  Instant aNow)
{
  // The worker has read its clock after the call was sent.
  const std::optional<WorkerInstant> expected = EarliestAt(aSentAt);
  m_isDoubtful = expected && aReading < *expected;
  m_reading = Reading{ aReading, aNow };
  return !m_isDoubtful;
}

std::optional<WorkerInstant>
WorkerClockEstimate::EarliestAt(Instant aAt) const
{
  if (!m_reading) {
    return std::nullopt;
  }
  const Duration age = aAt - m_reading->m_receivedAt;
  const double slowest = age < Duration::zero() ? 1.0 + kMaxClockDrift
                                                : 1.0 / (1.0 + kMaxClockDrift);
  const Duration passed(
    static_cast<Duration::rep>(static_cast<double>(age.count()) * slowest));
  return m_reading->m_clock + std::chrono::floor<WorkerClock::duration>(passed);
}

bool
WorkerClockEstimate::IsPrecise(Instant aNow) const
{
  return m_reading && !m_isDoubtful &&
         aNow - m_reading->m_receivedAt <= kMaxReadingAge;
}

bool
WorkerClockEstimate::NeedsReading(Instant aNow) const
{
  return m_isDoubtful || RefreshDueAt() <= aNow;
}

Instant
WorkerClockEstimate::RefreshDueAt() const
{
  return m_reading ? m_reading->m_receivedAt + kRefreshAfter : Instant();
}

} // namespace mulberrysail::core::agent
