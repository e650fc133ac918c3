#include "daemon/internal/heldrequests.h"

#include <utility>

namespace mulberrysail::daemon {

network::DisconnectHook
HeldRequests::Add(network::HttpRequest aRequest,
                  network::HttpResponder aResponder,
                  const network::HttpHandler& aHandler)
{
  {
    const std::lock_guard lock(m_mutex);
    if (!m_released) {
      const std::shared_ptr<Request> held = std::make_shared<Request>();
      held->m_request = std::move(aRequest);
      held->m_responder = std::move(aResponder);
      m_requests.push_back(held);
      return [held] { Disconnect(*held); };
    }
  }
  return aHandler(std::move(aRequest), std::move(aResponder));
}

void
HeldRequests::Release(const network::HttpHandler& aHandler)
{
  std::vector<std::shared_ptr<Request>> requests;
  {
    const std::lock_guard lock(m_mutex);
    m_released = true;
    requests.swap(m_requests);
  }
  for (const std::shared_ptr<Request>& request : requests) {
    PassOn(*request, aHandler);
  }
}

void
HeldRequests::PassOn(Request& aRequest, const network::HttpHandler& aHandler)
{
  {
    const std::lock_guard lock(aRequest.m_mutex);
    if (aRequest.m_disconnected) {
      return;
    }
  }
  network::DisconnectHook hook =
    aHandler(std::move(aRequest.m_request), std::move(aRequest.m_responder));
  {
    const std::lock_guard lock(aRequest.m_mutex);
    if (!aRequest.m_disconnected) {
      aRequest.m_hook = std::move(hook);
      return;
    }
  }
  // The connection was lost while the handler ran.
  if (hook) {
    hook();
  }
}

void
HeldRequests::Disconnect(Request& aRequest)
{
  network::DisconnectHook hook;
  {
    const std::lock_guard lock(aRequest.m_mutex);
    aRequest.m_disconnected = true;
    hook = std::exchange(aRequest.m_hook, {});
  }
  if (hook) {
    hook();
  }
}

} // namespace mulberrysail::daemon
