#pragma once

#include "core/tests/queuefixture.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::core {

inline constexpr const char* kOwnZone = "zone1";
inline constexpr const char* kOtherZone = "zone2";
inline constexpr Resources kNothing{};
/** Room for one task. */
inline constexpr Resources kOneTask = kTaskNeed;
inline constexpr Resources kAllButOneTask{ kWorkerCapacity.m_milliCores -
                                             kTaskNeed.m_milliCores,
                                           kWorkerCapacity.m_memoryMb,
                                           0 };
/** Run time of a task on a worker of mean speed; declared as such. */
inline constexpr Duration kRun = std::chrono::milliseconds(100);
/** Runs of each agent after which its speed is known. */
inline constexpr int kTeachRuns = 60;

inline EntryPolicy
SpeedPolicy(bool aLearn)
{
  EntryPolicy policy = QueuePolicy();
  policy.m_zone = kOwnZone;
  policy.m_learnTaskSpeed = aLearn;
  return policy;
}

/** An entry and agents with one worker each, whose run times the test sets. */
class SpeedFixture : public QueueFixture
{
public:
  explicit SpeedFixture(bool aLearn = true)
    : QueueFixture(SpeedPolicy(aLearn))
  {
  }

  /** Announces an agent with all of its capacity free. */
  ProcessId Add(const std::string& aName,
                double aFactor,
                const std::string& aZone = kOwnZone,
                std::vector<std::string> aLabels = {})
  {
    ProcessId id{ aName, { 1 } };
    WorkerInfo worker;
    worker.m_name = aName + "-w";
    worker.m_capacity = kWorkerCapacity;
    worker.m_labels = std::move(aLabels);
    m_factors[id] = aFactor;
    m_zones[id] = aZone;
    m_workers[id] = worker;
    AnnounceAgain(id);
    return id;
  }

  void AnnounceAgain(const ProcessId& aAgent)
  {
    Announce announce;
    announce.m_zone = m_zones.at(aAgent);
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_workers.push_back(m_workers.at(aAgent));
    announce.m_load = Load(kWorkerCapacity);
    Receive(aAgent, std::move(announce));
  }

  void SetFree(const ProcessId& aAgent, Resources aFree)
  {
    ReportBatch batch;
    batch.m_load = Load(aFree);
    Receive(aAgent, std::move(batch));
  }

  void SetAllFree(Resources aFree)
  {
    for (const auto& [agent, factor] : m_factors) {
      SetFree(agent, aFree);
    }
  }

  /** Reports that an offered task is done. */
  void Complete(const SentOffer& aSent, Duration aRanFor, bool aWarm = false)
  {
    Report(aSent, AttemptFate::Completed, aRanFor, aWarm);
  }

  void Refuse(const SentOffer& aSent)
  {
    Report(aSent, AttemptFate::Refused, {}, false);
  }

  /** Runs tasks of every agent's speed, the agents by turns. */
  void Teach(int aRuns = kTeachRuns)
  {
    for (int run = 0; run < aRuns; ++run) {
      for (const auto& [agent, factor] : m_factors) {
        RunOn(agent, factor);
      }
    }
    SetAllFree(kWorkerCapacity);
    ClearCommands();
  }

  /** Runs one task on @p aAgent, whose preferred label its worker has. */
  void RunOn(const ProcessId& aAgent, double aFactor, bool aWarm = false)
  {
    SetAllFree(kNothing);
    SetFree(aAgent, kWorkerCapacity);
    ClearCommands();
    SubmitTask();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Offers().size());
    Complete(Offers()[0],
             Duration(static_cast<Duration::rep>(
               aFactor * static_cast<double>(kRun.count()))),
             aWarm);
  }

  CallerToken SubmitTask(const std::string& aPreferred = {})
  {
    return SubmitSteps("job" + std::to_string(++m_jobs),
                       { {} },
                       1,
                       std::chrono::seconds(2),
                       aPreferred);
  }

  /** @return the agent to which a new task is offered. */
  ProcessId AgentOfNextTask(const std::string& aPreferred = {})
  {
    ClearCommands();
    SubmitTask(aPreferred);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Offers().size());
    return Offers()[0].m_agent;
  }

  double SlowdownOf(const ProcessId& aAgent) const
  {
    for (const AgentStatus& status : m_entry->Agents()) {
      if (status.m_agent == aAgent) {
        return status.m_taskSlowdown;
      }
    }
    return 0;
  }

  std::size_t SpeedEvents() const
  {
    return static_cast<std::size_t>(std::count_if(
      Commands().begin(), Commands().end(), [](const EntryCommand& aCommand) {
        const RecordEvent* event = std::get_if<RecordEvent>(&aCommand);
        return event != nullptr &&
               event->m_code == EventCode::AgentSpeedLearned;
      }));
  }

  std::map<ProcessId, WorkerInfo> m_workers;

private:
  LoadReport Load(Resources aFree)
  {
    LoadReport load;
    load.m_sequence = ++m_sequence;
    load.m_reportedAt = m_now;
    load.m_freeCapacity = aFree;
    load.m_lastOfferSequence = 1000000;
    load.m_config = { 2 };
    load.m_newestConfig = { 2 };
    return load;
  }

  void Report(const SentOffer& aSent,
              AttemptFate aFate,
              Duration aRanFor,
              bool aWarm)
  {
    AttemptReport report;
    report.m_attempt = aSent.m_offer.m_attempt;
    report.m_fate = aFate;
    report.m_kind =
      aFate == AttemptFate::Refused ? ErrorKind::QueueFull : ErrorKind::None;
    report.m_ranFor = aRanFor;
    report.m_warmingUp = aWarm;
    ReportBatch batch;
    batch.m_reports.push_back(report);
    batch.m_load = Load(kNothing);
    Receive(aSent.m_agent, std::move(batch));
  }

  std::uint64_t m_sequence = 100000;
  std::uint64_t m_jobs = 0;
  std::map<ProcessId, double> m_factors;
  std::map<ProcessId, std::string> m_zones;
};

} // namespace mulberrysail::core
