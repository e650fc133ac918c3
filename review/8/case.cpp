#include "../lib-2/deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace mulberrysail::review {

namespace {

using nlohmann::json;

constexpr int kRounds = 3;
/** Time without work before each job. */
constexpr std::chrono::seconds kQuiet{ 25 };
/** How long after the start of the task the agent beside its runner freezes. */
constexpr Milliseconds kFreezeAfter{ 100 };
/** How long the agent stands still. */
constexpr Milliseconds kFreezeFor{ 600 };
/** How long a runner takes to stop a run; "stop-ms" is 50. */
constexpr Milliseconds kStopTime{ 40 };
constexpr Milliseconds kTimeBudget{ 3000 };
constexpr int kEstimateMs = 400;
constexpr int kWorkMs = 1200;
/** Runs that overlap for less are within the precision of the record. */
constexpr std::int64_t kPrecisionMs = 10;

/** @return the longest time for which two runs of one task went on together, in
 * milliseconds. */
std::int64_t
LongestOverlap(const std::vector<Run>& aRuns)
{
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    for (std::size_t k = i + 1; k < aRuns.size(); ++k) {
      const Run& one = aRuns[i];
      const Run& other = aRuns[k];
      if (one.m_task == other.m_task) {
        longest = std::max(longest,
                           std::min(one.m_ended, other.m_ended) -
                             std::max(one.m_began, other.m_began));
      }
    }
  }
  return longest;
}

/** @return the agent on the machine of the runner. */
std::string
AgentOf(const std::string& aRunner)
{
  return "agent" + aRunner.substr(aRunner.find('-'));
}

void
PlayRound(Deployment& aDeployment, Record& aRecord, std::uint32_t aRound)
{
  std::this_thread::sleep_for(kQuiet);
  std::thread freezing;
  std::atomic<bool> isFrozen{ false };
  for (std::size_t i = 0; HasTrouble() && i < aDeployment.RunnerCount(); ++i) {
    aDeployment.RunnerAt(i).OnBegin([&](const Run& aRun) {
      if (!isFrozen.exchange(true)) {
        freezing = std::thread([&aDeployment, agent = AgentOf(aRun.m_runner)] {
          std::this_thread::sleep_for(kFreezeAfter);
          aDeployment.Signal(agent, SIGSTOP);
          std::this_thread::sleep_for(kFreezeFor);
          aDeployment.Signal(agent, SIGCONT);
        });
      }
    });
  }
  Job job;
  job.m_id = JobId(aRound);
  job.m_deadline = kTimeBudget;
  job.m_spec = { { "work-ms", kWorkMs } };
  job.m_steps = json::array({ { { "count", 1 },
                                { "cpu", 1600 },
                                { "mem-mb", 64 },
                                { "estimate-ms", kEstimateMs } } });
  aDeployment.Submit(1, job);
  for (std::size_t i = 0; i < aDeployment.RunnerCount(); ++i) {
    aDeployment.RunnerAt(i).OnBegin({});
  }
  if (freezing.joinable()) {
    freezing.join();
  }
  aRecord.Add("longest overlap so far: " +
              std::to_string(LongestOverlap(aDeployment.Runs())) + " ms");
}

int
Play(const std::string& aRecordPath)
{
  Record record(aRecordPath);
  DeploymentOptions options;
  options.m_agents = 10;
  options.m_clockRate = 0.98;
  options.m_stopTime = kStopTime;
  Deployment deployment(options, record);
  if (!deployment.Start()) {
    record.Add("the deployment does not serve");
    return 2;
  }
  for (std::uint32_t round = 1; round <= kRounds; ++round) {
    PlayRound(deployment, record, round);
  }
  const bool broken = LongestOverlap(deployment.Runs()) > kPrecisionMs;
  record.Add(broken ? "TWICE is broken" : "TWICE holds");
  return broken ? 1 : 0;
}

} // namespace

} // namespace mulberrysail::review

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "the path of the record is expected\n";
    return 2;
  }
  mulberrysail::review::LimitTime(std::chrono::seconds(115));
  try {
    return mulberrysail::review::Play(aArguments[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
