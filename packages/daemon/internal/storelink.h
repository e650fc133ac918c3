#pragma once

#include "daemon/iadapter.h"
#include "network/ihttpclient.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** The platform's store, with the client and the timer that it is used by. */
class StoreLink
{
public:
  /** @param aStoreUrls at least one.
   * @param aAdapter null if the store is the product's own kind. */
  StoreLink(const std::vector<std::string>& aStoreUrls,
            const IAdapter* aAdapter);

  store::ITimer& Timer() { return *m_timer; }
  store::IStore& Store() { return *m_store; }
  const store::IStore& Store() const { return *m_store; }

  /** Ends all calls; what uses the store must have been stopped. */
  void Stop() { m_client->Stop(); }

private:
  std::unique_ptr<network::IHttpClient> m_client;
  std::unique_ptr<store::ITimer> m_timer;
  std::unique_ptr<store::IStore> m_store;
};

} // namespace mulberrysail::daemon
