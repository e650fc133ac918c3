#include "support/callerload.h"
#include "support/cluster.h"
#include "support/submissions.h"
#include "support/versionobserver.h"
#include "support/waituntil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <memory>

namespace mulberrysail::testsupport {

namespace {

using namespace std::chrono_literals;
using network::HttpOutcome;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
/** An accepted patch is in force everywhere after this. */
constexpr milliseconds kInForceBound = 3s;
/** Of a process to start and serve. */
constexpr milliseconds kStartTimeout = 10s;
constexpr std::size_t kOpen = 20;
constexpr std::size_t kTasks = 8;

/** Operators patch the configuration while the store and links fail. */
class ConfigurationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(RacingPatchesGiveOneWinner);
  CPPUNIT_TEST(LostAnswerIsSettledByReadingBack);
  CPPUNIT_TEST(PatchIsInForceEverywhere);
  CPPUNIT_TEST(PatchReachesEntryCutOffFromStore);
  CPPUNIT_TEST(StaleReadDoesNotRevert);
  CPPUNIT_TEST(EntryRestartedInOutageLearnsConfiguration);
  CPPUNIT_TEST(EntryRestartedInOutageIsFoundByAgents);
  CPPUNIT_TEST(EntryRestartedUnderStaleReadsDoesNotRevert);
  CPPUNIT_TEST(WorkGoesOnInOutage);
  CPPUNIT_TEST(BadPatchChangesNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { StartCluster(true); }

  void tearDown() override
  {
    m_load.reset();
    m_observer.reset();
    m_cluster.reset();
  }

  void RacingPatchesGiveOneWinner()
  {
    std::future<HttpOutcome> first = StartPatch("entry-1", "a", 1, Change(11));
    std::future<HttpOutcome> second = StartPatch("entry-2", "b", 1, Change(22));
    const HttpOutcome one = first.get();
    const HttpOutcome two = second.get();
    const bool firstWon = one.m_status == kOk;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      one.m_body + two.m_body, kOk + kConflict, one.m_status + two.m_status);
    CPPUNIT_ASSERT(firstWon || two.m_status == kOk);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, VersionIn(firstWon ? one : two));
    CPPUNIT_ASSERT(m_observer->WaitFor(2, kInForceBound));
    for (const char* entry : { "entry-1", "entry-2" }) {
      CheckDocument(entry, 2, firstWon ? 11 : 22);
    }
    CheckInvariants();
  }

