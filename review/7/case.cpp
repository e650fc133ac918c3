#include "../lib-2/deployment.h"

#include <iostream>
#include <thread>

namespace mulberrysail::review {

namespace {

using nlohmann::json;

constexpr std::uint32_t kAgents = 10;
/** Runners that are cut off, one after the other. */
constexpr std::size_t kRounds = 3;
/** How long a runner is cut off. */
constexpr Milliseconds kCutFor{ 4000 };
/** When, within the cut, it crashes and starts again. */
constexpr Milliseconds kCrashAfter{ 2400 };
constexpr Milliseconds kBetweenRounds{ 4000 };
constexpr int kWorkMs = 180;
constexpr Milliseconds kBetweenJobs{ 200 };

/** Sends jobs that only runners of kind "a" may run, until it is stopped. */
class Clients
{
public:
  explicit Clients(Deployment& aDeployment)
    : m_deployment(aDeployment)
    , m_thread([this] { Send(); })
  {
  }

  ~Clients()
  {
    m_stopped = true;
    m_thread.join();
  }

  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

private:
  void Send()
  {
    std::vector<std::future<int>> answers;
    for (std::uint32_t number = 1; !m_stopped; ++number) {
      Job job;
      job.m_id = JobId(number);
      job.m_steps = json::array({ { { "count", kAgents },
                                    { "cpu", 1600 },
                                    { "mem-mb", 64 },
                                    { "estimate-ms", kWorkMs },
                                    { "requires", "a" },
                                    { "anti-affinity", 1 } } });
      job.m_spec = { { "work-ms", kWorkMs } };
      answers.push_back(m_deployment.SubmitLater(1, job));
      std::this_thread::sleep_for(kBetweenJobs);
    }
  }

  Deployment& m_deployment;
  std::atomic<bool> m_stopped{ false };
  std::thread m_thread;
};

void
PlayRound(Deployment& aDeployment, std::size_t aRunner)
{
  Runner& runner = aDeployment.RunnerAt(aRunner);
  if (!HasTrouble()) {
    std::this_thread::sleep_for(kCutFor + 2 * kBetweenRounds);
    return;
  }
  runner.SetCut(true);
  std::this_thread::sleep_for(kCrashAfter);
  const std::string rack = "r1-" + std::to_string(aRunner + 1);
  runner.Restart(runner.Id(), { "b", rack });
  std::this_thread::sleep_for(kCutFor - kCrashAfter);
  runner.SetCut(false);
  std::this_thread::sleep_for(kBetweenRounds);
  // So that each round begins with runners of kind "a" alone.
  runner.Restart(runner.Id(), { "a", rack });
  std::this_thread::sleep_for(kBetweenRounds);
}

int
Play(const std::string& aRecordPath)
{
  Record record(aRecordPath);
  DeploymentOptions options;
  options.m_agents = kAgents;
  options.m_tellsBorn = true;
  Deployment deployment(options, record);
  if (!deployment.Start()) {
    record.Add("the deployment does not serve");
    return 2;
  }
  {
    const Clients clients(deployment);
    for (std::size_t round = 0; round < kRounds; ++round) {
      PlayRound(deployment, round);
    }
  }
  std::size_t wrong = 0;
  for (const Run& run : deployment.Runs()) {
    if (run.m_labels.front() != "a") {
      ++wrong;
      record.Add("started on a runner of kind " + run.m_labels.front() + ": " +
                 run.m_task + " on " + run.m_runner + " at " +
                 std::to_string(run.m_began));
    }
  }
  record.Add(wrong > 0 ? "ROUTE is broken" : "ROUTE holds");
  return wrong > 0 ? 1 : 0;
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
