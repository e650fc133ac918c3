#pragma once

#include "network/ihttpclient.h"
#include "platform/istore.h"
#include "platform/itimer.h"

#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** The platform's store, with the client and the timer that it is used by. */
class PlatformLink
{
public:
  /** @param aStoreUrls at least one. */
  explicit PlatformLink(const std::vector<std::string>& aStoreUrls);

  platform::ITimer& Timer() { return *m_timer; }
  platform::IStore& Store() { return *m_store; }
  const platform::IStore& Store() const { return *m_store; }

  /** Ends all calls; what uses the store must have been stopped. */
  void Stop() { m_client->Stop(); }

private:
  std::unique_ptr<network::IHttpClient> m_client;
  std::unique_ptr<platform::ITimer> m_timer;
  std::unique_ptr<platform::IStore> m_store;
};

} // namespace mulberrysail::daemon
