#pragma once

#include "core/types/time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace mulberrysail::core {

/** The random numbers of one schedule, the same on every platform. */
class ScheduleRandom
{
public:
  explicit ScheduleRandom(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  /** @return a number below @p aLimit, which must be positive. */
  std::uint64_t Below(std::uint64_t aLimit) { return m_engine() % aLimit; }

  bool Chance(double aProbability)
  {
    constexpr std::uint64_t kSteps = 1ULL << 32U;
    return static_cast<double>(Below(kSteps)) <
           aProbability * static_cast<double>(kSteps);
  }

  Duration Between(Duration aLeast, Duration aMost)
  {
    return aLeast +
           Duration(static_cast<Duration::rep>(
             Below(static_cast<std::uint64_t>((aMost - aLeast).count()) + 1)));
  }

  template<typename T>
  const T& OneOf(const std::vector<T>& aChoices)
  {
    return aChoices[Below(aChoices.size())];
  }

private:
  std::mt19937_64 m_engine;
};

} // namespace mulberrysail::core
