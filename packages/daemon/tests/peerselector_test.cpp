#include "daemon/internal/peerdialer.h"

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
    PeerDialer selector({ "tcp://a" });
    CPPUNIT_ASSERT((selector.Update(kStart, {}) == Addresses{ { "tcp://a" } }));
    CPPUNIT_ASSERT((selector.Update(kStart, { MakeRecord("b", "tcp://b") }) ==
                    Addresses{ { "tcp://a" }, { "tcp://b" } }));
  }

  void UnlistedPeerIsKeptForLingerTime()
  {
    PeerDialer selector({});
    const core::Instant unlistedAt = kStart + std::chrono::hours(1);
    selector.Update(kStart, { MakeRecord("b", "tcp://b") });
    selector.Update(unlistedAt, {});
    const core::Duration tick(1);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      selector.Update(unlistedAt + PeerDialer::kLinger - tick, {}).size());
    CPPUNIT_ASSERT(
      selector.Update(unlistedAt + PeerDialer::kLinger, {}).empty());
  }

  void RelistedPeerIsKept()
  {
    PeerDialer selector({});
    const std::vector<store::EntryRecord> listed = { MakeRecord("b",
                                                                "tcp://b") };
    selector.Update(kStart, listed);
    selector.Update(kStart, {});
    selector.Update(kStart, listed);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      selector.Update(kStart + 2 * PeerDialer::kLinger, listed).size());
  }

  void OnlyOneOfTwoEntriesConnects()
  {
    const std::vector<store::EntryRecord> listed = { MakeRecord("a", "tcp://a"),
                                                     MakeRecord("b", "tcp://b"),
                                                     {} };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         PeersToDial(listed, { "a", {} }).size());
    CPPUNIT_ASSERT(PeersToDial(listed, { "b", {} }).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, IdsOfOthers(listed, "a").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, IdsOfOthers(listed, "").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSelectorTest);

} // namespace

} // namespace mulberrysail::daemon
