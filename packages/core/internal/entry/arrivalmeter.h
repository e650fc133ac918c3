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
    /** Work per unit of time, as of m_at; decays exponentially after it. */
    double m_slots = 0;
    Instant m_at;
  };

  static constexpr std::size_t kClasses = 80;
  static std::size_t RunTimeClassOf(Duration aRun);
  static double Decayed(const Rate& aRate, Instant aNow);

  std::array<Rate, kClasses> m_rates{};
};

} // namespace mulberrysail::core
