#include "standins/proxy/linkfaults.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace mulberrysail::standins {

LinkMode
LinkModeByName(std::string_view aName)
{
  const auto found =
    std::find(kLinkModeNames.begin(), kLinkModeNames.end(), aName);
  if (found == kLinkModeNames.end()) {
    throw std::invalid_argument("unknown mode " + std::string(aName));
  }
  return static_cast<LinkMode>(found - kLinkModeNames.begin());
}

bool
LinkFaults::Drops(Direction aDirection) const
{
  if (aDirection == Direction::ToTarget) {
    return m_mode == LinkMode::OnewayOut;
  }
  return m_mode == LinkMode::OnewayIn;
}

bool
LinkFaults::Accepts() const
{
  return m_mode != LinkMode::Cut && m_mode != LinkMode::Refuse;
}

} // namespace mulberrysail::standins
