#include "core/internal/entry/rotationcontrol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <vector>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{ 200 };
constexpr double kAllowedCores = 0.12;
constexpr PeerHeadroom kIdlePeers{ .m_freeCores = 0.5,
                                   .m_known = 7,
                                   .m_busy = 1 };

/** A change and the time of it, since the first sample. */
struct TimedChange
{
  milliseconds m_at;
  ChangeRotation m_change;
};

/** Guards the rules that move callers away from an entry without processor
 * time, without emptying a site or moving callers to and fro. */
class RotationControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RotationControlTest);
  CPPUNIT_TEST(StaysWhileThereIsProcessorTime);
  CPPUNIT_TEST(ShortBurstsAreEndured);
  CPPUNIT_TEST(ClosesConnectionsOnlyAfterTheBalancerNoticed);
  CPPUNIT_TEST(ClosesMoreConnectionsTheLargerTheExcess);
  CPPUNIT_TEST(LateTimersCountAsBusy);
  CPPUNIT_TEST(StaysIfPeersHaveNoProcessorTimeLeft);
  CPPUNIT_TEST(StaysIfHalfOfThePeersAreBusy);
  CPPUNIT_TEST(StaysWithoutAnyPeer);
  CPPUNIT_TEST(IsReadyForThreeQuartersOfTheTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void StaysWhileThereIsProcessorTime()
  {
    CPPUNIT_ASSERT(Play(0.85, {}, kIdlePeers, seconds(20)).empty());
  }

  void ShortBurstsAreEndured()
  {
    RotationControl control;
    Instant now{ seconds(100) };
    for (int i = 0; i < 50; ++i) {
      const double used = i % 5 == 0 ? 1 : 0.5;
      const ProcessorSampled sample{ .m_usedShare = used, .m_lateness = {} };
      CPPUNIT_ASSERT(!control.OnSample(now, sample, kAllowedCores, kIdlePeers));
      now += kInterval;
    }
  }

  void ClosesConnectionsOnlyAfterTheBalancerNoticed()
  {
    const std::vector<TimedChange> changes =
      Play(1, {}, kIdlePeers, seconds(6));
    CPPUNIT_ASSERT(changes.size() >= 3);
    CPPUNIT_ASSERT(!changes[0].m_change.m_inRotation);
    CPPUNIT_ASSERT_EQUAL(0U, changes[0].m_change.m_closePercent);
    CPPUNIT_ASSERT(!changes[1].m_change.m_inRotation);
    CPPUNIT_ASSERT(changes[1].m_change.m_closePercent > 0);
    CPPUNIT_ASSERT(changes[1].m_at - changes[0].m_at >= seconds(2));
    CPPUNIT_ASSERT(changes[2].m_change.m_inRotation);
    CPPUNIT_ASSERT(changes[2].m_at > changes[1].m_at);
  }

  void ClosesMoreConnectionsTheLargerTheExcess()
  {
    const std::uint32_t little =
      Play(0.93, {}, kIdlePeers, seconds(6)).at(1).m_change.m_closePercent;
    const std::uint32_t much =
      Play(1, {}, kIdlePeers, seconds(6)).at(1).m_change.m_closePercent;
    CPPUNIT_ASSERT(little > 0);
    CPPUNIT_ASSERT(little < much);
    CPPUNIT_ASSERT(much < 50);
  }

  void LateTimersCountAsBusy()
  {
    CPPUNIT_ASSERT(
      !Play(0.3, milliseconds(60), kIdlePeers, seconds(2)).empty());
  }

  void StaysIfPeersHaveNoProcessorTimeLeft()
  {
    const PeerHeadroom full{ .m_freeCores = 0.001, .m_known = 7, .m_busy = 1 };
    CPPUNIT_ASSERT(Play(1, {}, full, seconds(20)).empty());
  }

  void StaysIfHalfOfThePeersAreBusy()
  {
    const PeerHeadroom half{ .m_freeCores = 0.5, .m_known = 6, .m_busy = 3 };
    CPPUNIT_ASSERT(Play(1, {}, half, seconds(20)).empty());
  }

  void StaysWithoutAnyPeer()
  {
    CPPUNIT_ASSERT(Play(1, {}, {}, seconds(20)).empty());
  }

  void IsReadyForThreeQuartersOfTheTime()
  {
    const std::vector<TimedChange> changes =
      Play(1, {}, kIdlePeers, seconds(60));
    milliseconds out{ 0 };
    milliseconds leftAt{ 0 };
    bool inRotation = true;
    for (const TimedChange& change : changes) {
      if (inRotation && !change.m_change.m_inRotation) {
        leftAt = change.m_at;
      } else if (!inRotation && change.m_change.m_inRotation) {
        out += change.m_at - leftAt;
      }
      inRotation = change.m_change.m_inRotation;
    }
    CPPUNIT_ASSERT(out > seconds(0));
    CPPUNIT_ASSERT(out <= seconds(15));
  }

private:
  /** Plays equal samples for @p aFor. */
  static std::vector<TimedChange> Play(double aUsed,
                                       Duration aLateness,
                                       const PeerHeadroom& aPeers,
                                       milliseconds aFor)
  {
    RotationControl control;
    std::vector<TimedChange> changes;
    const ProcessorSampled sample{ .m_usedShare = aUsed,
                                   .m_lateness = aLateness };
    for (milliseconds at{ 0 }; at < aFor; at += kInterval) {
      const std::optional<ChangeRotation> change = control.OnSample(
        Instant(seconds(100)) + at, sample, kAllowedCores, aPeers);
      if (change) {
        changes.push_back({ at, *change });
      }
    }
    return changes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RotationControlTest);

} // namespace

} // namespace mulberrysail::core
