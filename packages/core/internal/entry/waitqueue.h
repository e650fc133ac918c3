#pragma once

#include "core/internal/entry/submission.h"

#include <array>
#include <cstdint>
#include <set>

namespace mulberrysail::core {

/** The place of an item: a lower order goes first. */
struct WaitKey
{
  std::int64_t m_order = 0;
  WorkRef m_work;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const WaitKey&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** What waits at one entry for one service and kind, in order. */
class WaitQueue
{
public:
  using Keys = std::set<WaitKey>;

  void Insert(WaitKey aKey, Duration aExpectedRun);
  void Erase(WaitKey aKey, Duration aExpectedRun);

  const Keys& Ordered() const { return m_keys; }
  bool Empty() const { return m_keys.empty(); }
  std::size_t Size() const { return m_keys.size(); }

  /** @return expected run time of all that waits. */
  Duration Work() const { return m_work; }

  /** @return expected run time of what is no longer than @p aRun. */
  Duration WorkNoLongerThan(Duration aRun) const;

private:
  /** One class of run times for each power of two. */
  static constexpr std::size_t kClasses = 40;
  static std::size_t RunTimeClassOf(Duration aRun);

  Keys m_keys;
  Duration m_work{};
  std::array<Duration, kClasses> m_workByClass{};
};

} // namespace mulberrysail::core
