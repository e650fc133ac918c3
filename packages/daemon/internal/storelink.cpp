#include "daemon/internal/storelink.h"

#include "store/etcdstore.h"

namespace mulberrysail::daemon {

namespace {

std::unique_ptr<store::IStore>
MakeStore(const std::vector<std::string>& aUrls,
          const IAdapter* aAdapter,
          network::IHttpClient& aClient)
{
  if (aAdapter != nullptr) {
    return aAdapter->MakeStore(aUrls, aClient);
  }
  store::EtcdOptions options;
  options.m_urls = aUrls;
  return store::MakeEtcdStore(options, aClient);
}

} // namespace

StoreLink::StoreLink(const std::vector<std::string>& aStoreUrls,
                     const IAdapter* aAdapter)
  : m_client(network::StartHttpClient({}))
  , m_timer(store::StartTimer())
  , m_store(MakeStore(aStoreUrls, aAdapter, *m_client))
{
}

} // namespace mulberrysail::daemon
