#pragma once

#include "core/internal/entry/submission.h"

#include <array>
#include <cstdint>
#include <map>

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

/** What a waiting item needs. */
struct WaitingWork
{
  Duration m_expectedRun{};
  std::uint32_t m_milliCores = 0;
  std::uint32_t m_priority = 0;
  /** WorkItem::m_meanRun. */
  Duration m_meanRun{};

  /** @return mean run time multiplied by cores. */
  Duration CoreTime() const;
};

/** @return what @p aItem of @p aSubmission needs. It is the same as long as the
 * item waits. */
WaitingWork
WaitingWorkOf(const Submission& aSubmission, const WorkItem& aItem);

/** Items that wait at one entry for one pool of agents, in order. */
class WaitQueue
{
public:
  /** The waiting items and their core times. */
  using Keys = std::map<WaitKey, Duration>;

  void Insert(WaitKey aKey, const WaitingWork& aWork);
  void Erase(WaitKey aKey, const WaitingWork& aWork);

  const Keys& Ordered() const { return m_keys; }
  bool Empty() const { return m_keys.empty(); }
  std::size_t Size() const { return m_keys.size(); }

  /** @return total expected run time of the waiting items. */
  Duration Work() const { return m_work; }

  /** @return total expected run time of the waiting items whose run time is at
   * most @p aRun, rounded up to its class. */
  Duration WorkNoLongerThan(Duration aRun) const;

  /** @return total core time of the waiting items whose order is at most
   * @p aOrder. */
  Duration CoreTimeUpTo(std::int64_t aOrder) const;

  /** @return the cores that all waiting items need together, in thousandths. */
  std::uint64_t MilliCores() const { return m_milliCores; }

  /** @return total core time of the waiting items by priority, without
   * priorities of which none waits. */
  std::vector<PriorityWork> CoreTimeByPriority() const;

private:
  /** Run times are classed by powers of two. */
  static constexpr std::size_t kClasses = 40;
  static std::size_t RunTimeClassOf(Duration aRun);

  /** Sum over some of the items. */
  struct Sum
  {
    std::size_t m_items = 0;
    Duration m_coreTime{};
  };

  template<typename K>
  static void AddTo(std::map<K, Sum>& aSums, K aKey, Duration aCoreTime);
  template<typename K>
  static void SubtractFrom(std::map<K, Sum>& aSums, K aKey, Duration aCoreTime);

  Keys m_keys;
  Duration m_work{};
  std::uint64_t m_milliCores = 0;
  std::array<Duration, kClasses> m_workByClass{};
  /** By ranges of the order, so that CoreTimeUpTo() visits few items. */
  std::map<std::int64_t, Sum> m_sumsByRange;
  std::map<std::uint32_t, Sum> m_sumsByPriority;
};

} // namespace mulberrysail::core
