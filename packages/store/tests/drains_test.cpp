#include "store/iconfigservice.h"

#include "store/tests/fakestore.h"
#include "store/tests/faketimer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace mulberrysail::store {

namespace {

using core::ErrorKind;
using std::chrono::milliseconds;
using tests::FakeStore;
using tests::FakeTimer;
using tests::WriteFault;

/** The drains of zones as one process reads and writes them. */
class DrainsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainsTest);
  CPPUNIT_TEST(DrainIsWrittenReadAndRemoved);
  CPPUNIT_TEST(RepeatedDrainKeepsItsTime);
  CPPUNIT_TEST(FailedWritesAreReported);
  CPPUNIT_TEST(DrainsAreKnownBeforeTheConfiguration);
  CPPUNIT_TEST(DeletionDuringAnOutageIsNoticed);
  CPPUNIT_TEST(AdapterReadsItsOwnKeysAndRejectsWrites);
  CPPUNIT_TEST(DrainsTakeNoAdditionalCalls);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_store = std::make_unique<FakeStore>();
    m_timer = std::make_unique<FakeTimer>();
    m_lists.clear();
    m_calls.clear();
    Start();
  }

  void DrainIsWrittenReadAndRemoved()
  {
    CPPUNIT_ASSERT(m_lists.size() == 1 && m_lists[0].m_zones.empty());
    CPPUNIT_ASSERT(Drain("z1", 42).has_value());
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"({"since_ms":42})"),
      m_store->m_values.at("/mulberrysail/config/drains/z1").m_value);
    CPPUNIT_ASSERT(m_lists.back().m_zones == std::vector<std::string>{ "z1" });
    CPPUNIT_ASSERT(m_service->DrainTimes().at("z1") == milliseconds(42));
    CPPUNIT_ASSERT(Undrain("z1").has_value());
    CPPUNIT_ASSERT(m_lists.back().m_zones.empty());
    CPPUNIT_ASSERT(m_lists[0].m_revision < m_lists[1].m_revision);
    CPPUNIT_ASSERT(m_lists[1].m_revision < m_lists[2].m_revision);
    CPPUNIT_ASSERT(Undrain("z1").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, m_lists.size());
  }

  void RepeatedDrainKeepsItsTime()
  {
    CPPUNIT_ASSERT(Drain("z1", 42).has_value());
    CPPUNIT_ASSERT(Drain("z1", 50).has_value());
    CPPUNIT_ASSERT(m_service->DrainTimes().at("z1") == milliseconds(42));
  }

  void FailedWritesAreReported()
  {
    m_store->m_writeFaults = { WriteFault::NotSent,
                               WriteFault::LostAfterEffect,
                               WriteFault::NotSent,
                               WriteFault::LostBeforeEffect };
    ExpectError(ErrorKind::StoreUnavailable, Drain("z1", 1));
    ExpectError(ErrorKind::PatchUncertain, Drain("z1", 1));
    ExpectError(ErrorKind::StoreUnavailable, Undrain("z1"));
    ExpectError(ErrorKind::PatchUncertain, Undrain("z1"));
    CPPUNIT_ASSERT(Drain("z1", 2).has_value());
    CPPUNIT_ASSERT(m_service->DrainTimes().at("z1") == milliseconds(1));
  }

  /** With the configuration an entry starts to place work, which must not go
   * to a drained zone. */
  void DrainsAreKnownBeforeTheConfiguration()
  {
    Drain("z1", 1).value();
    m_service->Patch({ {}, "p", R"({"services":{"a":{}}})" },
                     [](const core::Result<core::ConfigVersion>&) {});
    m_calls.clear();
    Start();
    CPPUNIT_ASSERT((m_calls == std::vector<std::string>{ "drains", "config" }));
  }

  void DeletionDuringAnOutageIsNoticed()
  {
    Drain("z1", 1).value();
    m_store->m_deliverChanges = false;
    m_store->Delete("/mulberrysail/config/drains/z1", [](WriteOutcome) {});
    CPPUNIT_ASSERT(!m_lists.back().m_zones.empty());
    m_store->EndWatches();
    m_timer->Advance(std::chrono::seconds(5));
    CPPUNIT_ASSERT(m_lists.back().m_zones.empty());
  }

  void AdapterReadsItsOwnKeysAndRejectsWrites()
  {
    m_store->Put("team/notes/3", "x", std::nullopt, [](WriteOutcome) {});
    m_store->Put("team/drains/z7", "", std::nullopt, [](WriteOutcome) {});
    m_store->Put("team/config", "doc", std::nullopt, [](WriteOutcome) {});
    m_calls.clear();
    Start(ConfigSource{ "team/",
                        "team/config",
                        "team/drains/",
                        [](std::string_view) -> core::Result<ParsedConfig> {
                          return ParsedConfig{ { 3 }, "{}" };
                        } });
    CPPUNIT_ASSERT((m_calls == std::vector<std::string>{ "drains", "config" }));
    CPPUNIT_ASSERT(m_lists.back().m_zones == std::vector<std::string>{ "z7" });
    ExpectError(ErrorKind::InvalidPatch, Drain("z1", 1));
    ExpectError(ErrorKind::InvalidPatch, Undrain("z7"));
    CPPUNIT_ASSERT(m_store->m_values.contains("team/drains/z7"));
  }

  void DrainsTakeNoAdditionalCalls()
  {
    const std::uint64_t before = m_store->Calls();
    Start();
    // One read and one watch, as for the configuration alone.
    CPPUNIT_ASSERT_EQUAL(before + 2, m_store->Calls());
  }

private:
  void Start(std::optional<ConfigSource> aSource = std::nullopt)
  {
    ConfigHooks hooks;
    hooks.m_onChange = [this](const core::ConfigChanged&) {
      m_calls.emplace_back("config");
    };
    hooks.m_onDrainsChange = [this](core::ZoneDrains aDrains) {
      m_lists.push_back(std::move(aDrains));
      m_calls.emplace_back("drains");
    };
    m_service = StartConfigService(
      *m_store, *m_timer, 1, std::move(hooks), std::move(aSource));
  }

  core::Result<void> Drain(const std::string& aZone, int aSinceMs)
  {
    std::optional<core::Result<void>> result;
    m_service->DrainZone(
      aZone, milliseconds(aSinceMs), [&](const core::Result<void>& aResult) {
        result = aResult;
      });
    return result.value();
  }

  core::Result<void> Undrain(const std::string& aZone)
  {
    std::optional<core::Result<void>> result;
    m_service->UndrainZone(
      aZone, [&](const core::Result<void>& aResult) { result = aResult; });
    return result.value();
  }

  static void ExpectError(ErrorKind aKind, const core::Result<void>& aResult)
  {
    CPPUNIT_ASSERT(aResult.has_error());
    CPPUNIT_ASSERT(aResult.error().m_kind == aKind);
  }

  std::unique_ptr<FakeStore> m_store;
  std::unique_ptr<FakeTimer> m_timer;
  std::vector<core::ZoneDrains> m_lists;
  std::vector<std::string> m_calls;
  std::shared_ptr<IConfigService> m_service;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainsTest);

} // namespace

} // namespace mulberrysail::store
