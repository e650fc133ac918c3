#pragma once

#include "core/tests/agentfixture.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::core {

inline constexpr Resources kLeasedCapacity{ 4000, 4096, 0 };
inline constexpr Resources kLeasedTaskNeed{ 1600, 64, 0 };
inline const std::string kLeasedWorker = "w1";
inline const std::string kFirstIncarnation = "life-1";

/** @return the policy of an agent whose worker executes runs under leases. */
inline AgentPolicy
LeasePolicy()
{
  AgentPolicy policy;
  policy.m_reserveDeclared = true;
  policy.m_runLease = std::chrono::milliseconds(500);
  policy.m_observeWait = std::chrono::milliseconds(150);
  policy.m_entryTimeout = std::chrono::milliseconds(600);
  return policy;
}

/** An agent with one worker that executes its runs under leases. */
class LeaseFixture : public AgentFixture
{
public:
  explicit LeaseFixture(Incarnation aIncarnation = Incarnation{ 7 },
                        const AgentPolicy& aPolicy = LeasePolicy())
    : AgentFixture(aPolicy, aIncarnation)
  {
    AnnounceLeasedWorker(kFirstIncarnation);
  }

  void AnnounceLeasedWorker(const std::string& aIncarnation,
                            bool aLeaving = false,
                            Resources aCapacity = kLeasedCapacity,
                            bool aWithClock = true,
                            std::optional<WorkerInstant> aSentAt = {})
  {
    WorkerAnnounced announced;
    announced.m_info.m_name = kLeasedWorker;
    announced.m_info.m_capacity = aCapacity;
    announced.m_info.m_service = "photo";
    announced.m_info.m_labels = m_labels;
    announced.m_url = "http://w1";
    announced.m_leaving = aLeaving;
    announced.m_hasRunLeases = true;
    announced.m_incarnation = aIncarnation;
    announced.m_startedAtMs = m_startedAtMs;
    announced.m_sequence = ++m_lastSequence;
    if (aWithClock) {
      announced.m_clock = aSentAt.value_or(WorkerClockNow());
    }
    HandleEvent(announced);
  }

  /** @return the clock of the worker, which started with the fixture or was
   * started again by RestartClock(). */
  WorkerInstant WorkerClockNow() const
  {
    return m_workerClockStart +
           std::chrono::floor<std::chrono::milliseconds>(
             std::chrono::duration<double, Duration::period>(
               m_now - m_workerClockStartedAt) *
             m_workerClockRate);
  }

  /** Lets the worker's clock begin anew, as after a restart. */
  void RestartClock()
  {
    m_workerClockStart = WorkerInstant();
    m_workerClockStartedAt = m_now;
  }

  std::vector<ObserveRuns> Observations() const
  {
    std::vector<ObserveRuns> observations;
    for (const AgentCommand& command : m_commands) {
      if (const ObserveRuns* observation = std::get_if<ObserveRuns>(&command)) {
        observations.push_back(*observation);
      }
    }
    return observations;
  }

  /** Answers the latest observation. */
  void AnswerObservation(std::vector<RunName> aRunning,
                         std::vector<EndedRun> aEnded = {},
                         ObserveResult aResult = ObserveResult::Observed)
  {
    const ObserveRuns last = Observations().back();
    // The answer arrives after the observation was requested.
    Advance(std::chrono::milliseconds(1));
    HandleEvent(RunsObserved{ kLeasedWorker,
                              last.m_target.m_incarnation,
                              last.m_observationId,
                              aResult,
                              std::move(aRunning),
                              std::move(aEnded),
                              m_startedAtMs,
                              WorkerClockNow() });
  }

  /** Answers an earlier observation. */
  void AnswerObservation(const ObserveRuns& aObservation,
                         ObserveResult aResult,
                         std::vector<RunName> aRunning,
                         std::vector<EndedRun> aEnded = {})
  {
    HandleEvent(RunsObserved{ kLeasedWorker,
                              aObservation.m_target.m_incarnation,
                              aObservation.m_observationId,
                              aResult,
                              std::move(aRunning),
                              std::move(aEnded),
                              m_startedAtMs,
                              WorkerClockNow() });
  }

  /** Leaves the start of the run unanswered, however often it is sent. */
  void LeaveStartUnanswered(RunId aRun)
  {
    const auto countStarts = [&] {
      const std::vector<StartRun> starts = Starts();
      return std::count_if(
        starts.begin(), starts.end(), [&](const StartRun& aStart) {
          return aStart.m_run == aRun;
        });
    };
    for (std::ptrdiff_t i = 0; i < countStarts(); ++i) {
      HandleEvent(StartAnswered{ aRun, StartResult::NoAnswer, "timeout" });
    }
  }

  bool IsQuarantined() const
  {
    return m_agent->Status().m_workers.at(0).m_quarantined;
  }

  Offer NamedOffer(std::uint64_t aAttempt, const std::string& aName) const
  {
    Offer offer = TaskOffer(aAttempt, aAttempt, kLeasedTaskNeed);
    offer.m_name = aName;
    offer.m_dispatchTime = offer.m_startBy;
    return offer;
  }

  /**
   * Offers a task and confirms its start. If nothing has started yet, first
   * answers the observation with no runs.
   * @return the run of the task.
   */
  RunId RunTask(std::uint64_t aAttempt, const std::string& aName)
  {
    if (Starts().empty()) {
      AnswerObservation({});
    }
    SendOffers({ NamedOffer(aAttempt, aName) });
    const RunId run = Starts().back().m_run;
    HandleEvent(
      StartAnswered{ run, StartResult::Started, {}, WorkerClockNow() });
    return run;
  }

  /** Starts the worker again under its id. */
  void RestartWorker()
  {
    m_startedAtMs += 1000;
    m_lastSequence = 0;
    RestartClock();
  }

  /** Of the worker, see WorkerAnnounced. */
  std::vector<std::string> m_labels;
  std::uint64_t m_startedAtMs = 1000;
  std::uint64_t m_lastSequence = 0;
  WorkerInstant m_workerClockStart{ std::chrono::hours(1) };
  Instant m_workerClockStartedAt = m_now;
  /** Seconds of the worker's clock in one second of the agent's. */
  double m_workerClockRate = 1;
};

} // namespace mulberrysail::core
