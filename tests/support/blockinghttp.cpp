#include "support/blockinghttp.h"

#include <utility>

namespace mulberrysail::testsupport {

namespace {

/** Longer than any call of a test should take. */
constexpr std::chrono::milliseconds kCallTimeout{ 60000 };
constexpr std::chrono::milliseconds kGetTimeout{ 2000 };
constexpr int kOk = 200;

} // namespace

BlockingHttp::BlockingHttp()
  : m_client(network::StartHttpClient({}))
{
}

BlockingHttp::~BlockingHttp()
{
  m_client->Stop();
}

std::future<network::HttpOutcome>
BlockingHttp::Start(network::HttpCall aCall)
{
  const std::shared_ptr<std::promise<network::HttpOutcome>> promise =
    std::make_shared<std::promise<network::HttpOutcome>>();
  m_client->Call(std::move(aCall), [promise](network::HttpOutcome aOutcome) {
    promise->set_value(std::move(aOutcome));
  });
  return promise->get_future();
}

std::future<network::HttpOutcome>
BlockingHttp::StartPost(const std::string& aUrl, const nlohmann::json& aBody)
{
  network::HttpCall call;
  call.m_url = aUrl;
  call.m_headers["Content-Type"] = "application/json";
  call.m_body = aBody.dump();
  call.m_timeout = kCallTimeout;
  return Start(std::move(call));
}

network::HttpOutcome
BlockingHttp::Post(const std::string& aUrl, const nlohmann::json& aBody)
{
  return StartPost(aUrl, aBody).get();
}

network::HttpOutcome
BlockingHttp::Get(const std::string& aUrl)
{
  network::HttpCall call;
  call.m_method = "GET";
  call.m_url = aUrl;
  call.m_timeout = kGetTimeout;
  return Start(std::move(call)).get();
}

nlohmann::json
BlockingHttp::GetJson(const std::string& aUrl)
{
  const network::HttpOutcome outcome = Get(aUrl);
  if (outcome.m_status != kOk) {
    return nullptr;
  }
  const nlohmann::json body =
    nlohmann::json::parse(outcome.m_body, nullptr, false);
  return body.is_discarded() ? nlohmann::json() : body;
}

} // namespace mulberrysail::testsupport
