#include "core/internal/entry/rotationcontrol.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mulberrysail::core {

namespace {

/** Weight of the newest sample in the smoothed used share. */
constexpr double kSmoothing = 0.5;
constexpr double kBusyAbove = 0.9;
constexpr Duration kLateAbove = std::chrono::milliseconds(40);
constexpr std::uint32_t kBusySamples = 5;
/** Used share that closing connections aims for. */
constexpr double kWantedShare = 0.6;
/** Balancers notice a change after two checks, one second apart. */
constexpr Duration kNoticedAfter = std::chrono::milliseconds(2200);
/** Time for the responses that close connections to be sent. */
constexpr Duration kCloseFor = std::chrono::milliseconds(1000);
/** Shortest stay in the rotation. With fewer than half of the entries busy, it
 * keeps the entries of a site ready for nine tenths of their time. */
constexpr Duration kMinStay = std::chrono::seconds(12);
constexpr double kMinClosePercent = 10;
constexpr double kMaxClosePercent = 40;
constexpr double kHundred = 100;

} // namespace

std::optional<ChangeRotation>
RotationControl::OnSample(Instant aNow,
                          const ProcessorSampled& aSample,
                          double aAllowedCores,
                          const PeerHeadroom& aPeers)
{
  m_used += kSmoothing * (std::clamp(aSample.m_usedShare, 0.0, 1.0) - m_used);
  const bool busy = m_used > kBusyAbove || aSample.m_lateness > kLateAbove;
  m_busySamples = busy ? m_busySamples + 1 : 0;
  switch (m_state) {
    case State::InRotation:
      if (!MustLeave(aNow, aAllowedCores, aPeers)) {
        return std::nullopt;
      }
      m_state = State::Leaving;
      m_changedAt = aNow;
      return ChangeRotation{ .m_inRotation = false, .m_closePercent = 0 };
    case State::Leaving:
      if (aNow < m_changedAt + kNoticedAfter) {
        return std::nullopt;
      }
      m_state = State::Out;
      m_changedAt = aNow;
      return ChangeRotation{ .m_inRotation = false,
                             .m_closePercent = SharePercentToClose() };
    case State::Out:
      if (aNow < m_changedAt + kCloseFor) {
        return std::nullopt;
      }
      m_state = State::InRotation;
      m_changedAt = aNow;
      m_busySamples = 0;
      return ChangeRotation{ .m_inRotation = true, .m_closePercent = 0 };
  }
  return std::nullopt;
}

bool
RotationControl::MustLeave(Instant aNow,
                           double aAllowedCores,
                           const PeerHeadroom& aPeers) const
{
  const bool stayed =
    m_changedAt == Instant::min() || aNow >= m_changedAt + kMinStay;
  const double excess = aAllowedCores * std::max(m_used - kWantedShare, 0.0);
  return stayed && m_busySamples >= kBusySamples && aPeers.m_known > 0 &&
         2 * aPeers.m_busy < aPeers.m_known && aPeers.m_freeCores > excess;
}

std::uint32_t
RotationControl::SharePercentToClose() const
{
  const double excess =
    kHundred * (m_used - kWantedShare) / std::max(m_used, kWantedShare);
  return static_cast<std::uint32_t>(
    std::lround(std::clamp(excess, kMinClosePercent, kMaxClosePercent)));
}

} // namespace mulberrysail::core
