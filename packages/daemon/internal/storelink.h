#pragma once

#include "daemon/iadapter.h"
#include "network/ihttpclient.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/** The store, with its HTTP client and a timer for the users of the store. */
class StoreLink
{
public:
  /** @param aStoreUrls at least one URL.
   * @param aAdapter provides the store; null for an etcd store. */
  StoreLink(const std::vector<std::string>& aStoreUrls,
            const IAdapter* aAdapter);

  store::ITimer& Timer() { return *m_timer; }
  store::IStore& Store() { return *m_store; }
  const store::IStore& Store() const { return *m_store; }

  /** Ends all calls. All users of the store must have been stopped before. */
  void Stop() { m_client->Stop(); }

private:
  std::unique_ptr<network::IHttpClient> m_client;
  std::unique_ptr<store::ITimer> m_timer;
  std::unique_ptr<store::IStore> m_store;
};

} // namespace mulberrysail::daemon