  void LostAnswerIsSettledByReadingBack()
  {
    m_cluster->Control("store", { { "mode", "mute_after_write" } });
    const HttpOutcome outcome = Patch("entry-1", "lost", 1, Change(11));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.m_body, kOk, outcome.m_status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, VersionIn(outcome));
    m_cluster->Control("store", { { "mode", "normal" } });
    for (const char* entry : { "entry-1", "entry-2" }) {
      const HttpOutcome again = Patch(entry, "lost", 1, Change(11));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(again.m_body, kOk, again.m_status);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, VersionIn(again));
    }
    CheckDocument("entry-1", 2, 11);
    CheckInvariants();
  }

  void PatchIsInForceEverywhere()
  {
    PatchAndSpread("entry-1", 1);
    PatchAndSpread("entry-2", 2);
    CheckInvariants();
  }

  void PatchReachesEntryCutOffFromStore()
  {
    m_cluster->SetLink("store/entry-2", { { "mode", "cut" } });
    PatchAndSpread("entry-1", 1);
    CheckDocument("entry-2", 2, 1);
    m_cluster->SetLink("store/entry-2", { { "mode", "pass" } });
    PatchAndSpread("entry-2", 2);
    CheckInvariants();
  }

  void StaleReadDoesNotRevert()
  {
    PatchAndSpread("entry-1", 1);
    m_cluster->Control("store", { { "mode", "stale_read" } });
    PatchAndSpread("entry-1", 2);
    // They read again when their watches have ended.
    const std::uint64_t reads = StoreReads();
    for (const char* link : { "store/entry-1", "store/entry-2" }) {
      m_cluster->SetLink(link, { { "mode", "cut" } });
      m_cluster->SetLink(link, { { "mode", "pass" } });
    }
    CPPUNIT_ASSERT(WaitUntil(10s, [&] {
      m_observer->Poll();
      return StoreReads() >= reads + 4;
    }));
    CPPUNIT_ASSERT(m_observer->WaitFor(3, kInForceBound));
    CheckInvariants();
  }

  void EntryRestartedInOutageLearnsConfiguration()
  {
    PatchAndSpread("entry-1", 1);
    m_cluster->Control("store", { { "mode", "down" } });
    RestartEntry("entry-2");
    CheckDocument("entry-2", 2, 1);
    m_cluster->Control("store", { { "mode", "normal" } });
    PatchAndSpread("entry-2", 2);
    CheckInvariants();
  }

  /** Agents that know entries only from the store keep those that they knew,
   * and the entry learns the configuration from them. */
  void EntryRestartedInOutageIsFoundByAgents()
  {
    StartCluster(false);
    PatchAndSpread("entry-1", 1);
    m_cluster->Control("store", { { "mode", "down" } });
    RestartEntry("entry-2");
    CheckDocument("entry-2", 2, 1);
    CheckInvariants();
  }

  void EntryRestartedUnderStaleReadsDoesNotRevert()
  {
    PatchAndSpread("entry-1", 1);
    m_cluster->Control("store", { { "mode", "stale_read" } });
    PatchAndSpread("entry-1", 2);
    RestartEntry("entry-2");
    CPPUNIT_ASSERT(m_observer->WaitFor(3, kInForceBound));
    CheckInvariants();
  }

  void WorkGoesOnInOutage()
  {
    m_cluster->Control("store", { { "mode", "down" } });
    std::vector<SubmittedWork> tasks;
    for (std::size_t i = 0; i < kTasks; ++i) {
      tasks.push_back(MakeWork("task-" + std::to_string(i), 100ms));
    }
    std::future<HttpOutcome> job = m_cluster->Http().StartPost(
      m_cluster->Layout().CallerUrl(1) + "/v1/services/photo-check/jobs",
      JobBody(tasks, 1.0, 10s));
    CPPUNIT_ASSERT(WaitUntil(10s, [&] {
      m_load->Pump();
      m_load->Fill(kOpen);
      m_observer->Poll();
      return m_load->Complete() >= 10 * kOpen;
    }));
    const HttpOutcome outcome = job.get();
    const CallerAnswer answer = ReadAnswer(tasks, outcome);
    CPPUNIT_ASSERT_MESSAGE(outcome.m_body + outcome.m_detail,
                           answer.m_outcome == ToldOutcome::Complete);
    JournalChecker checker;
    checker.AddAnswer(answer);
    m_cluster->AddJournals(checker);
    CheckNone(checker.Violations());
    CheckInvariants();
  }

  void BadPatchChangesNothing()
  {
    const json bad = { { "services",
                         { { "photo-check", { { "max_open", "many" } } } } },
                       { "teams", { { "tasdira", { { "weight", 7 } } } } } };
    const HttpOutcome outcome = Patch("entry-1", "bad", 1, bad);
    CPPUNIT_ASSERT_EQUAL(kUnprocessable, outcome.m_status);
    CPPUNIT_ASSERT_MESSAGE(
      outcome.m_body,
      outcome.m_body.find("services.photo-check.max_open") !=
        std::string::npos);
    // The next one is based on the same version, so nothing was written.
    PatchAndSpread("entry-2", 1);
    CheckDocument("entry-1", 2, 1);
    CheckInvariants();
  }

