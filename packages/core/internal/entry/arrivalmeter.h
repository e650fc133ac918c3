#pragma once

#include "core/types/time.h"

#include <array>
#include <cstddef>

namespace mulberrysail::core {

/** How much work arrives, by class of run time, as a moving average. */
class ArrivalMeter
{
public:
  void Add(Instant aNow, Duration aExpectedRun);

  /** @return slots that would be kept busy by the arriving work that is no
   * longer than @p aRun. */
  double BusySlots(Instant aNow, Duration aRun) const;

private:
  struct Rate
  {
    /** Work per time at m_at; decays from there. */
    double m_slots = 0;
    Instant m_at;
  };

  static constexpr std::size_t kClasses = 80;
  static std::size_t RunTimeClassOf(Duration aRun);
  static double Decayed(const Rate& aRate, Instant aNow);

  std::array<Rate, kClasses> m_rates{};
};

} // namespace mulberrysail::core
