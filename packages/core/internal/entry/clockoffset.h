#pragma once

#include "core/types/time.h"

#include <algorithm>
#include <optional>

namespace mulberrysail::core {

/** A lower bound of the offset between a peer's clock and the local clock,
 * learned from clock readings that the peer has sent. An instant converted with
 * it is never later on the peer's clock than intended. */
class ClockOffset
{
public:
  /** @param aPeerTime a reading of the peer's clock, made before @p aNow. */
  void Add(Instant aNow, Instant aPeerTime)
  {
    // The reading was in transit for some time, so the difference is at most
    // the true offset. The greatest one is the closest to it.
    const Duration difference =
      aPeerTime.time_since_epoch() - aNow.time_since_epoch();
    m_offset = std::max(difference, m_offset ? At(aNow) : difference);
    m_updatedAt = aNow;
  }

  /** @return the peer's clock minus the local clock; zero if not known. */
  Duration At(Instant aNow) const
  {
    return m_offset ? *m_offset - (aNow - m_updatedAt) / kInverseClockDrift
                    : Duration::zero();
  }

  /** @return the offset when it was last learned; zero if not known. */
  Duration Latest() const { return m_offset.value_or(Duration::zero()); }

private:
  /** Inverse of the maximum drift between the clocks of two machines. */
  static constexpr int kInverseClockDrift = 1000;

  std::optional<Duration> m_offset;
  Instant m_updatedAt;
};

} // namespace mulberrysail::core
