#include "../lib-3/deployment.h"
#include "../lib-3/runscenario.h"

#include <algorithm>
#include <atomic>
#include <stdexcept>
#include <thread>
#include <vector>

/** A late ping of a runner whose room has shrunk makes its agent start more
 * than fits. */
namespace {

using namespace mulberrysail::review3;
using std::chrono::milliseconds;

/** `contact-ms` and one beat: a room that has shrunk counts after that. */
constexpr milliseconds kGrace{ 3000 + 1500 };
/** The runner is cut off this long after a ping, so that the next one goes into
 * the cut, and its room shrinks after that. */
constexpr milliseconds kCutAfterPing{ 1300 };
constexpr milliseconds kShrinks{ 250 };
constexpr milliseconds kCut{ 8200 };
constexpr milliseconds kFirstRetransmission{ 260 };
/** When the clients begin, before the end of the cut, and end, after it. */
constexpr milliseconds kTrafficBefore{ 1000 };
constexpr milliseconds kTrafficAfter{ 3000 };
constexpr milliseconds kBetweenJobs{ 50 };
constexpr milliseconds kBudget{ 1500 };
constexpr milliseconds kTask{ 300 };
constexpr std::uint32_t kTasks = 12;
constexpr std::uint32_t kMilliCores = 1600;
constexpr std::uint32_t kShrunkMilliCores = 4000;
constexpr milliseconds kWarmUp{ 2000 };
constexpr milliseconds kPingTimeout{ 5000 };

void
AwaitPing(const Runner& aRunner)
{
  const std::size_t count = aRunner.AckedPings().size();
  const Instant until = Now() + kPingTimeout;
  while (aRunner.AckedPings().size() == count) {
    if (Now() > until) {
      throw std::runtime_error("no ping was acknowledged");
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
}

/** Submits jobs until a time, each on a thread of its own. */
void
SendJobs(Deployment& aDeployment, Instant aUntil, std::atomic<int>& aCompleted)
{
  std::vector<std::thread> clients;
  while (Now() < aUntil) {
    clients.emplace_back([&aDeployment, &aCompleted] {
      const std::optional<HttpResponse> response =
        Call(aDeployment.EntryAddress(0),
             kFrontendPort,
             "POST",
             kRoutePrefix + MakeJobId(),
             CallFields(kBudget),
             MakeBody({ .m_tasksPerStep = kTasks,
                        .m_length = kTask,
                        .m_milliCores = kMilliCores }),
             kBudget);
      aCompleted += response && response->m_status == 200 ? 1 : 0;
    });
    std::this_thread::sleep_for(kBetweenJobs);
  }
  for (std::thread& client : clients) {
    client.join();
  }
}

/** @return whether a start from @p aFrom on has brought the runner over its
 * room. */
bool
HasExceeded(const Runner& aRunner, Instant aFrom, Record& aRecord)
{
  const std::vector<Begun> runs = aRunner.BegunRuns();
  std::size_t over = 0;
  std::size_t most = 0;
  for (const Begun& start : runs) {
    if (start.m_at < aFrom) {
      continue;
    }
    const std::ptrdiff_t atWork =
      std::count_if(runs.begin(), runs.end(), [&](const Begun& aOther) {
        return aOther.m_at <= start.m_at &&
               (!aOther.m_endedAt || *aOther.m_endedAt > start.m_at);
      });
    const std::size_t used = static_cast<std::size_t>(atWork) * kMilliCores;
    most = std::max(most, used);
    over += used > kShrunkMilliCores ? 1 : 0;
  }
  aRecord.Add("starts over the room of " + std::to_string(kShrunkMilliCores) +
              " millicores: " + std::to_string(over) +
              "; the most in use: " + std::to_string(most));
  return over > 0;
}

bool
Play(ScenarioContext& aContext)
{
  Record& record = aContext.m_record;
  DeploymentOptions options;
  options.m_agents = 6;
  options.m_firstRetransmission = kFirstRetransmission;
  options.m_route = { { "timeout-ms", kBudget.count() },
                      { "target-duration-ms", 60 },
                      { "max-attempts", 2 },
                      { "slack-factor", 1.6 } };
  Deployment deployment(options, aContext.m_folder, record);
  deployment.WaitUntilServing();
  std::this_thread::sleep_for(kWarmUp);

  Runner& runner = deployment.RunnerAt(0);
  AwaitPing(runner);
  std::this_thread::sleep_for(kCutAfterPing);
  const Instant cut = Now();
  if (aContext.m_trouble) {
    runner.SetCut(true);
  }
  std::this_thread::sleep_until(cut + kShrinks);
  runner.SetMilliCores(kShrunkMilliCores);
  std::thread healer([&] {
    std::this_thread::sleep_until(cut + kCut);
    if (aContext.m_trouble) {
      runner.SetCut(false);
    }
  });
  std::this_thread::sleep_until(cut + kCut - kTrafficBefore);
  std::atomic<int> completed{ 0 };
  SendJobs(deployment, cut + kCut + kTrafficAfter, completed);
  healer.join();
  record.Add("jobs completed: " + std::to_string(completed));
  if (completed == 0) {
    throw std::runtime_error("no job was completed");
  }
  return HasExceeded(runner, cut + kShrinks + kGrace, record);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  return RunScenario(aArgc, aArgv, Play);
}
