#pragma once

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

  /** @return the exposure of @p aQueue since @p aSince, without the part of an
   * interval of half a second that begins before. */
  double Since(Instant aSince, std::string_view aQueue) const;

private:
  struct Interval
  {
    Instant m_start;
    double m_exposure = 0;
  };

  std::map<std::string, std::deque<Interval>, std::less<>> m_byQueue;
};

} // namespace mulberrysail::core
