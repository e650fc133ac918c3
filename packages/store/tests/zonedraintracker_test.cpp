#include "store/internal/zonedraintracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace mulberrysail::store {

namespace {

const std::string kPrefix = "drains/";

StoredValue
Put(const std::string& aKey,
    std::int64_t aRevision,
    const std::string& aValue = R"({"since_ms":5})")
{
  return { aKey, aValue, aRevision, aRevision };
}

StoredValue
Deletion(const std::string& aKey, std::int64_t aRevision)
{
  return { aKey, "", 0, aRevision };
}

StoredValue
Followed(StoredValue aChange)
{
  aChange.m_moreAtRevision = true;
  return aChange;
}

core::ZoneDrains
List(std::uint64_t aRevision, std::vector<std::string> aZones)
{
  return { aRevision, std::move(aZones) };
}

class ZoneDrainTrackerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ZoneDrainTrackerTest);
  CPPUNIT_TEST(FirstReadIsReportedWithoutZones);
  CPPUNIT_TEST(ChangesFollowTheRead);
  CPPUNIT_TEST(OldChangesAndReadsAreIgnored);
  CPPUNIT_TEST(RepeatedChangesAfterAStaleReadAreIgnored);
  CPPUNIT_TEST(ReadAfterCompactionReplacesTheList);
  CPPUNIT_TEST(OneTransactionGivesOneList);
  CPPUNIT_TEST(PagesOfSeveralRevisionsAreHeldBack);
  CPPUNIT_TEST(OtherKeysAreIgnored);
  CPPUNIT_TEST(UnreadableKeysAreReportedOnce);
  CPPUNIT_TEST(AnyValueDrainsAZoneOfAnAdapter);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_unreadable.clear();
    m_tracker = MakeTracker(DrainValueFormat::Json);
  }

  /** Agents must learn that no zone is drained, not stay without a list. */
  void FirstReadIsReportedWithoutZones()
  {
    CPPUNIT_ASSERT(!m_tracker->Drains());
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Put("drains/z1", 3)));
    CPPUNIT_ASSERT(m_tracker->ApplyRead({ 4, {} }));
    CPPUNIT_ASSERT(List(4, {}) == *m_tracker->Drains());
    CPPUNIT_ASSERT(!m_tracker->ApplyRead({ 5, {} }));
  }

  void ChangesFollowTheRead()
  {
    CPPUNIT_ASSERT(m_tracker->ApplyRead({ 4, { Put("drains/z2", 2) } }));
    CPPUNIT_ASSERT(m_tracker->ApplyChange(Put("drains/z1", 5)));
    CPPUNIT_ASSERT(List(5, { "z1", "z2" }) == *m_tracker->Drains());
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(
      Put("drains/z1", 6, R"({"since_ms":1790000000000})")));
    CPPUNIT_ASSERT(m_tracker->Times().at("z1") ==
                   std::chrono::milliseconds(1790000000000));
    CPPUNIT_ASSERT(m_tracker->ApplyChange(Deletion("drains/z2", 7)));
    CPPUNIT_ASSERT(List(7, { "z1" }) == *m_tracker->Drains());
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Deletion("drains/z2", 8)));
  }

  /** A watch that ended may deliver changes after the next read was made. */
  void OldChangesAndReadsAreIgnored()
  {
    m_tracker->ApplyRead({ 9, { Put("drains/z1", 8) } });
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Deletion("drains/z1", 7)));
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Put("drains/z2", 9)));
    CPPUNIT_ASSERT(!m_tracker->ApplyRead({ 6, {} }));
    CPPUNIT_ASSERT(List(9, { "z1" }) == *m_tracker->Drains());
  }

  /** After a read from a member that lags behind, the watch repeats changes
   * that are already applied. */
  void RepeatedChangesAfterAStaleReadAreIgnored()
  {
    m_tracker->ApplyRead({ 4, {} });
    m_tracker->ApplyChange(Put("drains/z1", 5));
    m_tracker->ApplyChange(Deletion("drains/z1", 6));
    CPPUNIT_ASSERT(!m_tracker->ApplyRead({ 4, {} }));
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Put("drains/z1", 5)));
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Deletion("drains/z1", 6)));
    CPPUNIT_ASSERT(List(6, {}) == *m_tracker->Drains());
    CPPUNIT_ASSERT(m_tracker->ApplyChange(Put("drains/z2", 7)));
  }

  /** The watch does not report a deletion that was compacted away; only the
   * next read shows it. */
  void ReadAfterCompactionReplacesTheList()
  {
    m_tracker->ApplyRead({ 4, { Put("drains/z1", 3), Put("drains/z2", 4) } });
    CPPUNIT_ASSERT(m_tracker->ApplyRead({ 20, { Put("drains/z2", 4) } }));
    CPPUNIT_ASSERT(List(20, { "z2" }) == *m_tracker->Drains());
  }

  /** Two lists of the same revision would make processes keep different
   * copies. */
  void OneTransactionGivesOneList()
  {
    m_tracker->ApplyRead({ 4, {} });
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Followed(Put("drains/z1", 5))));
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Followed(Put("config", 5))));
    CPPUNIT_ASSERT(List(4, {}) == *m_tracker->Drains());
    CPPUNIT_ASSERT(m_tracker->ApplyChange(Put("drains/z2", 5)));
    CPPUNIT_ASSERT(List(5, { "z1", "z2" }) == *m_tracker->Drains());
  }

  /** The pages of a read have the revision of the first page, and a later page
   * may be newer: the list is known once the watch has reached it. */
  void PagesOfSeveralRevisionsAreHeldBack()
  {
    CPPUNIT_ASSERT(!m_tracker->ApplyRead(
      { 4, { Put("drains/z1", 3), Put("drains/z3", 6) } }));
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Deletion("drains/z1", 5)));
    CPPUNIT_ASSERT(m_tracker->ApplyChange(Put("drains/z3", 6)));
    CPPUNIT_ASSERT(List(6, { "z3" }) == *m_tracker->Drains());
  }

  void OtherKeysAreIgnored()
  {
    m_tracker->ApplyRead({ 4, { Put("config", 2), Put("wave/1", 3) } });
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Put("drains", 5)));
    CPPUNIT_ASSERT(!m_tracker->ApplyChange(Put("wave/2", 6)));
    CPPUNIT_ASSERT(List(4, {}) == *m_tracker->Drains());
    CPPUNIT_ASSERT(m_unreadable.empty());
  }

  void UnreadableKeysAreReportedOnce()
  {
    const StoredValue nameless = Put("drains/", 2);
    const StoredValue unreadable = Put("drains/z1", 3, "now");
    const StoreRead read{ 4, { nameless, unreadable } };
    m_tracker->ApplyRead(read);
    m_tracker->ApplyRead({ 5, read.m_values });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, m_unreadable.size());
    CPPUNIT_ASSERT(m_unreadable[0].starts_with("drains/: "));
    CPPUNIT_ASSERT(m_unreadable[1].starts_with("drains/z1: "));
    // The zone is drained all the same; only the time is unknown.
    CPPUNIT_ASSERT(List(4, { "z1" }) == *m_tracker->Drains());
    CPPUNIT_ASSERT(m_tracker->Times().empty());
    for (const char* value : { "{}", "[]", R"({"since_ms":-1})" }) {
      m_tracker->ApplyChange(
        Put("drains/z1",
            static_cast<std::int64_t>(6 + m_unreadable.size()),
            value));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, m_unreadable.size());
  }

  void AnyValueDrainsAZoneOfAnAdapter()
  {
    m_tracker = MakeTracker(DrainValueFormat::Any);
    m_tracker->ApplyRead({ 4, { Put("drains/z1", 3, "") } });
    CPPUNIT_ASSERT(List(4, { "z1" }) == *m_tracker->Drains());
    CPPUNIT_ASSERT(m_unreadable.empty());
  }

private:
  std::unique_ptr<ZoneDrainTracker> MakeTracker(DrainValueFormat aFormat)
  {
    return std::make_unique<ZoneDrainTracker>(
      kPrefix, aFormat, [this](const std::string& aDetail) {
        m_unreadable.push_back(aDetail);
      });
  }

  std::vector<std::string> m_unreadable;
  std::unique_ptr<ZoneDrainTracker> m_tracker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneDrainTrackerTest);

} // namespace

} // namespace mulberrysail::store
