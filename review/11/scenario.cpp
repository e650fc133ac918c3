#include "../lib-3/deployment.h"
#include "../lib-3/runscenario.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

/** A runner that has started again under its id takes a lease that its agent
 * counts as shorter; the task starts elsewhere while it goes on. */
namespace {

using namespace mulberrysail::review3;
using std::chrono::milliseconds;

/** All from the acknowledgement of a ping. The runner is cut off, starts again
 * behind the cut, and is reached again before its next ping. */
constexpr milliseconds kCut{ 50 };
constexpr milliseconds kStartsAgain{ 150 };
constexpr milliseconds kHealed{ 1200 };
constexpr milliseconds kJob{ 1300 };
/** The second cut begins this long after the start of the task. */
constexpr milliseconds kSecondCutAfterStart{ 100 };
constexpr milliseconds kSecondCut{ 4000 };
/** As `fare-settle` of the sheet. */
constexpr milliseconds kTask{ 760 };
constexpr std::uint32_t kMilliCores = 5800;
constexpr milliseconds kBudget{ 1500 };
constexpr milliseconds kWarmUp{ 3000 };
constexpr milliseconds kTimeout{ 5000 };
constexpr milliseconds kPoll{ 1 };
/** Shorter overlaps are left to the precision of the record. */
constexpr milliseconds kLeastOverlap{ 10 };

void
AwaitPing(const Runner& aRunner)
{
  const std::size_t count = aRunner.AckedPings().size();
  const Instant until = Now() + kTimeout;
  while (aRunner.AckedPings().size() == count) {
    if (Now() > until) {
      throw std::runtime_error("no ping was acknowledged");
    }
    std::this_thread::sleep_for(kPoll);
  }
}

std::vector<Begun>
RunsOf(const Runner& aRunner, const std::string& aId)
{
  std::vector<Begun> runs = aRunner.BegunRuns();
  std::erase_if(
    runs, [&](const Begun& aBegun) { return !aBegun.m_task.starts_with(aId); });
  return runs;
}

Instant
AwaitStart(const Runner& aRunner, const std::string& aId)
{
  const Instant until = Now() + kTimeout;
  while (RunsOf(aRunner, aId).empty()) {
    if (Now() > until) {
      throw std::runtime_error("the task was not started on the runner");
    }
    std::this_thread::sleep_for(kPoll);
  }
  return RunsOf(aRunner, aId).front().m_at;
}

/** @return for how long two runs of the job's only task were at work at the
 * same time on different runners. */
milliseconds
LongestOverlap(Deployment& aDeployment, const std::string& aId)
{
  std::vector<Begun> runs;
  for (std::size_t i = 0; i < aDeployment.RunnerCount(); ++i) {
    for (const Begun& run :
         RunsOf(aDeployment.RunnerAt(static_cast<std::uint32_t>(i)), aId)) {
      runs.push_back(run);
    }
  }
  std::sort(
    runs.begin(), runs.end(), [](const Begun& aLeft, const Begun& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  milliseconds longest{};
  for (std::size_t i = 1; i < runs.size(); ++i) {
    const Instant end = std::min(runs[i - 1].m_endedAt.value_or(Now()),
                                 runs[i].m_endedAt.value_or(Now()));
    longest = std::max(longest, milliseconds(MillisBetween(runs[i].m_at, end)));
  }
  return longest;
}

bool
Play(ScenarioContext& aContext)
{
  Record& record = aContext.m_record;
  DeploymentOptions options;
  options.m_agents = 10;
  options.m_statesBorn = true;
  options.m_route = { { "timeout-ms", kBudget.count() },
                      { "target-duration-ms", 60 },
                      { "max-attempts", 3 },
                      { "slack-factor", 1.6 } };
  Deployment deployment(options, aContext.m_folder, record);
  deployment.WaitUntilServing();
  std::this_thread::sleep_for(kWarmUp);

  Runner& runner = deployment.RunnerAt(0);
  AwaitPing(runner);
  const Instant begin = Now();
  if (aContext.m_trouble) {
    std::this_thread::sleep_until(begin + kCut);
    runner.SetCut(true);
    std::this_thread::sleep_until(begin + kStartsAgain);
    runner.StartAgain();
    std::this_thread::sleep_until(begin + kHealed);
    runner.SetCut(false);
  }
  std::this_thread::sleep_until(begin + kJob);
  const std::string id = MakeJobId();
  HttpConnection connection(deployment.EntryAddress(0), kFrontendPort);
  record.Add("the client submits job " + id);
  connection.Send(
    "POST",
    kRoutePrefix + id,
    CallFields(kBudget),
    MakeBody(
      { .m_length = kTask, .m_milliCores = kMilliCores, .m_rack = "r1-1" }));
  const Instant started = AwaitStart(runner, id);
  if (aContext.m_trouble) {
    std::this_thread::sleep_until(started + kSecondCutAfterStart);
    runner.SetCut(true);
  }
  const std::optional<HttpResponse> answer = connection.Receive(kBudget);
  record.Add("the client gets " +
             (answer ? std::to_string(answer->m_status) + " " + answer->m_body
                     : std::string("no answer")));
  std::this_thread::sleep_until(started + kSecondCutAfterStart + kSecondCut);
  if (aContext.m_trouble) {
    runner.SetCut(false);
  }
  const milliseconds overlap = LongestOverlap(deployment, id);
  record.Add("two runs of the task were at work at the same time for " +
             std::to_string(overlap.count()) + " ms");
  return overlap > kLeastOverlap;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  return RunScenario(aArgc, aArgv, Play);
}
