#include "ctl/internal/apiclient.h"

#include <future>
#include <memory>
#include <utility>

namespace mulberrysail::ctl {

ApiClient::ApiClient(network::IHttpClient& aClient,
                     std::chrono::milliseconds aTimeout)
  : m_client(aClient)
  , m_timeout(aTimeout)
{
}

network::HttpOutcome
ApiClient::Call(const std::string& aBaseUrl, const ApiCall& aCall)
{
  return std::move(CallAll({ &aBaseUrl, 1 }, aCall).front());
}

std::vector<network::HttpOutcome>
ApiClient::CallAll(std::span<const std::string> aBaseUrls, const ApiCall& aCall)
{
  std::vector<std::future<network::HttpOutcome>> pending;
  pending.reserve(aBaseUrls.size());
  for (const std::string& url : aBaseUrls) {
    const std::shared_ptr<std::promise<network::HttpOutcome>> promise =
      std::make_shared<std::promise<network::HttpOutcome>>();
    pending.push_back(promise->get_future());
    network::HttpCall call;
    call.m_method = aCall.m_method;
    call.m_url = url + aCall.m_path;
    call.m_body = aCall.m_body;
    call.m_timeout = m_timeout;
    if (!aCall.m_body.empty()) {
      call.m_headers["Content-Type"] = "application/json";
    }
    m_client.Call(std::move(call), [promise](network::HttpOutcome aOutcome) {
      promise->set_value(std::move(aOutcome));
    });
  }
  std::vector<network::HttpOutcome> outcomes;
  outcomes.reserve(pending.size());
  for (std::future<network::HttpOutcome>& outcome : pending) {
    outcomes.push_back(outcome.get());
  }
  return outcomes;
}

} // namespace mulberrysail::ctl
