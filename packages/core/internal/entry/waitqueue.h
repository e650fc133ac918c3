#pragma once

#include "core/internal/entry/submission.h"

#include <array>
#include <cstdint>
#include <set>

namespace mulberrysail::core {

/** Sort key of a waiting item: lower orders are dispatched first. */
struct WaitKey
{
  std::int64_t m_order = 0;
  WorkRef m_work;

  // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
  auto operator<=>(const WaitKey&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** Items that wait at one entry for one pool of agents, in order. */
class WaitQueue
{
public:
  using Keys = std::set<WaitKey>;

  void Insert(WaitKey aKey, Duration aExpectedRun);
  void Erase(WaitKey aKey, Duration aExpectedRun);

  const Keys& Ordered() const { return m_keys; }
  bool Empty() const { return m_keys.empty(); }
  std::size_t Size() const { return m_keys.size(); }

  /** @return total expected run time of the waiting items. */
  Duration Work() const { return m_work; }

  /** @return total expected run time of the waiting items whose run time is at
   * most @p aRun, rounded up to its class. */
  Duration WorkNoLongerThan(Duration aRun) const;

private:
  /** Run times are classed by powers of two. */
  static constexpr std::size_t kClasses = 40;
  static std::size_t RunTimeClassOf(Duration aRun);

  Keys m_keys;
  Duration m_work{};
  std::array<Duration, kClasses> m_workByClass{};
};

} // namespace mulberrysail::core
