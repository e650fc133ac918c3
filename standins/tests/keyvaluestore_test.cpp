#include "standins/store/keyvaluestore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::standins {

namespace {

using namespace std::chrono_literals;

Txn
PutIfRevision(const std::string& aKey,
              std::int64_t aRevision,
              const std::string& aValue,
              std::int64_t aLease = 0)
{
  return { { { aKey, CompareResult::Equal, ModRevisionIs{ aRevision } } },
           { PutOp{ aKey, aValue, aLease } },
           { RangeOp{ { aKey, "" } } } };
}

class KeyValueStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyValueStoreTest);
  CPPUNIT_TEST(CompareAndSwapWritesOnce);
  CPPUNIT_TEST(OneTransactionHasOneRevision);
  CPPUNIT_TEST(RangesEndBeforeTheirEnd);
  CPPUNIT_TEST(LapsedLeaseDeletesItsKeys);
  CPPUNIT_TEST(UnknownLeaseChangesNothing);
  CPPUNIT_TEST(ChangesAreKeptInOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void CompareAndSwapWritesOnce()
  {
    CPPUNIT_ASSERT(m_store.Apply(PutIfRevision("k", 0, "a")).m_succeeded);
    const TxnResult second = m_store.Apply(PutIfRevision("k", 0, "b"));
    CPPUNIT_ASSERT(!second.m_succeeded);
    const RangeResult& read = std::get<RangeResult>(second.m_results.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), read.m_values.at(0).m_value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, read.m_values[0].m_modRevision);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, m_store.Revision());
    CPPUNIT_ASSERT(m_store.Apply(PutIfRevision("k", 2, "c")).m_succeeded);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, Entry("k").m_version);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, Entry("k").m_createRevision);
  }

  void OneTransactionHasOneRevision()
  {
    m_store.Apply({ {}, { PutOp{ "a", "1" }, PutOp{ "b", "2" } }, {} });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, m_store.Revision());
    CPPUNIT_ASSERT_EQUAL(Entry("a").m_modRevision, Entry("b").m_modRevision);
  }

  void RangesEndBeforeTheirEnd()
  {
    for (const char* key : { "a", "b/1", "b/2", "b0", "c" }) {
      m_store.Apply({ {}, { PutOp{ key, "v" } }, {} });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, Count({ "b/", "b0" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Count({ "a", "" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, Count({ "b", std::string(1, 0) }));
  }

  void LapsedLeaseDeletesItsKeys()
  {
    const Lease lease = m_store.GrantLease(0, 2s, 0us);
    m_store.Apply(PutIfRevision("k", 0, "v", lease.m_id));
    CPPUNIT_ASSERT(m_store.KeepLease(lease.m_id, 1s));
    m_store.ExpireLeases(2900ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Count({ "k", "" }));
    m_store.ExpireLeases(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count({ "k", "" }));
    CPPUNIT_ASSERT(!m_store.KeepLease(lease.m_id, 3s));
    CPPUNIT_ASSERT(m_store.ChangesSince(0).back().m_deleted);
  }

  void UnknownLeaseChangesNothing()
  {
    CPPUNIT_ASSERT_THROW(m_store.Apply(PutIfRevision("k", 0, "v", 7)),
                         LeaseNotFound);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, m_store.Revision());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Count({ "k", "" }));
  }

  void ChangesAreKeptInOrder()
  {
    m_store.Apply({ {}, { PutOp{ "a", "1" } }, {} });
    m_store.Apply({ {}, { DeleteOp{ { "a", "" } } }, {} });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, m_store.ChangesSince(0).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_store.ChangesSince(3).size());
    CPPUNIT_ASSERT(m_store.ChangesSince(3).front().m_deleted);
    CPPUNIT_ASSERT(m_store.ChangesSince(4).empty());
  }

private:
  const KeyValue& Entry(const std::string& aKey) const
  {
    return m_store.All().at(aKey);
  }

  std::size_t Count(const KeyRange& aRange) const
  {
    return KeyValueStore::Select(m_store.All(), aRange).size();
  }

  KeyValueStore m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyValueStoreTest);

} // namespace

} // namespace mulberrysail::standins
