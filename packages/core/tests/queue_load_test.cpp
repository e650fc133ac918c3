#include "core/ientry.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <queue>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr int kAgents = 11;
constexpr std::uint32_t kTaskMilliCores = 1600;
constexpr std::uint32_t kAgentMilliCores = 16000;
constexpr Duration kSimulatedTime = seconds(20);
/** Jobs of the first seconds, in which the entry learns run times, are not
 * counted. */
constexpr Duration kWarmUp = seconds(3);
/** Jobs of the last seconds, whose deadline is after the end, are not
 * counted. */
constexpr Duration kCoolDown = seconds(3);
/** Shape of the lognormal run times and task counts. */
constexpr double kSigma = 0.4;
/** Median of a lognormal variable with mean 1 and shape kSigma. */
constexpr double kMedianOverMean = 0.92;
constexpr Duration kNetworkDelay = milliseconds(1);
constexpr double kSlackFactor = 1.6;
constexpr Duration kTargetDuration = milliseconds(60);

constexpr const char* kDocument = R"({
  "services": {"photo": {}},
  "queues": {
    "short": {"prefix": "/a/", "service": "photo", "priority": 0,
              "slack_factor": 1.6, "target_duration_ms": 60},
    "long": {"prefix": "/b/", "service": "photo", "priority": 2,
             "slack_factor": 1.6, "target_duration_ms": 60},
    "plain": {"prefix": "/c/", "service": "photo", "priority": 1,
              "slack_factor": 1.6, "target_duration_ms": 60}
  }
})";

/** One kind of job in the users' mix. */
struct JobKind
{
  const char* m_queue;
  double m_perSecond;
  /** Mean number of tasks of a job. */
  double m_tasks;
  /** Mean run time of a task in milliseconds. */
  double m_runMs;
};

constexpr std::array kJobKinds = {
  JobKind{ "short", 34.4, 8, 60 },
  JobKind{ "long", 6.25, 4, 900 },
  JobKind{ "plain", 100, 2, 200 },
};

struct Job
{
  std::size_t m_kind = 0;
  Instant m_arrivedAt;
  std::vector<Duration> m_runs;
  std::optional<Instant> m_doneAt;

  Duration Longest() const
  {
    return *std::max_element(m_runs.begin(), m_runs.end());
  }
  double TotalRunUs() const
  {
    const Duration sum =
      std::accumulate(m_runs.begin(), m_runs.end(), Duration::zero());
    return static_cast<double>(sum.count());
  }
  bool InTime() const
  {
    const Duration objective =
      Duration(static_cast<Duration::rep>(
        kSlackFactor * static_cast<double>(Longest().count()))) +
      kTargetDuration;
    return m_doneAt && *m_doneAt - m_arrivedAt <= objective;
  }
};

/** Shares of jobs that were completed in time. */
struct InTimeShares
{
  std::array<double, kJobKinds.size()> m_inTime{};
  /** Share among the largest tenth of each kind. */
  std::array<double, kJobKinds.size()> m_largestInTime{};
  double m_allInTime = 0;
};

/** Runs an entry core with simulated agents on a virtual clock. */
class LoadSimulation
{
public:
  LoadSimulation(JobOrderPolicy aOrder, double aLoadFactor)
    : m_load(aLoadFactor)
    , m_random(kSeed)
  {
    EntryPolicy policy;
    policy.m_agentQueueDepth = 0;
    policy.m_jobOrder = aOrder;
    m_entry = MakeEntry({ "entry", { 1 } }, 0, policy, kSeed);
    m_now = Instant(std::chrono::hours(1));
    HandleEvent(
      ConfigChanged{ ParseConfiguration({ 1 }, kDocument).value(), kDocument });
    for (int i = 0; i < kAgents; ++i) {
      m_free.push_back(kAgentMilliCores);
      Announce announce;
      announce.m_leaseFor = std::chrono::hours(1);
      announce.m_workers.push_back(
        { "w", "r", { kAgentMilliCores, 65536, 0 }, false });
      announce.m_load = Load(i);
      HandleEvent(MessageReceived{ IdOf(i), announce });
    }
    for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
      ScheduleArrival(kind);
    }
  }

  InTimeShares Run()
  {
    const Instant end = m_now + kSimulatedTime;
    while (true) {
      const Instant next = std::min(
        m_entry->NextWake(), m_events.empty() ? kNever : m_events.top().m_at);
      if (next >= end) {
        return ComputeShares();
      }
      m_now = std::max(m_now, next);
      if (!m_events.empty() && m_events.top().m_at <= m_now) {
        const Event event = m_events.top();
        m_events.pop();
        event.m_act();
      } else {
        HandleEvent(TimerFired{});
      }
    }
  }

