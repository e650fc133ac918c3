#pragma once

#include "network/internal/clientsocket.h"
#include "network/internal/connectionregistry.h"

#include <restinio/http_server.hpp>

#include <memory>
#include <utility>
#include <variant>

namespace mulberrysail::network {

/** Registers accepted connections and removes closed ones. */
class ConnectionStateListener
{
public:
  explicit ConnectionStateListener(
    std::shared_ptr<ConnectionRegistry> aRegistry)
    : m_registry(std::move(aRegistry))
  {
  }

  // The name is RESTinio's.
  void state_changed( // NOLINT(readability-identifier-naming)
    const restinio::connection_state::notice_t& aNotice) noexcept
  {
    const restinio::connection_state::cause_t cause = aNotice.cause();
    if (std::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
      m_registry->AddConnection(aNotice.connection_id());
    } else {
      m_registry->RemoveConnection(aNotice.connection_id());
    }
  }

private:
  std::shared_ptr<ConnectionRegistry> m_registry;
};

/** Denies connections over the limit. RESTinio's own limiter is not used
 * because it leaks one slot with each client that resets during accept. */
class ConnectionLimiter
{
public:
  explicit ConnectionLimiter(std::shared_ptr<ConnectionRegistry> aRegistry)
    : m_registry(std::move(aRegistry))
  {
  }

  // The name is RESTinio's.
  restinio::ip_blocker::inspection_result_t
  inspect( // NOLINT(readability-identifier-naming)
    const restinio::ip_blocker::incoming_info_t& /*aInfo*/) noexcept
  {
    return m_registry->IsBelowLimit() ? restinio::ip_blocker::allow()
                                      : restinio::ip_blocker::deny();
  }

private:
  std::shared_ptr<ConnectionRegistry> m_registry;
};

/** How RESTinio accepts the connections of an HTTP server. */
struct ServerTraits : public restinio::default_traits_t
{
  // The names are RESTinio's.
  // NOLINTBEGIN(readability-identifier-naming)
  using connection_state_listener_t = ConnectionStateListener;
  using ip_blocker_t = ConnectionLimiter;
  using stream_socket_t = ClientSocket;
  // NOLINTEND(readability-identifier-naming)
};

} // namespace mulberrysail::network
