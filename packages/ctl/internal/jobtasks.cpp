#include "ctl/internal/jobtasks.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace mulberrysail::ctl {

using Json = nlohmann::json;

std::string
MakeTasks(std::uint32_t aCount, const TaskTemplate& aTemplate)
{
  Json task = { { "payload", aTemplate.m_payload },
                { "cores", aTemplate.m_cores },
                { "memory_mb", aTemplate.m_memoryMb },
                { "accelerators", aTemplate.m_accelerators } };
  if (aTemplate.m_expectedRunMs) {
    task["expected_run_ms"] = *aTemplate.m_expectedRunMs;
  }
  return Json(aCount, task).dump();
}

std::string
ReadTasks(std::string_view aText)
{
  Json tasks = Json::parse(aText, nullptr, false, true);
  if (tasks.is_object()) {
    tasks = tasks.value("tasks", Json());
  }
  if (!tasks.is_array() || tasks.empty()) {
    throw std::invalid_argument("the file holds no JSON list of tasks");
  }
  return tasks.dump();
}

} // namespace mulberrysail::ctl
