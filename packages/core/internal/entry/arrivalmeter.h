#pragma once

#include "core/types/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace mulberrysail::core {

/** Exponential moving average of the arriving work, by class of run time. */
class ArrivalMeter
{
public:
  /** @param aWindow the time constant of the average. The default is short
   * enough to detect the start of a burst, and long enough that a few long
   * requests are not taken for a burst. */
  explicit ArrivalMeter(Duration aWindow = std::chrono::milliseconds(1000))
    : m_window(aWindow)
  {
  }

  void Add(Instant aNow, Duration aExpectedRun);

  /** @return the number of slots kept busy by the arriving work whose expected
   * run time is at most @p aRun, rounded up to its class. */
  double BusySlots(Instant aNow, Duration aRun) const;

  /** @return the number of slots kept busy by all arriving work. Until the
   * first arrival is older than the window, the average is taken over the time
   * since then. */
  double AllBusySlots(Instant aNow) const;

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
  double Decayed(const Rate& aRate, Instant aNow) const;

  Duration m_window;
  std::optional<Instant> m_firstAt;
  std::array<Rate, kArrivalClasses> m_rates{};
};

} // namespace mulberrysail::core
