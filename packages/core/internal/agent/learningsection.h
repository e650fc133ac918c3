#pragma once

#include <map>
#include <string>

namespace mulberrysail::core::agent {

/** Usage of a service's tasks relative to their declared needs. */
struct NeedFactors
{
  double m_cores = 1.0;
  double m_memory = 1.0;
};

/** Learned factors by service. */
using LearningSection = std::map<std::string, NeedFactors, std::less<>>;

} // namespace mulberrysail::core::agent
