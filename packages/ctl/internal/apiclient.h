#pragma once

#include "ctl/internal/apicall.h"
#include "network/ihttpclient.h"

#include <chrono>
#include <span>
#include <string>
#include <vector>

namespace mulberrysail::ctl {

/** Calls processes and waits for their answers. */
class ApiClient
{
public:
  ApiClient(network::IHttpClient& aClient, std::chrono::milliseconds aTimeout);

  network::HttpOutcome Call(const std::string& aBaseUrl, const ApiCall& aCall);

  /** Calls all at once.
   * @return the outcomes in the order of the URLs. */
  std::vector<network::HttpOutcome> CallAll(
    std::span<const std::string> aBaseUrls,
    const ApiCall& aCall);

private:
  network::IHttpClient& m_client;
  const std::chrono::milliseconds m_timeout;
};

} // namespace mulberrysail::ctl
