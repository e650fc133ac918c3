#pragma once

#include "network/ihttpserver.h"

#include <memory>
#include <mutex>
#include <vector>

namespace mulberrysail::daemon {

/** Holds the requests that arrive before the process can serve them.
 * Thread-safe. */
class HeldRequests
{
public:
  /**
   * Holds a request, or passes it to @p aHandler if Release() was called.
   * @return the hook for the loss of the connection. A held request whose
   * connection is lost is dropped.
   */
  network::DisconnectHook Add(network::HttpRequest aRequest,
                              network::HttpResponder aResponder,
                              const network::HttpHandler& aHandler);

  /** Passes the held requests, in the order of their arrival, and all later
   * ones to @p aHandler. */
  void Release(const network::HttpHandler& aHandler);

private:
  struct Request
  {
    network::HttpRequest m_request;
    network::HttpResponder m_responder;
    std::mutex m_mutex;
    bool m_disconnected = false;
    /** The hook of the handler, once the request was passed to it. */
    network::DisconnectHook m_hook;
  };

  static void PassOn(Request& aRequest, const network::HttpHandler& aHandler);
  static void Disconnect(Request& aRequest);

  std::mutex m_mutex;
  bool m_released = false;
  std::vector<std::shared_ptr<Request>> m_requests;
};

} // namespace mulberrysail::daemon
