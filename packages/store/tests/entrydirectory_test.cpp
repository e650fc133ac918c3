#include "store/ientrydirectory.h"

#include "store/tests/fakestore.h"
#include "store/tests/faketimer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::store {

namespace {

using tests::FakeStore;
using tests::FakeTimer;
using tests::WriteFault;

EntryRecord
Record(const std::string& aName)
{
  return { { aName, { 18446744073709551615U } },
           "tcp://127.0.0.1:1",
           "http://127.0.0.1:2" };
}

class EntryDirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryDirectoryTest);
  CPPUNIT_TEST(RegisteredEntriesAreInEveryDirectory);
  CPPUNIT_TEST(LeavingEntryIsRemovedAtOnce);
  CPPUNIT_TEST(EntryRegistersAgainAfterLeaseExpiry);
  CPPUNIT_TEST(LostPutIsRetried);
  CPPUNIT_TEST(FallbackIsUsedUntilTheStoreAnswers);
  CPPUNIT_TEST(OutageKeepsTheLastList);
  CPPUNIT_TEST(RenewalTakesThreeCallsPerLease);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_store = std::make_unique<FakeStore>();
    m_timer = std::make_unique<FakeTimer>();
    m_notifiedCounts.clear();
  }

  void RegisteredEntriesAreInEveryDirectory()
  {
    const std::shared_ptr<IEntryDirectory> agent = Watch({});
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    const std::shared_ptr<IEntryDirectory> two = Register("two");
    const std::vector<EntryRecord> both = { Record("one"), Record("two") };
    CPPUNIT_ASSERT(agent->Entries() == both);
    CPPUNIT_ASSERT(one->Entries() == both);
    CPPUNIT_ASSERT(two->Entries() == both);
    CPPUNIT_ASSERT((m_notifiedCounts == std::vector<std::size_t>{ 1, 2 }));
  }

  void LeavingEntryIsRemovedAtOnce()
  {
    const std::shared_ptr<IEntryDirectory> agent = Watch({});
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    one->Leave();
    CPPUNIT_ASSERT(agent->Entries().empty());
    m_timer->Advance(std::chrono::minutes(1));
    CPPUNIT_ASSERT(agent->Entries().empty());
  }

  void EntryRegistersAgainAfterLeaseExpiry()
  {
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    m_store->ExpireLease(*m_store->m_leases.begin());
    CPPUNIT_ASSERT(one->Entries().empty());
    m_timer->Advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, one->Entries().size());
  }

  void LostPutIsRetried()
  {
    m_store->m_writeFaults = { WriteFault::LostBeforeEffect,
                               WriteFault::NotSent };
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    CPPUNIT_ASSERT(one->Entries().empty());
    m_timer->Advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, one->Entries().size());
  }

  void FallbackIsUsedUntilTheStoreAnswers()
  {
    const std::vector<EntryRecord> fallback = {
      { {}, "tcp://127.0.0.1:9", "" }
    };
    m_store->m_down = true;
    const std::shared_ptr<IEntryDirectory> agent = Watch(fallback);
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    m_timer->Advance(std::chrono::minutes(1));
    CPPUNIT_ASSERT(agent->Entries() == fallback);
    m_store->m_down = false;
    m_timer->Advance(std::chrono::seconds(6));
    CPPUNIT_ASSERT(agent->Entries() ==
                   std::vector<EntryRecord>{ Record("one") });
  }

  void OutageKeepsTheLastList()
  {
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    m_store->m_down = true;
    m_store->EndWatches();
    m_timer->Advance(std::chrono::minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, one->Entries().size());
  }

  void RenewalTakesThreeCallsPerLease()
  {
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    const std::uint64_t before = m_store->Calls();
    m_timer->Advance(std::chrono::seconds(100));
    CPPUNIT_ASSERT(m_store->Calls() - before <= 34);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_store->m_writtenValues.size());
  }

private:
  std::shared_ptr<IEntryDirectory> Register(const std::string& aName)
  {
    return StartEntryDirectory(
      *m_store,
      *m_timer,
      { .m_self = Record(aName), .m_fallback = {} },
      [](const std::vector<EntryRecord>& /*aEntries*/) {});
  }

  std::shared_ptr<IEntryDirectory> Watch(
    const std::vector<EntryRecord>& aFallback)
  {
    return StartEntryDirectory(
      *m_store,
      *m_timer,
      { .m_self = std::nullopt, .m_fallback = aFallback },
      [this](const std::vector<EntryRecord>& aEntries) {
        m_notifiedCounts.push_back(aEntries.size());
      });
  }

  std::unique_ptr<FakeStore> m_store;
  std::unique_ptr<FakeTimer> m_timer;
  std::vector<std::size_t> m_notifiedCounts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDirectoryTest);

} // namespace

} // namespace mulberrysail::store