private:
  struct Event
  {
    Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_act;

    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };

  static ProcessId IdOf(int aAgent)
  {
    return { "agent" + std::to_string(aAgent), { 1 } };
  }

  void At(Instant aWhen, std::function<void()> aAct)
  {
    m_events.push({ aWhen, m_nextOrder++, std::move(aAct) });
  }

  LoadReport Load(int aAgent)
  {
    LoadReport load;
    load.m_sequence = ++m_loadSequence;
    load.m_reportedAt = m_now;
    load.m_lastOfferSequence = m_lastOfferSequence[aAgent];
    load.m_freeCapacity = { m_free[aAgent], 65536, 0 };
    load.m_config = { 1 };
    load.m_newestConfig = { 1 };
    return load;
  }

  void ScheduleArrival(std::size_t aKind)
  {
    const double mean = 1e6 / (kJobKinds[aKind].m_perSecond * m_load);
    const double gap =
      boost::random::exponential_distribution<double>(1 / mean)(m_random);
    At(m_now + Duration(static_cast<Duration::rep>(gap)), [this, aKind] {
      SubmitNextJob(aKind);
      ScheduleArrival(aKind);
    });
  }

  double DrawLognormal(double aMedian, double aSigma)
  {
    return boost::random::lognormal_distribution<double>(std::log(aMedian),
                                                         aSigma)(m_random);
  }

  void SubmitNextJob(std::size_t aKind)
  {
    const JobKind& kind = kJobKinds[aKind];
    const std::uint64_t number = m_jobs.size() + 1;
    Job job;
    job.m_kind = aKind;
    job.m_arrivedAt = m_now;
    SubmitJob submit;
    submit.m_caller = { number };
    submit.m_queue = kind.m_queue;
    submit.m_name = std::to_string(number);
    submit.m_deadline = seconds(3);
    const double run = DrawLognormal(kind.m_runMs * kMedianOverMean, kSigma);
    const double declared = run * DrawLognormal(1, kSigma);
    const int tasks = std::max(1,
                               static_cast<int>(std::lround(DrawLognormal(
                                 kind.m_tasks * kMedianOverMean, kSigma))));
    for (int i = 0; i < tasks; ++i) {
      job.m_runs.push_back(Duration(
        static_cast<Duration::rep>(1000 * run * DrawLognormal(1, 0.15))));
      TaskSpec task;
      task.m_need = { kTaskMilliCores, 64, 0 };
      task.m_declaredRun =
        Duration(static_cast<Duration::rep>(1000 * declared));
      task.m_name = submit.m_name + "." + std::to_string(i);
      submit.m_tasks.push_back(task);
    }
    m_jobs.push_back(std::move(job));
    HandleEvent(submit);
  }

  void HandleEvent(EntryEvent aEvent)
  {
    EntryCommands commands;
    m_entry->Handle(m_now, std::move(aEvent), commands);
    for (EntryCommand& command : commands) {
      if (SendMessage* send = std::get_if<SendMessage>(&command)) {
        if (OfferBatch* batch = std::get_if<OfferBatch>(&send->m_message)) {
          Deliver(send->m_to, *batch);
        }
      } else if (AnswerCaller* answer = std::get_if<AnswerCaller>(&command)) {
        if (answer->m_answer.m_kind == ErrorKind::None) {
          m_jobs[answer->m_caller.m_value - 1].m_doneAt = m_now;
        }
      }
    }
  }

  void Deliver(const ProcessId& aTo, const OfferBatch& aBatch)
  {
    const int agent = std::stoi(aTo.m_name.substr(5));
    At(m_now + kNetworkDelay, [this, agent, batch = aBatch] {
      m_lastOfferSequence[agent] = batch.m_sequence;
      for (const Offer& offer : batch.m_offers) {
        Start(agent, offer);
      }
    });
  }

  void Start(int aAgent, const Offer& aOffer)
  {
    // A single entry knows the free capacity, so no offer exceeds it.
    CPPUNIT_ASSERT(m_free[aAgent] >= aOffer.m_need.m_milliCores);
    m_free[aAgent] -= aOffer.m_need.m_milliCores;
    const std::size_t dot = aOffer.m_name.find('.');
    const Job& job = m_jobs[std::stoul(aOffer.m_name.substr(0, dot)) - 1];
    const Duration run = job.m_runs[std::stoul(aOffer.m_name.substr(dot + 1))];
    At(m_now + run, [this, aAgent, id = aOffer.m_attempt, run] {
      m_free[aAgent] += kTaskMilliCores;
      ReportBatch batch;
      AttemptReport report;
      report.m_attempt = id;
      report.m_fate = AttemptFate::Completed;
      report.m_ranFor = run;
      batch.m_reports.push_back(report);
      batch.m_load = Load(aAgent);
      At(m_now + kNetworkDelay, [this, aAgent, batch] {
        HandleEvent(MessageReceived{ IdOf(aAgent), batch });
      });
    });
  }

  InTimeShares ComputeShares() const
  {
    InTimeShares shares;
    std::size_t counted = 0;
    std::size_t inTime = 0;
    for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
      std::vector<const Job*> jobs;
      for (const Job& job : m_jobs) {
        const Duration after = job.m_arrivedAt - Instant(std::chrono::hours(1));
        if (job.m_kind == kind && after > kWarmUp &&
            after < kSimulatedTime - kCoolDown) {
          jobs.push_back(&job);
        }
      }
      std::sort(
        jobs.begin(), jobs.end(), [](const Job* aLeft, const Job* aRight) {
          return aLeft->TotalRunUs() > aRight->TotalRunUs();
        });
      shares.m_inTime[kind] = InTimeShare(jobs, jobs.size());
      shares.m_largestInTime[kind] = InTimeShare(jobs, jobs.size() / 10);
      counted += jobs.size();
      inTime += static_cast<std::size_t>(
        std::lround(shares.m_inTime[kind] * static_cast<double>(jobs.size())));
    }
    shares.m_allInTime =
      static_cast<double>(inTime) / static_cast<double>(counted);
    return shares;
  }

  static double InTimeShare(const std::vector<const Job*>& aJobs,
                            std::size_t aCount)
  {
    const auto end = aJobs.begin() + static_cast<std::ptrdiff_t>(aCount);
    const std::ptrdiff_t inTime = std::count_if(
      aJobs.begin(), end, [](const Job* aJob) { return aJob->InTime(); });
    return static_cast<double>(inTime) / static_cast<double>(aCount);
  }

  const double m_load;
  boost::random::mt19937_64 m_random;
  std::unique_ptr<IEntry> m_entry;
  Instant m_now;
  std::vector<Job> m_jobs;
  std::vector<std::uint32_t> m_free;
  std::map<int, std::uint64_t> m_lastOfferSequence;
  std::uint64_t m_loadSequence = 0;
  std::uint64_t m_nextOrder = 0;
  std::priority_queue<Event> m_events;
};

