#include "store/iconfigservice.h"

#include "store/internal/storedconfig.h"
#include "store/tests/fakestore.h"
#include "store/tests/faketimer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::store {

namespace {

using core::ConfigVersion;
using core::ErrorKind;
using tests::FakeStore;
using tests::FakeTimer;
using tests::WriteFault;

const std::string kPatchA = R"({"services":{"a":{"max_open":5}}})";
const std::string kPatchB = R"({"services":{"b":{}}})";

/** The configuration service of one process, and the calls of its hooks. */
struct Process
{
  Process(FakeStore& aStore, FakeTimer& aTimer)
    : m_service(StartConfigService(
        aStore,
        aTimer,
        1,
        { [this](const core::ConfigChanged& aChange) {
           m_versions.push_back(aChange.m_configuration.m_version.m_value);
         },
          [this](bool aAvailable, const std::string& /*aCause*/) {
            m_availabilityChanges.push_back(aAvailable);
          },
          [this] { ++m_absenceCount; } }))
  {
  }

  std::vector<std::uint64_t> m_versions;
  std::vector<bool> m_availabilityChanges;
  int m_absenceCount = 0;
  std::shared_ptr<IConfigService> m_service;
};

class ConfigServiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigServiceTest);
  CPPUNIT_TEST(AcceptedPatchIsInForceEverywhere);
  CPPUNIT_TEST(PatchTakesOneStoreCall);
  CPPUNIT_TEST(RepeatedPatchIdReturnsTheFirstVersion);
  CPPUNIT_TEST(OnlyOneOfTwoConcurrentPatchesIsAccepted);
  CPPUNIT_TEST(InvalidPatchWritesNothing);
  CPPUNIT_TEST(LostAnswerIsResolvedByReadingBack);
  CPPUNIT_TEST(LostWriteIsRetried);
  CPPUNIT_TEST(DelayedWriteCannotTakeEffectLater);
  CPPUNIT_TEST(LostAnswerOfASupersededPatchIsAConflict);
  CPPUNIT_TEST(UnresolvedPatchIsReportedUncertain);
  CPPUNIT_TEST(UnreachableStoreIsReportedUnavailable);
  CPPUNIT_TEST(PatchOlderThanHistoryIsUncertain);
  CPPUNIT_TEST(StaleReadsAndEventsDoNotRevertTheConfig);
  CPPUNIT_TEST(PeerConfigIsAppliedWhileTheStoreIsDown);
  CPPUNIT_TEST(WatchIsReopenedWithFewCalls);
  CPPUNIT_TEST(OutageIsReportedOnce);
  CPPUNIT_TEST(AbsenceIsReportedOnlyBeforeTheFirstConfig);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_store = std::make_unique<FakeStore>();
    m_timer = std::make_unique<FakeTimer>();
    m_one = std::make_unique<Process>(*m_store, *m_timer);
    m_two = std::make_unique<Process>(*m_store, *m_timer);
  }

  void AbsenceIsReportedOnlyBeforeTheFirstConfig()
  {
    CPPUNIT_ASSERT_EQUAL(1, m_one->m_absenceCount);
    Patch(*m_one, 0, "p1", kPatchA).value();
    const Process late(*m_store, *m_timer);
    CPPUNIT_ASSERT_EQUAL(0, late.m_absenceCount);
  }

  void AcceptedPatchIsInForceEverywhere()
  {
    CPPUNIT_ASSERT(!m_one->m_service->Current());
    CPPUNIT_ASSERT(Patch(*m_one, 0, "p1", kPatchA).value() ==
                   ConfigVersion{ 1 });
    CPPUNIT_ASSERT(Patch(*m_two, 1, "p2", kPatchB).value() ==
                   ConfigVersion{ 2 });
    for (const Process* process : { m_one.get(), m_two.get() }) {
      CPPUNIT_ASSERT(
        (process->m_versions == std::vector<std::uint64_t>{ 1, 2 }));
      const core::ConfigChanged current = process->m_service->Current().value();
      CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"services":{"a":{"max_open":5},"b":{}}})"),
        current.m_document);
      CPPUNIT_ASSERT_EQUAL(
        5U, current.m_configuration.m_services.at("a").m_maxOpen);
    }
  }

  void PatchTakesOneStoreCall()
  {
    Patch(*m_one, 0, "p1", kPatchA).value();
    const std::uint64_t before = m_store->Calls();
    Patch(*m_two, 1, "p2", kPatchB).value();
    CPPUNIT_ASSERT_EQUAL(before + 1, m_store->Calls());
  }

  void RepeatedPatchIdReturnsTheFirstVersion()
  {
    Patch(*m_one, 0, "p1", kPatchA).value();
    Patch(*m_one, 1, "p2", kPatchB).value();
    CPPUNIT_ASSERT(Patch(*m_two, 0, "p1", kPatchA).value() ==
                   ConfigVersion{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, m_store->m_writtenValues.size());
  }

  void OnlyOneOfTwoConcurrentPatchesIsAccepted()
  {
    m_store->m_beforeWrite = [this] {
      Patch(*m_two, 0, "p2", kPatchB).value();
    };
    ExpectError(ErrorKind::VersionConflict, Patch(*m_one, 0, "p1", kPatchA));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_store->m_writtenValues.size());
    ExpectError(ErrorKind::VersionConflict, Patch(*m_one, 7, "p3", kPatchA));
  }

  void InvalidPatchWritesNothing()
  {
    for (const std::string patch :
         { "", "3", "null", R"({"services":{"a":{"max_open":"x"}}})" }) {
      ExpectError(ErrorKind::InvalidPatch, Patch(*m_one, 0, "p1", patch));
    }
    ExpectError(ErrorKind::InvalidPatch, Patch(*m_one, 0, "", kPatchA));
    ExpectError(
      ErrorKind::InvalidPatch,
      Patch(*m_one,
            0,
            "p1",
            R"({"services":{")" + std::string(70, 'x') + R"(":{}}})"));
    CPPUNIT_ASSERT(m_store->m_writtenValues.empty());
  }

  void LostAnswerIsResolvedByReadingBack()
  {
    m_store->m_deliverChanges = false;
    m_store->m_writeFaults = { WriteFault::LostAfterEffect };
    CPPUNIT_ASSERT(Patch(*m_one, 0, "p1", kPatchA).value() ==
                   ConfigVersion{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_store->m_writtenValues.size());
  }

  void LostWriteIsRetried()
  {
    m_store->m_writeFaults = { WriteFault::LostBeforeEffect };
    CPPUNIT_ASSERT(Patch(*m_one, 0, "p1", kPatchA).value() ==
                   ConfigVersion{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_store->m_writtenValues.size());
  }

  void DelayedWriteCannotTakeEffectLater()
  {
    m_store->m_writeFaults = { WriteFault::Delayed };
    Patch(*m_one, 0, "p1", kPatchA).value();
    Patch(*m_one, 1, "p2", kPatchB).value();
    m_store->ApplyDelayed();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, m_store->m_writtenValues.size());
    CPPUNIT_ASSERT((m_two->m_versions == std::vector<std::uint64_t>{ 1, 2 }));
  }

  void LostAnswerOfASupersededPatchIsAConflict()
  {
    m_store->m_deliverChanges = false;
    m_store->m_writeFaults = { WriteFault::LostBeforeEffect };
    std::optional<core::Result<ConfigVersion>> result;
    StartPatch(*m_one, 0, "p1", kPatchA, result);
    Patch(*m_two, 0, "p2", kPatchB).value();
    m_timer->Advance(std::chrono::minutes(1));
    ExpectError(ErrorKind::VersionConflict, result.value());
  }

  void UnresolvedPatchIsReportedUncertain()
  {
    m_store->m_writeFaults = { WriteFault::LostAfterEffect };
    std::optional<core::Result<ConfigVersion>> result;
    m_store->m_deliverChanges = false;
    StartPatch(*m_one, 0, "p1", kPatchA, result);
    m_store->m_down = true;
    m_timer->Advance(std::chrono::minutes(1));
    ExpectError(ErrorKind::PatchUncertain, result.value());
    m_store->m_down = false;
    CPPUNIT_ASSERT(Patch(*m_two, 0, "p1", kPatchA).value() ==
                   ConfigVersion{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_store->m_writtenValues.size());
  }

  void UnreachableStoreIsReportedUnavailable()
  {
    m_store->m_down = true;
    ExpectError(ErrorKind::StoreUnavailable, Patch(*m_one, 0, "p1", kPatchA));
  }

  void PatchOlderThanHistoryIsUncertain()
  {
    for (std::uint64_t base = 0; base < 66; ++base) {
      Patch(*m_one, base, "p" + std::to_string(base), kPatchA).value();
    }
    ExpectError(ErrorKind::PatchUncertain, Patch(*m_one, 0, "p0", kPatchA));
    ExpectError(ErrorKind::VersionConflict, Patch(*m_one, 2, "x", kPatchA));
    CPPUNIT_ASSERT(Patch(*m_one, 2, "p2", kPatchA).value() ==
                   ConfigVersion{ 3 });
  }

  void StaleReadsAndEventsDoNotRevertTheConfig()
  {
    Patch(*m_one, 0, "p1", kPatchA).value();
    const StoredValue old = m_store->m_values.begin()->second;
    Patch(*m_one, 1, "p2", kPatchB).value();
    m_store->NotifyWatches(old);
    m_store->m_staleReadsLeft = 2;
    m_store->EndWatches();
    m_timer->Advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT((m_two->m_versions == std::vector<std::uint64_t>{ 1, 2 }));
    m_store->m_staleReadsLeft = 1;
    m_store->m_writeFaults = { WriteFault::LostAfterEffect };
    CPPUNIT_ASSERT(Patch(*m_two, 2, "p3", kPatchB).value() ==
                   ConfigVersion{ 3 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, m_store->m_writtenValues.size());
  }

  void PeerConfigIsAppliedWhileTheStoreIsDown()
  {
    m_store->m_down = true;
    m_one->m_service->ApplyPeerConfig(ConfigVersion{ 4 }, kPatchA);
    m_one->m_service->ApplyPeerConfig(ConfigVersion{ 3 }, kPatchB);
    m_one->m_service->ApplyPeerConfig(ConfigVersion{ 5 }, "not a document");
    CPPUNIT_ASSERT((m_one->m_versions == std::vector<std::uint64_t>{ 4 }));
    CPPUNIT_ASSERT_EQUAL(kPatchA, m_one->m_service->Current()->m_document);
    // The store holds an older version than the one in force, so no patch can
    // be based on it.
    m_store->m_down = false;
    ExpectError(ErrorKind::StoreUnavailable, Patch(*m_one, 0, "p1", kPatchB));
  }

  void WatchIsReopenedWithFewCalls()
  {
    m_two->m_service->Stop();
    m_timer->Advance(std::chrono::minutes(10));
    const std::uint64_t before = m_store->Calls();
    m_store->EndWatches();
    m_timer->Advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(before + 2, m_store->Calls());
    // Watches that end early are reopened with a backoff.
    for (int i = 0; i < 60; ++i) {
      m_store->EndWatches();
      m_timer->Advance(std::chrono::milliseconds(500));
    }
    CPPUNIT_ASSERT(m_store->Calls() - before < 40);
  }

  void OutageIsReportedOnce()
  {
    m_store->m_down = true;
    m_store->EndWatches();
    m_timer->Advance(std::chrono::minutes(1));
    const std::uint64_t during = m_store->Calls();
    CPPUNIT_ASSERT(during < 60);
    m_store->m_down = false;
    m_timer->Advance(std::chrono::seconds(6));
    CPPUNIT_ASSERT(
      (m_one->m_availabilityChanges == std::vector<bool>{ false, true }));
    Patch(*m_two, 0, "p1", kPatchA).value();
    CPPUNIT_ASSERT((m_one->m_versions == std::vector<std::uint64_t>{ 1 }));
  }

private:
  static void StartPatch(Process& aProcess,
                         std::uint64_t aBase,
                         const std::string& aId,
                         const std::string& aPatch,
                         std::optional<core::Result<ConfigVersion>>& aResult)
  {
    aProcess.m_service->Patch({ { aBase }, aId, aPatch },
                              [&](core::Result<ConfigVersion> aVersion) {
                                CPPUNIT_ASSERT(!aResult);
                                aResult = std::move(aVersion);
                              });
  }

  core::Result<ConfigVersion> Patch(Process& aProcess,
                                    std::uint64_t aBase,
                                    const std::string& aId,
                                    const std::string& aPatch)
  {
    std::optional<core::Result<ConfigVersion>> result;
    StartPatch(aProcess, aBase, aId, aPatch, result);
    if (!result) {
      m_timer->Advance(std::chrono::minutes(1));
    }
    return result.value();
  }

  static void ExpectError(ErrorKind aKind,
                          const core::Result<ConfigVersion>& aResult)
  {
    CPPUNIT_ASSERT(aResult.has_error());
    CPPUNIT_ASSERT_EQUAL(
      std::string(core::DescribeError(aKind).m_name),
      std::string(core::DescribeError(aResult.error().m_kind).m_name));
  }

  std::unique_ptr<FakeStore> m_store;
  std::unique_ptr<FakeTimer> m_timer;
  std::unique_ptr<Process> m_one;
  std::unique_ptr<Process> m_two;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigServiceTest);

} // namespace

} // namespace mulberrysail::store
