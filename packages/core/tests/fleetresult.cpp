#include "core/tests/fleetsimulation.h"

#include <algorithm>

/** What the simulation of a fleet has counted. */
namespace mulberrysail::core {

double
FleetResult::AcceptedInWindow() const
{
  return 1 - static_cast<double>(m_queueFullInWindow) /
               static_cast<double>(std::max<std::size_t>(m_offersInWindow, 1));
}

std::string
FleetResult::Text() const
{
  std::string text = "jobs=" + std::to_string(m_jobs) +
                     " in_time=" + std::to_string(m_inTime) +
                     " of_use=" + std::to_string(m_ofUse);
  for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
    text += std::string(" ") + kJobKinds.at(kind).m_queue + "=" +
            std::to_string(m_inTimeByKind.at(kind));
  }
  for (std::size_t entry = 0; entry < m_inTimeByEntry.size(); ++entry) {
    text += " entry" + std::to_string(entry) + "=" +
            std::to_string(m_inTimeByEntry[entry]) + "/" +
            std::to_string(m_jobsByEntry[entry]);
  }
  text += " accepted_in_window=" + std::to_string(AcceptedInWindow()) + "/" +
          std::to_string(m_offersInWindow);
  for (const auto& [type, count] : m_messagesByType) {
    text += " " + type + "=" + std::to_string(count);
  }
  for (const double inTime : m_inTimeByEntry) {
    text += " at_entry=" + std::to_string(inTime);
  }
  return text + " forwarded=" + std::to_string(m_forwarded) +
         " starts=" + std::to_string(m_starts) +
         " offers=" + std::to_string(m_offers) +
         " refused=" + std::to_string(m_refusedOffers) +
         " messages=" + std::to_string(m_messages) +
         " to_other_zones=" + std::to_string(m_offersToOtherZones);
}

} // namespace mulberrysail::core