/** Runs the users' job mix through the entry's policies and measures the share
 * of jobs completed in time. At load 1, 140 jobs per second take 72% of the
 * cores. */
class QueueLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QueueLoadTest);
  CPPUNIT_TEST(ModerateLoadIsServedInTime);
  CPPUNIT_TEST(LargeJobsAreServedUnderOverload);
  CPPUNIT_TEST(NoQueueIsStarvedUnderOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  void ModerateLoadIsServedInTime()
  {
    const InTimeShares shares = LoadSimulation(LeastSlackFirst{}, 0.9).Run();
    CPPUNIT_ASSERT_MESSAGE("share in time " +
                             std::to_string(shares.m_allInTime) +
                             ", expected more than 0.98",
                           shares.m_allInTime > 0.98);
  }

  /** Acceptance criterion of the platform: for each kind, the in-time share of
   * the largest tenth of its jobs is at least half of the in-time share of all
   * its jobs. */
  void LargeJobsAreServedUnderOverload()
  {
    const InTimeShares chosen = LoadSimulation(LeastSlackFirst{}, 1.8).Run();
    const InTimeShares baseline = LoadSimulation(SmallestFirst{}, 1.8).Run();
    double largestInTime = 0;
    double largestInTimeOfBaseline = 0;
    for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
      CPPUNIT_ASSERT_MESSAGE(std::string(kJobKinds[kind].m_queue) +
                               ": share of the largest jobs in time " +
                               std::to_string(chosen.m_largestInTime[kind]) +
                               ", expected at least half of " +
                               std::to_string(chosen.m_inTime[kind]),
                             chosen.m_largestInTime[kind] >=
                               0.5 * chosen.m_inTime[kind]);
      largestInTime += chosen.m_largestInTime[kind];
      largestInTimeOfBaseline += baseline.m_largestInTime[kind];
    }
    CPPUNIT_ASSERT(largestInTime > largestInTimeOfBaseline);
  }

  void NoQueueIsStarvedUnderOverload()
  {
    const InTimeShares shares = LoadSimulation(LeastSlackFirst{}, 1.8).Run();
    for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
      CPPUNIT_ASSERT_MESSAGE(
        std::string(kJobKinds[kind].m_queue) + ": share in time " +
          std::to_string(shares.m_inTime[kind]) + ", expected at least 0.3",
        shares.m_inTime[kind] >= 0.3);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueLoadTest);

} // namespace

} // namespace mulberrysail::core
