#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** A worker that carries out the commands of an agent at simulated times. It
 * gives each run as long a lease as the platform allows it to. */
class ModelWorker
{
public:
  /** @param aClockRate seconds of the worker's clock in one second. */
  explicit ModelWorker(double aClockRate);

  /** Starts again under the same id: forgets all, with another clock. */
  void Restart(Instant aNow);

  /** Ends a run as completed. */
  void Complete(const RunName& aRun);

  /** Ends runs whose leases are over. To be called at each step of time. */
  void EndExpiredRuns(Instant aNow);

  StartAnswered Start(const StartRun& aStart, Instant aNow);
  StopAnswered Stop(const StopRun& aStop);
  RunsObserved Observe(const ObserveRuns& aObserve, Instant aNow);

  const std::set<RunName>& Running() const { return m_running; }
  WorkerInstant ClockAt(Instant aNow) const;
  std::uint64_t StartedAtMs() const { return m_startedAtMs; }

private:
  /** @return whether the command is from the past. */
  bool IsFenced(const RunTarget& aTarget);
  void ExtendLease(std::optional<WorkerInstant> aEndsAt, Instant aNow);
  void End(const RunName& aRun, RunEnd aEnd = RunEnd::Interrupted);

  const double m_clockRate;
  Instant m_startedAt;
  std::uint64_t m_startedAtMs = 1000;
  std::uint64_t m_token = 0;
  WorkerInstant m_leaseEndsAt;
  /** When a run ends whose lease is over. */
  std::optional<Instant> m_endsAt;
  std::set<RunName> m_running;
  /** The highest start of each task that has ended or was stopped. */
  std::map<std::string, std::uint32_t> m_lastStart;
  std::vector<EndedRun> m_ended;
  std::uint64_t m_lastEnd = 0;
};

} // namespace mulberrysail::core
