#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::ctl {

/** What each of several equal tasks is. */
struct TaskTemplate
{
  std::string m_payload;
  double m_cores = 1;
  std::uint32_t m_memoryMb = 64;
  std::uint32_t m_accelerators = 0;
  std::optional<std::uint64_t> m_expectedRunMs;
};

/** @return @p aCount equal tasks as a JSON list. */
std::string
MakeTasks(std::uint32_t aCount, const TaskTemplate& aTemplate);

/** @return the list of tasks in a file's text, which is either the list or an
 * object with `tasks`; throws std::invalid_argument if there is none. */
std::string
ReadTasks(std::string_view aText);

} // namespace mulberrysail::ctl
