#include "daemon/internal/platformlink.h"

#include "platform/etcdstore.h"

namespace mulberrysail::daemon {

namespace {

std::unique_ptr<platform::IStore>
MakeStore(const std::vector<std::string>& aUrls, network::IHttpClient& aClient)
{
  platform::EtcdOptions options;
  options.m_urls = aUrls;
  return platform::MakeEtcdStore(options, aClient);
}

} // namespace

PlatformLink::PlatformLink(const std::vector<std::string>& aStoreUrls)
  : m_client(network::StartHttpClient({}))
  , m_timer(platform::StartTimer())
  , m_store(MakeStore(aStoreUrls, *m_client))
{
}

} // namespace mulberrysail::daemon
