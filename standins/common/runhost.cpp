#include "standins/common/runhost.h"

#include "standins/common/jsonhttp.h"

#include <utility>

namespace mulberrysail::standins {

RunHost::RunHost(const std::string& aJournalPath,
                 double aSpeed,
                 std::function<void()> aOnControl)
  : m_journal(aJournalPath)
  , m_onControl(std::move(aOnControl))
{
  m_control.m_speed = aSpeed;
}

bool
RunHost::HandleCommon(const network::HttpRequest& aRequest,
                      const network::HttpResponder& aResponder)
{
  if (aRequest.m_path == "/control") {
    HandleControl(aRequest, aResponder);
    return true;
  }
  if (aRequest.m_path == "/journal") {
    aResponder(TextResponse(m_journal.Text()));
    return true;
  }
  if (aRequest.m_path == "/healthz") {
    aResponder(JsonResponse(nlohmann::json::object()));
    return true;
  }
  return false;
}

void
RunHost::HandleControl(const network::HttpRequest& aRequest,
                       const network::HttpResponder& aResponder)
{
  if (aRequest.m_method == "POST") {
    m_control.Update(ParseObject(aRequest.m_body));
    m_onControl();
  }
  aResponder(JsonResponse(m_control.ToJson()));
}

std::chrono::microseconds
RunHost::RunTime(const Payload& aPayload) const
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
    aPayload.m_run * m_control.m_speed);
}

bool
RunHost::Fails(const Payload& aPayload) const
{
  return aPayload.m_fail || m_control.m_failAll;
}

void
RunHost::Answer(const network::HttpResponder& aResponder,
                network::HttpResponse aResponse)
{
  if (m_control.m_mute) {
    m_muted.push_back(aResponder);
    return;
  }
  aResponder(std::move(aResponse));
}

} // namespace mulberrysail::standins
