#include "daemon/internal/resourcescodec.h"

#include <cmath>
#include <limits>

namespace mulberrysail::daemon {

namespace {

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr double kMaxCores = 100000;
constexpr double kMilliCoresPerCore = 1000;

} // namespace

core::Resources
ReadResources(JsonFields& aFields, double aDefaultCores)
{
  const double cores =
    aFields.Number("cores", 0, kMaxCores).value_or(aDefaultCores);
  core::Resources resources;
  resources.m_milliCores =
    static_cast<std::uint32_t>(std::ceil(cores * kMilliCoresPerCore));
  resources.m_memoryMb = static_cast<std::uint32_t>(
    aFields.WholeNumber("memory_mb", 0, kMaxUint32).value_or(0));
  resources.m_accelerators = static_cast<std::uint32_t>(
    aFields.WholeNumber("accelerators", 0, kMaxUint32).value_or(0));
  return resources;
}

nlohmann::json
ResourcesToJson(const core::Resources& aResources)
{
  return { { "cores", aResources.m_milliCores / kMilliCoresPerCore },
           { "memory_mb", aResources.m_memoryMb },
           { "accelerators", aResources.m_accelerators } };
}

} // namespace mulberrysail::daemon
