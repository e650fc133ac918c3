#include "core/internal/entry/queueisolation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Crashes count for this long. */
constexpr Duration kWindow = std::chrono::seconds(10);
constexpr std::size_t kMaxCrashes = 64;
/** Crashes with a repeatedly lost task of a queue that show that its tasks are
 * the cause. One may be chance. */
constexpr std::size_t kMinRepeats = 2;
/** Crashes at different times that show the same. */
constexpr std::size_t kMinSeparateCrashes = 4;
/** Crashes within this time may have a cause in common. */
constexpr Duration kSimultaneous = std::chrono::milliseconds(50);
/** CrashEstimate::m_evidence that isolates a queue after repeats, and without
 * any. */
constexpr double kIsolatingEvidence = 2.5;
constexpr double kEvidenceWithoutRepeats = 5;
/** CrashEstimate::m_evidence below which another cause of the same crashes
 * releases a queue. */
constexpr double kReleasingEvidence = 0.5;
/** Longest time for which crashes count while a queue is isolated for them. */
constexpr Duration kMaxWindow = std::chrono::minutes(1);
/** Shortest time without a crash after which a queue is released. It is longer
 * than a restart of the workers on which the queue is isolated. */
constexpr Duration kMinQuietTime = std::chrono::seconds(6);
/** Crashes that the completed runs of a queue would have caused at the rate for
 * which it was isolated. A queue whose workers are down has no such runs. */
constexpr double kMissingCrashes = 1;
/** Time without a crash after which a queue without runs is released. */
constexpr Duration kMaxQuietTime = std::chrono::minutes(1);

/** @return whether a queue other than @p aQueue crashes workers. */
bool
HasOtherCause(const CrashEstimates& aEstimates, std::string_view aQueue)
{
  return std::any_of(
    aEstimates.begin(), aEstimates.end(), [&](const auto& aEstimate) {
      return aEstimate.first != aQueue &&
             aEstimate.second.m_evidence >= kIsolatingEvidence;
    });
}

} // namespace

void
QueueIsolation::AddCrash(Instant aAt,
                         const WorkerCrash& aCrash,
                         std::set<std::string> aRepeatedQueues)
{
  CrashObservation crash(aAt, aCrash, std::move(aRepeatedQueues));
  crash.m_isSimultaneous = std::any_of(
    m_crashes.begin(), m_crashes.end(), [&](const CrashObservation& aOther) {
      return std::chrono::abs(aAt - aOther.m_at) < kSimultaneous;
    });
  m_crashes.push_back(std::move(crash));
  if (m_crashes.size() > kMaxCrashes) {
    m_crashes.pop_front();
  }
}

void
QueueIsolation::AddCompletedRun(Instant aNow,
                                std::string_view aQueue,
                                Duration aRanFor,
                                std::uint32_t aRuns)
{
  m_completed.Add(aNow, aQueue, CrashExposure(aRanFor) * aRuns);
}

std::vector<IsolationChange>
QueueIsolation::Update(Instant aNow,
                       std::span<const std::string> aActive,
                       std::size_t aWorkers)
{
  CrashEstimates estimates = Estimate(aNow, aWorkers);
  std::vector<IsolationChange> changes = Release(aNow, estimates);
  if (!changes.empty()) {
    estimates = Estimate(aNow, aWorkers);
  }
  const std::vector<IsolationChange> isolated =
    Isolate(aNow, estimates, aActive);
  changes.insert(changes.end(), isolated.begin(), isolated.end());
  return changes;
}

CrashEstimates
QueueIsolation::Estimate(Instant aNow, std::size_t aWorkers)
{
  const Instant since = WindowStart(aNow);
  std::erase_if(m_crashes, [&](const CrashObservation& aCrash) {
    return aCrash.m_at <= since;
  });
  if (m_crashes.empty()) {
    return {};
  }
  ValueByQueue completed;
  for (const CrashObservation& crash : m_crashes) {
    for (const auto& [queue, exposure] : crash.m_exposure) {
      completed.try_emplace(queue, m_completed.Since(since, queue));
    }
  }
  const std::vector<CrashObservation> crashes(m_crashes.begin(),
                                              m_crashes.end());
  const Duration::rep workers =
    static_cast<Duration::rep>(std::max<std::size_t>(aWorkers, 1));
  return EstimateCrashRates(crashes, completed, (aNow - since) * workers);
}

