#include "standins/common/runcontrol.h"

namespace mulberrysail::standins {

void
RunControl::Update(const nlohmann::json& aBody)
{
  m_leaving = aBody.value("leaving", m_leaving);
  m_failAll = aBody.value("fail_all", m_failAll);
  m_mute = aBody.value("mute", m_mute);
  m_speed = aBody.value("speed", m_speed);
}

nlohmann::json
RunControl::ToJson() const
{
  return { { "leaving", m_leaving },
           { "fail_all", m_failAll },
           { "mute", m_mute },
           { "speed", m_speed } };
}

} // namespace mulberrysail::standins
