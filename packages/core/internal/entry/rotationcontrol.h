#pragma once

#include "core/types/commands.h"
#include "core/types/events.h"
#include "core/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mulberrysail::core {

/** Processor time that the peers of an entry have left. */
struct PeerHeadroom
{
  /** Cores that the peers can use in addition. */
  double m_freeCores = 0;
  std::size_t m_known = 0;
  /** Peers that use nearly all of their allowed processor time, and so may be
   * out of the rotation themselves. */
  std::size_t m_busy = 0;
};

/** Decides when an entry with too little processor time leaves the rotation of
 * its load balancer, and which share of its connections it closes meanwhile, so
 * that these callers connect to other entries.
 *
 * Connections are closed only once the balancer must have noticed; otherwise
 * their callers would return to this entry. */
class RotationControl
{
public:
  /** @param aAllowedCores cores that the entry may use, above 0.
   * @return the change to carry out, if there is one. */
  std::optional<ChangeRotation> OnSample(Instant aNow,
                                         const ProcessorSampled& aSample,
                                         double aAllowedCores,
                                         const PeerHeadroom& aPeers);

  /** @return the smoothed share of the allowed processor time, 0 to 1. */
  double UsedShare() const { return m_used; }

private:
  enum class State : std::uint8_t
  {
    InRotation,
    /** The balancer may not have noticed yet. */
    Leaving,
    /** The balancer sends no new connections. */
    Out,
  };

  bool MustLeave(Instant aNow,
                 double aAllowedCores,
                 const PeerHeadroom& aPeers) const;
  std::uint32_t SharePercentToClose() const;

  State m_state = State::InRotation;
  Instant m_changedAt = Instant::min();
  double m_used = 0;
  /** Consecutive samples with too little processor time. */
  std::uint32_t m_busySamples = 0;
};

} // namespace mulberrysail::core
