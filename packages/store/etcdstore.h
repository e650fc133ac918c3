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
  /** Base URLs of the etcd members, as http://IP:port; at least one. */
  std::vector<std::string> m_urls;
  /** Maximum time to the first byte of a member's response, and without data
   * in the middle of it. */
  std::chrono::milliseconds m_timeout{ 2000 };
  /** Maximum time for a whole call to one member. */
  std::chrono::milliseconds m_callTimeout{ 20000 };
  std::chrono::milliseconds m_connectTimeout{ 500 };
  /** A watch that receives no data for this time is ended. */
  std::chrono::milliseconds m_watchIdleTimeout{ 20000 };
};

/**
 * Creates a store client for the JSON gateway of etcd v3. A failed call is
 * retried on each of the other members in turn if that is safe: reads, lease
 * grants and lease renewals always, other writes only if no part of the request
 * was sent. A watch is not retried; it ends, and the next watch uses the next
 * member.
 * @param aClient must outlive the store and all its calls.
 */
std::unique_ptr<IStore>
MakeEtcdStore(EtcdOptions aOptions, network::IHttpClient& aClient);

} // namespace mulberrysail::store
