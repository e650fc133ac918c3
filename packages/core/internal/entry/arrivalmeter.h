#pragma once

#include "core/types/time.h"

#include <array>
#include <cstddef>

namespace mulberrysail::core {

/** Exponential moving average of the arriving work, by class of run time. */
class ArrivalMeter
{
public:
  void Add(Instant aNow, Duration aExpectedRun);

  /** @return the number of slots kept busy by the arriving work whose expected
   * run time is at most @p aRun, rounded up to its class. */
  double BusySlots(Instant aNow, Duration aRun) const;

private:
  struct Rate
  {
    /** Arriving expected run time per unit of time, i.e. slots kept busy, at
     * m_updatedAt; decays exponentially afterwards. */
    double m_busySlots = 0;
    Instant m_updatedAt;
  };

  /** Run times are classed by thirds of powers of two. */
  static constexpr std::size_t kArrivalClasses = 80;
  static std::size_t ArrivalClassOf(Duration aRun);
  static double Decayed(const Rate& aRate, Instant aNow);

  std::array<Rate, kArrivalClasses> m_rates{};
};

} // namespace mulberrysail::core