Instant
QueueIsolation::WindowStart(Instant aNow) const
{
  Instant start = aNow;
  for (const auto& [queue, isolated] : m_isolated) {
    start = std::min(start, isolated.m_since);
  }
  return std::max(start - kWindow, aNow - kMaxWindow);
}

std::vector<IsolationChange>
QueueIsolation::Release(Instant aNow, const CrashEstimates& aEstimates)
{
  std::vector<IsolationChange> released;
  for (auto queue = m_isolated.begin(); queue != m_isolated.end();) {
    IsolatedQueue& isolated = queue->second;
    const auto estimate = aEstimates.find(queue->first);
    const bool isCause =
      estimate != aEstimates.end() &&
      estimate->second.m_lastCrashAt > isolated.m_estimate.m_lastCrashAt;
    if (isCause) {
      isolated.m_estimate = estimate->second;
    }
    const bool isExplained = estimate != aEstimates.end() &&
                             estimate->second.m_evidence < kReleasingEvidence &&
                             HasOtherCause(aEstimates, queue->first);
    const bool hasEnded =
      HasEndedCrashing(aNow, queue->first, isolated.m_estimate);
    if (!isExplained && !hasEnded) {
      ++queue;
      continue;
    }
    if (hasEnded) {
      RemoveCrashesUntil(isolated.m_estimate.m_lastCrashAt);
    }
    released.push_back(
      { queue->first,
        false,
        m_crashes.size(),
        estimate == aEstimates.end() ? CrashEstimate{} : estimate->second });
    queue = m_isolated.erase(queue);
  }
  return released;
}

bool
QueueIsolation::HasEndedCrashing(Instant aNow,
                                 std::string_view aQueue,
                                 const CrashEstimate& aEstimate) const
{
  const Duration quiet = aNow - aEstimate.m_lastCrashAt;
  if (quiet < kMinQuietTime || quiet >= kMaxQuietTime) {
    return quiet >= kMaxQuietTime;
  }
  return aEstimate.m_rate *
           m_completed.Since(aEstimate.m_lastCrashAt, aQueue) >=
         kMissingCrashes;
}

void
QueueIsolation::RemoveCrashesUntil(Instant aUntil)
{
  std::erase_if(m_crashes, [&](const CrashObservation& aCrash) {
    return aCrash.m_at <= aUntil;
  });
}

double
QueueIsolation::MinEvidence(Instant aNow, const std::string& aQueue) const
{
  std::size_t repeats = 0;
  std::size_t separate = 0;
  for (const CrashObservation& crash : m_crashes) {
    if (crash.m_at + kWindow > aNow) {
      repeats += crash.m_repeatedQueues.contains(aQueue) ? 1 : 0;
      separate += crash.m_isSimultaneous ? 0 : 1;
    }
  }
  if (repeats >= kMinRepeats) {
    return kIsolatingEvidence;
  }
  return separate >= kMinSeparateCrashes
           ? kEvidenceWithoutRepeats
           : std::numeric_limits<double>::infinity();
}

std::vector<IsolationChange>
QueueIsolation::Isolate(Instant aNow,
                        const CrashEstimates& aEstimates,
                        std::span<const std::string> aActive)
{
  std::vector<std::pair<std::string, CrashEstimate>> suspects;
  for (const auto& [queue, estimate] : aEstimates) {
    if (!Contains(queue) && estimate.m_evidence >= MinEvidence(aNow, queue)) {
      suspects.emplace_back(queue, estimate);
    }
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.second.m_evidence > aRight.second.m_evidence;
            });
  std::vector<IsolationChange> isolated;
  for (auto& [queue, estimate] : suspects) {
    if (IsOtherInUse(queue, aActive)) {
      estimate.m_lastCrashAt = aNow;
      m_isolated.emplace(queue, IsolatedQueue{ aNow, estimate });
      isolated.push_back({ queue, true, m_crashes.size(), estimate });
    }
  }
  return isolated;
}

bool
QueueIsolation::IsOtherInUse(std::string_view aQueue,
                             std::span<const std::string> aActive) const
{
  return std::any_of(
    aActive.begin(), aActive.end(), [&](const std::string& aOther) {
      return aOther != aQueue && !Contains(aOther);
    });
}

} // namespace mulberrysail::core
