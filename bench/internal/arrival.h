#pragma once

#include "core/types/resources.h"
#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mulberrysail::bench {

/** One task of a job, or the only one of a request. */
struct TaskLoad
{
  /** What it really runs for, at an endpoint or worker of normal speed. */
  core::Duration m_run{};
  /** What the caller declares. */
  core::Duration m_declared{};
  core::Resources m_need;
};

/** One submission of an open-loop load: it is sent at its time, whether
 * earlier ones were answered or not. */
struct Arrival
{
  /** After the start of the run. */
  core::Duration m_at{};
  /** From m_at; nothing is wanted after it. */
  core::Duration m_deadline{};
  bool m_job = false;
  std::string m_team = "default";
  bool m_repeatable = false;
  std::uint32_t m_entry = 0;
  /** The caller cancels after this long; zero if it doesn't. */
  core::Duration m_cancelAfter{};
  /** One for a request. */
  std::vector<TaskLoad> m_tasks;
};

} // namespace mulberrysail::bench
