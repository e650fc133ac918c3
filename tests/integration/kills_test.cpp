#include "support/cluster.h"
#include "support/requestcrowd.h"
#include "support/submissions.h"
#include "support/waituntil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <utility>

namespace mulberrysail::testsupport {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kDeadline = 10s;
constexpr std::chrono::milliseconds kRun = 300ms;
constexpr std::uint32_t kEntries = 2;
constexpr std::uint32_t kCrowd = 40;

/** Processes are killed or paused in the middle of work, and work is submitted
 * again. */
class KillsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KillsTest);
  CPPUNIT_TEST(EntryIsKilledInMidJob);
  CPPUNIT_TEST(AgentIsPausedBeyondItsLease);
  CPPUNIT_TEST(EndpointIsKilled);
  CPPUNIT_TEST(WorkerIsKilledInMidJob);
  CPPUNIT_TEST(WorkerFailsEverything);
  CPPUNIT_TEST(SameKeyThroughTwoEntries);
  CPPUNIT_TEST(ResubmissionAfterTheEntryWasKilled);
  CPPUNIT_TEST(CancelledJobStopsOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    ClusterOptions options;
    options.m_entries = kEntries;
    options.m_serviceConfig = { { "expected_run_ms", kRun.count() } };
    m_cluster = std::make_unique<Cluster>(options);
    m_cluster->Start();
    m_crowd =
      std::make_unique<RequestCrowd>(*m_cluster, kEntries, kRun, kDeadline);
  }

  void tearDown() override
  {
    m_crowd.reset();
    m_cluster.reset();
  }

  void EntryIsKilledInMidJob()
  {
    std::vector<SubmittedWork> lost = MakeTasks("lost", 30);
    std::future<network::HttpOutcome> open = StartJob(1, lost);
    WaitForJournal("worker-1");
    m_cluster->Member("entry-1").Kill();
    const network::HttpOutcome outcome = open.get();
    CPPUNIT_ASSERT(outcome.m_delivery != network::HttpDelivery::Answered);
    m_answers.push_back(ReadAnswer(std::move(lost), outcome));

    std::vector<SubmittedWork> again = MakeTasks("again", 30);
    std::future<network::HttpOutcome> second = StartJob(2, again);
    m_answers.push_back(ReadAnswer(std::move(again), second.get()));
    CPPUNIT_ASSERT(m_answers.back().m_outcome == ToldOutcome::Complete);
    CheckInvariants();
  }

  void AgentIsPausedBeyondItsLease()
  {
    m_crowd->Submit("before", kCrowd);
    WaitForJournal("endpoint-1");
    m_cluster->Member("agent-1").Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil(20s, [this] { return Endpoints(1) == 2; }));
    m_crowd->Submit("during", kCrowd);
    m_crowd->Collect();
    m_cluster->Member("agent-1").Signal(SIGCONT);
    CPPUNIT_ASSERT(WaitUntil(20s, [this] { return Endpoints(1) == 3; }));
    m_crowd->Submit("after", kCrowd);
    CPPUNIT_ASSERT(m_crowd->Collect() >= std::size_t{ 2 } * kCrowd);
    CheckInvariants();
  }

  void EndpointIsKilled()
  {
    m_crowd->Submit("before", kCrowd);
    WaitForJournal("endpoint-1");
    m_cluster->Member("endpoint-1").Kill();
    m_crowd->Submit("after", kCrowd);
    CPPUNIT_ASSERT(m_crowd->Collect() >= kCrowd);
    CheckInvariants();
  }

  void WorkerIsKilledInMidJob()
  {
    std::vector<SubmittedWork> tasks = MakeTasks("task", 50);
    std::future<network::HttpOutcome> open = StartJob(1, tasks);
    WaitForJournal("worker-1");
    m_cluster->Member("worker-1").Kill();
    m_answers.push_back(ReadAnswer(std::move(tasks), open.get()));
    CPPUNIT_ASSERT(m_answers.back().m_outputs.empty() ||
                   m_answers.back().m_outcome == ToldOutcome::Complete);
    CheckInvariants();
  }

  /** After its first failures the worker gets next to nothing. */
  void WorkerFailsEverything()
  {
    m_cluster->Control("worker-1", { { "fail_all", true } });
    constexpr int kJobs = 40;
    constexpr int kLast = 20;
    int lastComplete = 0;
    for (int i = 0; i < kJobs; ++i) {
      std::vector<SubmittedWork> tasks =
        MakeTasks("job" + std::to_string(i), 3, 20ms);
      std::future<network::HttpOutcome> open =
        StartJob(1 + static_cast<std::uint32_t>(i) % kEntries, tasks);
      m_answers.push_back(ReadAnswer(std::move(tasks), open.get()));
      lastComplete += i >= kJobs - kLast &&
                      m_answers.back().m_outcome == ToldOutcome::Complete;
    }
    CheckInvariants();
    // One probe may fall into the last ones.
    CPPUNIT_ASSERT(lastComplete >= kLast - 1);
  }

  void SameKeyThroughTwoEntries()
  {
    constexpr int kKeys = 12;
    std::vector<std::pair<SubmittedWork, std::future<network::HttpOutcome>>>
      open;
    for (int i = 0; i < kKeys; ++i) {
      for (std::uint32_t entry = 1; entry <= kEntries; ++entry) {
        const std::string key = "slip-" + std::to_string(i);
        open.push_back(StartKeyed(entry, key, "-" + std::to_string(entry), 0));
      }
    }
    int complete = 0;
    for (auto& [work, outcome] : open) {
      m_answers.push_back(ReadAnswer({ work }, outcome.get()));
      complete += m_answers.back().m_outcome == ToldOutcome::Complete ? 1 : 0;
    }
    CPPUNIT_ASSERT(complete >= kKeys);
    CheckInvariants();
  }

  void ResubmissionAfterTheEntryWasKilled()
  {
    auto [first, lost] = StartKeyed(1, "receipt", "-1", 1);
    CPPUNIT_ASSERT(WaitUntil(10s, [this] { return AnyStart(); }));
    m_cluster->Member("entry-1").Kill();
    m_answers.push_back(ReadAnswer({ first }, lost.get()));
    auto [second, open] = StartKeyed(2, "receipt", "-2", 2);
    const network::HttpOutcome outcome = open.get();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.m_body, 200, outcome.m_status);
    // It is the first one's own answer.
    CPPUNIT_ASSERT(outcome.m_body.find("receipt-1") != std::string::npos);
    m_answers.push_back(ReadAnswer({ second }, outcome));
    CheckInvariants();
  }

  void CancelledJobStopsOnce()
  {
    std::vector<SubmittedWork> tasks = MakeTasks("task", 100);
    nlohmann::json body = JobBody(tasks, 1, kDeadline);
    body["wait"] = false;
    const network::HttpOutcome opened =
      m_cluster->Http().Post(Url(1, "jobs"), body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(opened.m_body, 202, opened.m_status);
    const std::string id = nlohmann::json::parse(opened.m_body)["submission"];
    const std::string url =
      m_cluster->Layout().CallerUrl(1) + "/v1/submissions/" + id;
    WaitForJournal("worker-1");
    for (int i = 0; i < 2; ++i) {
      network::HttpCall cancel;
      cancel.m_method = "DELETE";
      cancel.m_url = url;
      CPPUNIT_ASSERT_EQUAL(
        200, m_cluster->Http().Start(std::move(cancel)).get().m_status);
    }
    const nlohmann::json status = m_cluster->Http().GetJson(url);
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled-running"),
                         status["error"]["kind"].get<std::string>());
    CPPUNIT_ASSERT(status.value("outputs", nlohmann::json::array()).empty());
    CheckInvariants();
  }

