#include "core/internal/entry/arrivalmeter.h"

#include <algorithm>
#include <cmath>

namespace mulberrysail::core {

namespace {

/** Time constant of the exponential decay: short enough to detect the start of
 * a burst, long enough that a few long requests are not taken for a burst. */
constexpr Duration kWindow = std::chrono::milliseconds(1000);
/** Number of classes for each doubling of the run time. */
constexpr double kClassesPerOctave = 3;

} // namespace

std::size_t
ArrivalMeter::ArrivalClassOf(Duration aRun)
{
  const double micros =
    static_cast<double>(std::max<Duration::rep>(aRun.count(), 1));
  const double scaled = kClassesPerOctave * std::log2(micros);
  return std::min(static_cast<std::size_t>(scaled), kArrivalClasses - 1);
}

double
ArrivalMeter::Decayed(const Rate& aRate, Instant aNow)
{
  if (aRate.m_busySlots <= 0) {
    return 0;
  }
  const double age = static_cast<double>((aNow - aRate.m_updatedAt).count());
  return aRate.m_busySlots *
         std::exp(-age / static_cast<double>(kWindow.count()));
}

void
ArrivalMeter::Add(Instant aNow, Duration aExpectedRun)
{
  Rate& rate = m_rates.at(ArrivalClassOf(aExpectedRun));
  rate.m_busySlots =
    Decayed(rate, aNow) + static_cast<double>(aExpectedRun.count()) /
                            static_cast<double>(kWindow.count());
  rate.m_updatedAt = aNow;
}

double
ArrivalMeter::BusySlots(Instant aNow, Duration aRun) const
{
  const std::size_t last = ArrivalClassOf(aRun);
  double slots = 0;
  for (std::size_t i = 0; i <= last; ++i) {
    slots += Decayed(m_rates.at(i), aNow);
  }
  return slots;
}

} // namespace mulberrysail::core
