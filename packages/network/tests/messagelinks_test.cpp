#include "network/internal/messagelinks.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::network {

namespace {

using namespace std::chrono_literals;

const core::ProcessId kPeer{ "entry-2", { 1 } };
const core::ProcessId kNextLife{ "entry-2", { 2 } };
const MessageLink kDialled = DialledLink{ 1 };
const MessageLink kRouted = RoutedLink{ "entry-2/1/1" };

core::Instant
At(core::Duration aSinceStart)
{
  return core::Instant(aSinceStart);
}

class MessageLinksTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageLinksTest);
  CPPUNIT_TEST(TheFirstLinkStaysInUseUntilItIsLost);
  CPPUNIT_TEST(ALinkBelongsToThePeerHeardLast);
  CPPUNIT_TEST(SilentRoutedLinksAreForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  void TheFirstLinkStaysInUseUntilItIsLost()
  {
    MessageLinks links;
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
    CPPUNIT_ASSERT(links.Heard(kPeer, kRouted, At(1s)));
    CPPUNIT_ASSERT(links.Heard(kPeer, kDialled, At(1s)));
    CPPUNIT_ASSERT(!links.Heard(kPeer, kRouted, At(2s)));
    CPPUNIT_ASSERT(*links.Find(kPeer) == kRouted);
    CPPUNIT_ASSERT(links.Remove(kRouted) == kPeer);
    CPPUNIT_ASSERT(*links.Find(kPeer) == kDialled);
    CPPUNIT_ASSERT(!links.Remove(kDialled));
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
  }

  void ALinkBelongsToThePeerHeardLast()
  {
    MessageLinks links;
    links.Heard(kPeer, kDialled, At(1s));
    CPPUNIT_ASSERT(links.Heard(kNextLife, kDialled, At(2s)));
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
    CPPUNIT_ASSERT(*links.Find(kNextLife) == kDialled);
  }

  void SilentRoutedLinksAreForgotten()
  {
    MessageLinks links;
    links.Heard(kPeer, kRouted, At(1s));
    links.Heard(kNextLife, kDialled, At(1s));
    links.RemoveSilent(At(1s));
    CPPUNIT_ASSERT(links.Find(kPeer) != nullptr);
    links.RemoveSilent(At(2s));
    CPPUNIT_ASSERT(links.Find(kPeer) == nullptr);
    CPPUNIT_ASSERT(links.Find(kNextLife) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageLinksTest);

} // namespace

} // namespace mulberrysail::network
