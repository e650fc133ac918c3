#pragma once

#include "core/internal/entry/crashrates.h"
#include "core/types/time.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** The CrashExposure() of the runs of each queue that completed lately. */
class ExposureHistory
{
public:
  /** @param aExposure see CrashExposure(). */
  void Add(Instant aNow, std::string_view aQueue, double aExposure);

  /** @return the exposure of each queue since @p aSince, to about a tenth of a
   * second. */
  ValueByQueue Since(Instant aSince) const;
  double SinceOf(Instant aSince, std::string_view aQueue) const;

private:
  struct Interval
  {
    Instant m_start;
    double m_exposure = 0;
  };

  static double Sum(const std::deque<Interval>& aIntervals, Instant aSince);

  std::map<std::string, std::deque<Interval>, std::less<>> m_byQueue;
};

} // namespace mulberrysail::core
