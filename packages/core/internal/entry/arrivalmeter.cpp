#include "core/internal/entry/arrivalmeter.h"

#include <algorithm>
#include <cmath>

namespace mulberrysail::core {

namespace {

/** The first arrivals are averaged over at least this time. */
constexpr Duration kMinAge = std::chrono::milliseconds(200);
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
ArrivalMeter::Decayed(const Rate& aRate, Instant aNow) const
{
  if (aRate.m_busySlots <= 0) {
    return 0;
  }
  const double age = static_cast<double>((aNow - aRate.m_updatedAt).count());
  return aRate.m_busySlots *
         std::exp(-age / static_cast<double>(m_window.count()));
}

void
ArrivalMeter::Add(Instant aNow, Duration aExpectedRun)
{
  m_firstAt = m_firstAt.value_or(aNow);
  Rate& rate = m_rates.at(ArrivalClassOf(aExpectedRun));
  rate.m_busySlots =
    Decayed(rate, aNow) + static_cast<double>(aExpectedRun.count()) /
                            static_cast<double>(m_window.count());
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

double
ArrivalMeter::AllBusySlots(Instant aNow) const
{
  if (!m_firstAt) {
    return 0;
  }
  const Duration age = std::max(aNow - *m_firstAt, kMinAge);
  const double covered = 1 - std::exp(-static_cast<double>(age.count()) /
                                      static_cast<double>(m_window.count()));
  return BusySlots(aNow, Duration::max()) / covered;
}

} // namespace mulberrysail::core
