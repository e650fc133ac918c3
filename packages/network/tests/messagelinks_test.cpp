#include "network/internal/messagelinks.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::network {

namespace {

using namespace std::chrono_literals;

const core::ProcessId kPeer{ "entry-2", { 1 } };
const core::ProcessId kNextIncarnation{ "entry-2", { 2 } };
const MessageLink kOutgoing = OutgoingLink{ 1 };
const MessageLink kIncoming = IncomingLink{ "entry-2/1/1" };

core::Instant
At(core::Duration aSinceStart)
{
  return core::Instant(aSinceStart);
}

class MessageLinksTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageLinksTest);
  CPPUNIT_TEST(TheFirstLinkStaysInUseUntilItIsLost);
  CPPUNIT_TEST(ALinkBelongsToItsLastSender);
  CPPUNIT_TEST(IdleIncomingLinksAreRemoved);
  CPPUNIT_TEST_SUITE_END();

public:
  void TheFirstLinkStaysInUseUntilItIsLost()
  {
    MessageLinks links;
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
    CPPUNIT_ASSERT(links.RecordReceived(kPeer, kIncoming, At(1s)));
    CPPUNIT_ASSERT(links.RecordReceived(kPeer, kOutgoing, At(1s)));
    CPPUNIT_ASSERT(!links.RecordReceived(kPeer, kIncoming, At(2s)));
    CPPUNIT_ASSERT(*links.Find(kPeer) == kIncoming);
    CPPUNIT_ASSERT(links.Remove(kIncoming) == kPeer);
    CPPUNIT_ASSERT(*links.Find(kPeer) == kOutgoing);
    CPPUNIT_ASSERT(!links.Remove(kOutgoing));
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
  }

  void ALinkBelongsToItsLastSender()
  {
    MessageLinks links;
    links.RecordReceived(kPeer, kOutgoing, At(1s));
    CPPUNIT_ASSERT(links.RecordReceived(kNextIncarnation, kOutgoing, At(2s)));
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
    CPPUNIT_ASSERT(*links.Find(kNextIncarnation) == kOutgoing);
  }

  void IdleIncomingLinksAreRemoved()
  {
    MessageLinks links;
    links.RecordReceived(kPeer, kIncoming, At(1s));
    links.RecordReceived(kNextIncarnation, kOutgoing, At(1s));
    links.RemoveIdle(At(1s));
    CPPUNIT_ASSERT(links.Find(kPeer) != nullptr);
    links.RemoveIdle(At(2s));
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
    CPPUNIT_ASSERT(links.Find(kNextIncarnation) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageLinksTest);

} // namespace

} // namespace mulberrysail::network
