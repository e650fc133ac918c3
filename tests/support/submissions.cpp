#include "support/submissions.h"

namespace mulberrysail::testsupport {

namespace {

using nlohmann::json;

constexpr int kTaskMemoryMb = 64;

} // namespace

SubmittedWork
MakeWork(const std::string& aId, std::chrono::milliseconds aRun)
{
  const json payload = { { "id", aId }, { "run_ms", aRun.count() } };
  return { aId, payload.dump(), false, {} };
}

json
RequestBody(const SubmittedWork& aWork, std::chrono::milliseconds aDeadline)
{
  return { { "payload", aWork.m_payload },
           { "repeatable", aWork.m_repeatable },
           { "deadline_ms", aDeadline.count() } };
}

json
JobBody(const std::vector<SubmittedWork>& aTasks,
        double aCores,
        std::chrono::milliseconds aDeadline)
{
  json tasks = json::array();
  for (const SubmittedWork& task : aTasks) {
    tasks.push_back({ { "payload", task.m_payload },
                      { "cores", aCores },
                      { "memory_mb", kTaskMemoryMb } });
  }
  return { { "tasks", tasks }, { "deadline_ms", aDeadline.count() } };
}

} // namespace mulberrysail::testsupport
