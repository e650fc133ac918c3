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

class PeerSelectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerSelectorTest);
  CPPUNIT_TEST(SelectsListedAndConfiguredPeers);
  CPPUNIT_TEST(UnlistedPeerIsKeptForLingerTime);
  CPPUNIT_TEST(RelistedPeerIsKept);
  CPPUNIT_TEST(OnlyOneOfTwoEntriesConnects);
  CPPUNIT_TEST_SUITE_END();

public:
  void SelectsListedAndConfiguredPeers()
  {
    PeerSelector selector({ "tcp://a" });
    CPPUNIT_ASSERT((selector.Update(kStart, {}) == Addresses{ { "tcp://a" } }));
    CPPUNIT_ASSERT((selector.Update(kStart, { MakeRecord("b", "tcp://b") }) ==
                    Addresses{ { "tcp://a" }, { "tcp://b" } }));
  }

  void UnlistedPeerIsKeptForLingerTime()
  {
    PeerSelector selector({});
    const core::Instant unlistedAt = kStart + std::chrono::hours(1);
    selector.Update(kStart, { MakeRecord("b", "tcp://b") });
    selector.Update(unlistedAt, {});
    const core::Duration tick(1);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      selector.Update(unlistedAt + PeerSelector::kUnlistedRetention - tick, {})
        .size());
    CPPUNIT_ASSERT(
      selector.Update(unlistedAt + PeerSelector::kUnlistedRetention, {})
        .empty());
  }

  void RelistedPeerIsKept()
  {
    PeerSelector selector({});
    const std::vector<store::EntryRecord> listed = { MakeRecord("b",
                                                                "tcp://b") };
    selector.Update(kStart, listed);
    selector.Update(kStart, {});
    selector.Update(kStart, listed);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      selector.Update(kStart + 2 * PeerSelector::kUnlistedRetention, listed)
        .size());
  }

  void OnlyOneOfTwoEntriesConnects()
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

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSelectorTest);

} // namespace

} // namespace mulberrysail::daemon
