#pragma once

#include <nlohmann/json.hpp>

namespace mulberrysail::standins {

/** How an endpoint or worker misbehaves, set by POST /control. */
struct RunControl
{
  /** Announces that it is leaving, but stays. */
  bool m_leaving = false;
  /** All that runs fails. */
  bool m_failAll = false;
  /** The effect is done, no answer is given. */
  bool m_mute = false;
  /** Run times are multiplied by this. */
  double m_speed = 1.0;

  /** Takes over the fields that are in @p aBody. */
  void Update(const nlohmann::json& aBody);

  nlohmann::json ToJson() const;
};

} // namespace mulberrysail::standins