private:
  static std::vector<SubmittedWork> MakeTasks(
    const std::string& aName,
    int aCount,
    std::chrono::milliseconds aRun = kRun)
  {
    std::vector<SubmittedWork> tasks;
    tasks.reserve(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      tasks.push_back(MakeWork(aName + "-" + std::to_string(i), aRun));
    }
    return tasks;
  }

  std::string Url(std::uint32_t aEntry, const std::string& aWhat) const
  {
    return m_cluster->Layout().CallerUrl(aEntry) + "/v1/services/photo-check/" +
           aWhat;
  }

  std::future<network::HttpOutcome> StartJob(
    std::uint32_t aEntry,
    const std::vector<SubmittedWork>& aTasks)
  {
    return m_cluster->Http().StartPost(Url(aEntry, "jobs"),
                                       JobBody(aTasks, 1, kDeadline));
  }

  std::pair<SubmittedWork, std::future<network::HttpOutcome>> StartKeyed(
    std::uint32_t aEntry,
    const std::string& aKey,
    const std::string& aSuffix,
    int aSubmission)
  {
    SubmittedWork work = MakeWork(aKey + aSuffix, kRun);
    work.m_key = aKey;
    nlohmann::json body = RequestBody(work, kDeadline);
    body["repeatable"] = false;
    body["key"] = aKey;
    if (aSubmission > 0) {
      body["submission"] = aSubmission;
    }
    return { std::move(work),
             m_cluster->Http().StartPost(Url(aEntry, "requests"), body) };
  }

  std::string Journal(const std::string& aMember)
  {
    return m_cluster->Http()
      .Get(m_cluster->Layout().DirectUrl(aMember) + "/journal")
      .m_body;
  }

  void WaitForJournal(const std::string& aMember)
  {
    CPPUNIT_ASSERT(WaitUntil(10s, [&] { return !Journal(aMember).empty(); }));
  }

  bool AnyStart()
  {
    return !Journal("endpoint-1").empty() || !Journal("endpoint-2").empty() ||
           !Journal("endpoint-3").empty();
  }

  /** @return the endpoints that an entry counts. */
  int Endpoints(std::uint32_t aEntry)
  {
    const nlohmann::json services = m_cluster->Http().GetJson(
      m_cluster->Layout().CallerUrl(aEntry) + "/v1/services");
    return services.is_object() ? services["services"][0].value("endpoints", 0)
                                : 0;
  }

  void CheckInvariants()
  {
    JournalChecker checker;
    m_cluster->AddJournals(checker);
    for (const CallerAnswer& answer : m_answers) {
      checker.AddAnswer(answer);
    }
    for (const std::string& violation : checker.Violations()) {
      CPPUNIT_FAIL(violation);
    }
    for (const std::string& violation : m_crowd->Violations()) {
      CPPUNIT_FAIL(violation);
    }
    m_answers.clear();
  }

  std::unique_ptr<Cluster> m_cluster;
  std::unique_ptr<RequestCrowd> m_crowd;
  std::vector<CallerAnswer> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KillsTest);

} // namespace

} // namespace mulberrysail::testsupport
