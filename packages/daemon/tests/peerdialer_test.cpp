#include "daemon/internal/peerselector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::daemon {

namespace {

const core::Instant kStart{ std::chrono::hours(1) };

store::EntryRecord
MakeRecord(const std::string& aName, const std::string& aUrl)
{
  store::EntryRecord record;
  record.m_id = { aName, { 1 } };
  record.m_messageUrl = aUrl;
  return record;
}

using Addresses = std::vector<network::PeerAddress>;

class PeerDialerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerDialerTest);
  CPPUNIT_TEST(DialsListedAndAlways);
  CPPUNIT_TEST(LingersOnceUnlisted);
  CPPUNIT_TEST(ListedAgainStays);
  CPPUNIT_TEST(OfTwoEntriesOneDials);
  CPPUNIT_TEST_SUITE_END();

public:
  void DialsListedAndAlways()
  {
    PeerSelector dialer({ "tcp://a" });
    CPPUNIT_ASSERT((dialer.Update(kStart, {}) == Addresses{ { "tcp://a" } }));
    CPPUNIT_ASSERT((dialer.Update(kStart, { MakeRecord("b", "tcp://b") }) ==
                    Addresses{ { "tcp://a" }, { "tcp://b" } }));
  }

  void LingersOnceUnlisted()
  {
    PeerSelector dialer({});
    const core::Instant left = kStart + std::chrono::hours(1);
    dialer.Update(kStart, { MakeRecord("b", "tcp://b") });
    dialer.Update(left, {});
    const core::Duration moment(1);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      dialer.Update(left + PeerSelector::kUnlistedRetention - moment, {})
        .size());
    CPPUNIT_ASSERT(
      dialer.Update(left + PeerSelector::kUnlistedRetention, {}).empty());
  }

  void ListedAgainStays()
  {
    PeerSelector dialer({});
    const std::vector<store::EntryRecord> listed = { MakeRecord("b",
                                                                "tcp://b") };
    dialer.Update(kStart, listed);
    dialer.Update(kStart, {});
    dialer.Update(kStart, listed);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      dialer.Update(kStart + 2 * PeerSelector::kUnlistedRetention, listed)
        .size());
  }

  void OfTwoEntriesOneDials()
  {
    const std::vector<store::EntryRecord> listed = { MakeRecord("a", "tcp://a"),
                                                     MakeRecord("b", "tcp://b"),
                                                     {} };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         PeersToConnect(listed, { "a", {} }).size());
    CPPUNIT_ASSERT(PeersToConnect(listed, { "b", {} }).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, IdsExceptSelf(listed, "a").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, IdsExceptSelf(listed, "").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerDialerTest);

} // namespace

} // namespace mulberrysail::daemon
