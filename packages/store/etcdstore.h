#pragma once

#include "network/ihttpclient.h"
#include "store/istore.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::store {

struct EtcdOptions
{
  /** http://IP:port of the store's members; at least one. */
  std::vector<std::string> m_urls;
  /** Of one call to one member. */
  std::chrono::milliseconds m_timeout{ 2000 };
  std::chrono::milliseconds m_connectTimeout{ 500 };
  /** A watch that receives nothing for so long is ended. */
  std::chrono::milliseconds m_watchIdleTimeout{ 20000 };
};

/**
 * The store by the JSON gateway of etcd v3. A call that can be repeated safely
 * is tried with each member in turn: reads always, writes as long as nothing
 * of them was sent.
 * @param aClient must live longer than the store and all its calls.
 */
std::unique_ptr<IStore>
MakeEtcdStore(EtcdOptions aOptions, network::IHttpClient& aClient);

} // namespace mulberrysail::store
