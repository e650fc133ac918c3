#pragma once

#include <map>
#include <string>

namespace mulberrysail::core::agent {

/** What tasks of a service take, relative to what is declared. */
struct NeedFactors
{
  double m_cores = 1.0;
  double m_memory = 1.0;
};

using LearningSection = std::map<std::string, NeedFactors, std::less<>>;

} // namespace mulberrysail::core::agent
