#pragma once

#include "bench/internal/arrival.h"

#include <optional>
#include <span>
#include <vector>

namespace mulberrysail::bench {

enum class QueueOrder
{
  FirstComeFirstServed,
  ShortestFirst,
};

/** A central queue that knows every run time and has no network between
 * itself and the slots: what no dispatcher can beat by much. */
struct CentralQueueModel
{
  /** One speed for each slot; 0.25 for one that is four times slower. */
  std::vector<double> m_slotSpeeds;
  QueueOrder m_order = QueueOrder::FirstComeFirstServed;
  /** Whether it leaves out what can't be done by its deadline. */
  bool m_dropLate = true;
};

/**
 * Replays the requests of @p aArrivals (jobs are left out).
 * @return for each arrival the response time without any hop, or nothing if
 * it was not done by its deadline.
 */
std::vector<std::optional<core::Duration>>
ReplayCentralQueue(const CentralQueueModel& aModel,
                   std::span<const Arrival> aArrivals);

} // namespace mulberrysail::bench
