#pragma once

#include "core/types/status.h"

#include <span>
#include <string_view>

namespace mulberrysail::daemon {

/** One counter or gauge of a core. Its name is used in JSON and, after a
 * prefix, in metrics. */
template<typename Counters>
struct CounterRow
{
  std::string_view m_name;
  std::string_view m_help;
  std::uint64_t Counters::*m_member;
  /** Whether the value can decrease. */
  bool m_isGauge = false;
};

std::span<const CounterRow<core::EntryCounters>>
EntryCounterRows();

std::span<const CounterRow<core::AgentCounters>>
AgentCounterRows();

} // namespace mulberrysail::daemon
