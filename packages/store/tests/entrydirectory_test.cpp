#include "store/ientrydirectory.h"

#include "input/tests/jsonmutator.h"
#include "store/tests/fakestore.h"
#include "store/tests/faketimer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::store {

namespace {

using tests::FakeStore;
using tests::FakeTimer;
using tests::WriteFault;

const std::string kEntriesPrefix = "/mulberrysail/entries/";

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
  CPPUNIT_TEST(OddRecordsNameNoEntry);
  CPPUNIT_TEST(MutatedRecordsAreHandled);
  CPPUNIT_TEST(EntryRestoresARecordThatAnotherWriterReplaced);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_store = std::make_unique<FakeStore>();
    m_timer = std::make_unique<FakeTimer>();
    m_notifiedCounts.clear();
    m_unreadable.clear();
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

  void OddRecordsNameNoEntry()
  {
    const std::shared_ptr<IEntryDirectory> agent = Watch({});
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    const std::string deep(200'000, '[');
    std::size_t reports = 0;
    for (const std::string& value :
         { deep,
           R"({"name":"odd","incarnation":)" + deep + "}",
           Json("odd", "1", "tcp://127.0.0.1:99999"),
           Json("odd", "1", "tcp://127.0.0.1:0"),
           Json("odd", "1", "ipc:///tmp/x"),
           Json("odd", "1", "tcp://host:1"),
           Json("odd", "1", ""),
           Json("odd", "-1", "tcp://127.0.0.1:1"),
           Json("odd", "0", "tcp://127.0.0.1:1"),
           Json("odd", "1e30", "tcp://127.0.0.1:1"),
           Json("odd", "18446744073709551616", "tcp://127.0.0.1:1"),
           Json("", "1", "tcp://127.0.0.1:1"),
           Json("one", "1", "tcp://127.0.0.1:1"),
           std::string("\xff\xfe") }) {
      WriteAsAnother("odd", value);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, agent->Entries().size());
      CPPUNIT_ASSERT_EQUAL(++reports, m_unreadable.size());
    }
    WriteAsAnother("", Json("", "1", "tcp://127.0.0.1:1"));
    WriteAsAnother("o d", Json("o d", "1", "tcp://127.0.0.1:1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, agent->Entries().size());
    const std::shared_ptr<IEntryDirectory> two = Register("two");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, agent->Entries().size());
    WriteAsAnother("odd", Json("odd", "1", "tcp://127.0.0.1:1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, agent->Entries().size());
  }

  void MutatedRecordsAreHandled()
  {
    const std::shared_ptr<IEntryDirectory> agent = Watch({});
    const std::string valid = Json("odd", "1", "tcp://127.0.0.1:1");
    input::tests::FuzzDecoder(valid, [&](const std::string& aText) {
      WriteAsAnother("odd", aText);
      const std::vector<EntryRecord> entries = agent->Entries();
      CPPUNIT_ASSERT(entries.empty() || entries[0].m_id.m_name == "odd");
    });
  }

  void EntryRestoresARecordThatAnotherWriterReplaced()
  {
    const std::shared_ptr<IEntryDirectory> one = Register("one");
    const std::vector<EntryRecord> expected = { Record("one") };
    WriteAsAnother("one", "[]");
    CPPUNIT_ASSERT(one->Entries().empty());
    m_timer->Advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT(one->Entries() == expected);
    m_store->Delete(kEntriesPrefix + "one", [](WriteOutcome /*aOutcome*/) {});
    CPPUNIT_ASSERT(one->Entries().empty());
    m_timer->Advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT(one->Entries() == expected);
  }

private:
  static std::string Json(const std::string& aName,
                          const std::string& aIncarnation,
                          const std::string& aMessageUrl)
  {
    return R"({"name":")" + aName + R"(","incarnation":)" + aIncarnation +
           R"(,"message_url":")" + aMessageUrl +
           R"(","http_url":"http://127.0.0.1:2"})";
  }

  void WriteAsAnother(const std::string& aName, const std::string& aValue)
  {
    m_store->Put(kEntriesPrefix + aName,
                 aValue,
                 std::nullopt,
                 [](WriteOutcome /*aOutcome*/) {});
  }

  std::shared_ptr<IEntryDirectory> Register(const std::string& aName)
  {
    DirectoryOptions options;
    options.m_self = Record(aName);
    return StartEntryDirectory(
      *m_store,
      *m_timer,
      std::move(options),
      [](const std::vector<EntryRecord>& /*aEntries*/) {});
  }

  std::shared_ptr<IEntryDirectory> Watch(
    const std::vector<EntryRecord>& aFallback)
  {
    DirectoryOptions options;
    options.m_fallback = aFallback;
    options.m_onUnreadable = [this](const std::string& aDetail) {
      m_unreadable.push_back(aDetail);
    };
    return StartEntryDirectory(
      *m_store,
      *m_timer,
      std::move(options),
      [this](const std::vector<EntryRecord>& aEntries) {
        m_notifiedCounts.push_back(aEntries.size());
      });
  }

  std::unique_ptr<FakeStore> m_store;
  std::unique_ptr<FakeTimer> m_timer;
  std::vector<std::size_t> m_notifiedCounts;
  std::vector<std::string> m_unreadable;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDirectoryTest);

} // namespace

} // namespace mulberrysail::store
