#include "../lib-3/deployment.h"
#include "../lib-3/runscenario.h"

#include <algorithm>
#include <atomic>
#include <stdexcept>
#include <thread>
#include <vector>

/** A late ping makes an agent start tasks on a runner that drains. */
namespace {

using namespace mulberrysail::review3;
using std::chrono::milliseconds;

/** Bounds of the small deployments. */
constexpr milliseconds kDrain{ 2000 };
constexpr milliseconds kContact{ 3000 };

/** The runner is cut off this long after a ping, for this long, and begins to
 * drain this long after the cut. */
constexpr milliseconds kCutAfterPing{ 1000 };
constexpr milliseconds kCut{ 12000 };
constexpr milliseconds kDrainsAfter{ 2500 };
/** When the clients begin and end, after the end of the cut. */
constexpr milliseconds kTrafficAfter{ 1000 };
constexpr milliseconds kTrafficUntil{ 11000 };
constexpr milliseconds kBetweenJobs{ 20 };
constexpr milliseconds kBudget{ 1500 };
constexpr milliseconds kWarmUp{ 2000 };
constexpr milliseconds kPingTimeout{ 5000 };

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
             MakeBody({ .m_tasksPerStep = 4, .m_length = milliseconds(30) }),
             kBudget);
      aCompleted += response && response->m_status == 200 ? 1 : 0;
    });
    std::this_thread::sleep_for(kBetweenJobs);
  }
  for (std::thread& client : clients) {
    client.join();
  }
}

/** Waits for the next acknowledged ping of the runner. */
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

/** @return whether a run began later than `drain-ms` after the first ping with
 * the state draining that was acknowledged at @p aInTouchFrom or later. */
bool
HasStartedLate(const Runner& aRunner, Instant aInTouchFrom, Record& aRecord)
{
  const std::vector<AckedPing> pings = aRunner.AckedPings();
  const auto ack =
    std::find_if(pings.begin(), pings.end(), [&](const AckedPing& aPing) {
      return aPing.m_state == "draining" && aPing.m_at >= aInTouchFrom;
    });
  if (ack == pings.end()) {
    throw std::runtime_error("no draining ping was acknowledged");
  }
  std::size_t late = 0;
  std::int64_t latest = 0;
  for (const Begun& begun : aRunner.BegunRuns()) {
    if (begun.m_at > ack->m_at + kDrain) {
      ++late;
      latest = MillisBetween(ack->m_at, begun.m_at);
    }
  }
  aRecord.Add("ping " + std::to_string(ack->m_sequence) +
              " (draining) was acknowledged in touch; starts later than " +
              std::to_string(kDrain.count()) +
              " ms after it: " + std::to_string(late) + ", the last after " +
              std::to_string(latest) + " ms");
  return late > 0;
}

bool
Play(ScenarioContext& aContext)
{
  Record& record = aContext.m_record;
  DeploymentOptions options;
  options.m_agents = 6;
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
  const Instant healed = cut + kCut;
  if (aContext.m_trouble) {
    runner.SetCut(true);
  }
  std::this_thread::sleep_until(cut + kDrainsAfter);
  runner.SetDraining();
  std::this_thread::sleep_until(healed);
  if (aContext.m_trouble) {
    runner.SetCut(false);
  }
  std::this_thread::sleep_until(healed + kTrafficAfter);
  std::atomic<int> completed{ 0 };
  SendJobs(deployment, healed + kTrafficUntil, completed);
  record.Add("jobs completed: " + std::to_string(completed));
  if (completed == 0) {
    throw std::runtime_error("no job was completed");
  }
  const Instant inTouchFrom = aContext.m_trouble ? healed + kContact : cut;
  return HasStartedLate(runner, inTouchFrom, record);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  return RunScenario(aArgc, aArgv, Play);
}