private:
  void StartCluster(bool aProxies)
  {
    tearDown();
    ClusterOptions options;
    options.m_workers = 1;
    options.m_proxies = aProxies;
    m_cluster = std::make_unique<Cluster>(options);
    m_cluster->Start();
    m_observer = std::make_unique<VersionObserver>(
      *m_cluster,
      std::vector<std::string>{
        "entry-1", "entry-2", "agent-1", "agent-2", "agent-3" });
    m_load = std::make_unique<CallerLoad>(*m_cluster, 2);
    CPPUNIT_ASSERT(m_observer->WaitFor(1, kInForceBound));
  }

  /** @return a patch of two sections, both with @p aMark. */
  static json Change(std::uint32_t aMark)
  {
    return { { "services",
               { { "photo-check", { { "max_open", 1000 + aMark } } } } },
             { "teams", { { "tasdira", { { "weight", aMark } } } } } };
  }

  std::future<HttpOutcome> StartPatch(const std::string& aEntry,
                                      const std::string& aId,
                                      std::uint64_t aBase,
                                      const json& aPatch)
  {
    return m_cluster->Http().StartPost(
      m_cluster->Layout().DirectUrl(aEntry) + "/v1/config/patches",
      { { "base", aBase }, { "id", aId }, { "patch", aPatch } });
  }

  HttpOutcome Patch(const std::string& aEntry,
                    const std::string& aId,
                    std::uint64_t aBase,
                    const json& aPatch)
  {
    return StartPatch(aEntry, aId, aBase, aPatch).get();
  }

  static std::uint64_t VersionIn(const HttpOutcome& aOutcome)
  {
    return json::parse(aOutcome.m_body).at("version").get<std::uint64_t>();
  }

  /** Patches, marked with @p aBase, and waits till it is in force. */
  void PatchAndSpread(const std::string& aEntry, std::uint32_t aBase)
  {
    const HttpOutcome outcome =
      Patch(aEntry, "patch-" + std::to_string(aBase), aBase, Change(aBase));
    const steady_clock::time_point accepted = steady_clock::now();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.m_body, kOk, outcome.m_status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ aBase } + 1, VersionIn(outcome));
    const bool inForce = m_observer->WaitFor(aBase + 1, kInForceBound);
    const std::string spread = m_observer->Spread(aBase + 1, accepted);
    std::cout << "\n" << spread << "\n";
    CPPUNIT_ASSERT_MESSAGE(spread, inForce);
  }

  /** Kills an entry and waits till a new one takes work. */
  void RestartEntry(const std::string& aEntry)
  {
    m_cluster->Member(aEntry).Kill();
    m_cluster->Restart(aEntry);
    const std::string url = m_cluster->Layout().DirectUrl(aEntry) + "/readyz";
    const steady_clock::time_point restarted = steady_clock::now();
    const bool ready = WaitUntil(kStartTimeout, [&] {
      m_observer->Poll();
      return m_cluster->Http().Get(url).m_status == kOk;
    });
    CPPUNIT_ASSERT_MESSAGE(m_cluster->Logs(), ready);
    const milliseconds after =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - restarted);
    std::cout << "\nready " << after.count() << " ms after its restart\n";
  }

  /** Checks that both sections of Change() are in force. */
  void CheckDocument(const std::string& aEntry,
                     std::uint64_t aVersion,
                     std::uint32_t aMark)
  {
    const json config = m_cluster->Http().GetJson(
      m_cluster->Layout().DirectUrl(aEntry) + "/v1/config");
    CPPUNIT_ASSERT(config.is_object());
    CPPUNIT_ASSERT_EQUAL(aVersion, config.at("version").get<std::uint64_t>());
    json expected = config.at("document");
    expected.merge_patch(Change(aMark));
    CPPUNIT_ASSERT_EQUAL(expected.dump(), config.at("document").dump());
  }

  std::uint64_t StoreReads()
  {
    const json control = m_cluster->Http().GetJson(
      m_cluster->Layout().DirectUrl("store") + "/control");
    return control.at("calls_by_path").value("/v3/kv/range", 0U);
  }

  static void CheckNone(const std::vector<std::string>& aViolations)
  {
    for (const std::string& violation : aViolations) {
      CPPUNIT_FAIL(violation);
    }
  }

  /** Checks what must hold at the end of each test: some work is still done,
   * every answer agrees with the journals and no version went back. */
  void CheckInvariants()
  {
    m_load->Fill(kOpen);
    CPPUNIT_ASSERT(WaitUntil(10s, [this] { return m_load->Pump(); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      m_load->Failures(), m_load->Submitted(), m_load->Complete());
    CheckNone(m_load->Violations());
    m_observer->Poll();
    CheckNone(m_observer->StepsBack());
  }

  std::unique_ptr<Cluster> m_cluster;
  std::unique_ptr<VersionObserver> m_observer;
  std::unique_ptr<CallerLoad> m_load;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace

} // namespace mulberrysail::testsupport
