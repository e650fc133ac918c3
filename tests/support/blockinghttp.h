#pragma once

#include "network/ihttpclient.h"

#include <nlohmann/json.hpp>

#include <future>
#include <memory>
#include <string>

namespace mulberrysail::testsupport {

/** HTTP calls whose outcome can be waited for. */
class BlockingHttp
{
public:
  BlockingHttp();
  ~BlockingHttp();
  BlockingHttp(const BlockingHttp&) = delete;
  BlockingHttp& operator=(const BlockingHttp&) = delete;

  /** Starts a call; many may be open at once. */
  std::future<network::HttpOutcome> Start(network::HttpCall aCall);

  /** Starts a POST of a JSON body. */
  std::future<network::HttpOutcome> StartPost(const std::string& aUrl,
                                              const nlohmann::json& aBody);

  network::HttpOutcome Post(const std::string& aUrl,
                            const nlohmann::json& aBody);

  network::HttpOutcome Get(const std::string& aUrl);

  /** @return the body of a GET that was answered with 200, else null. */
  nlohmann::json GetJson(const std::string& aUrl);

private:
  std::unique_ptr<network::IHttpClient> m_client;
};

} // namespace mulberrysail::testsupport
