#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mulberrysail::network {

/** A connection that this process dialled. */
struct DialledLink
{
  std::uint64_t m_dial = 0;

  bool operator==(const DialledLink&) const = default;
  bool operator<(const DialledLink& aOther) const
  {
    return m_dial < aOther.m_dial;
  }
};

/** A connection that a peer dialled, by the routing id of the peer. */
struct RoutedLink
{
  std::string m_routingId;

  bool operator==(const RoutedLink&) const = default;
  bool operator<(const RoutedLink& aOther) const
  {
    return m_routingId < aOther.m_routingId;
  }
};

using MessageLink = std::variant<DialledLink, RoutedLink>;

/**
 * By which connections each peer can be reached. Two processes may dial each
 * other; then the link that was there first stays in use until it is lost, so
 * that messages keep their order.
 */
class MessageLinks
{
public:
  /** Notes that @p aPeer was heard on @p aLink.
   * @return whether the link was unknown. */
  bool Heard(const core::ProcessId& aPeer,
             const MessageLink& aLink,
             core::Instant aNow);

  /** Forgets a link.
   * @return the peer, if another link took the place of the one in use. */
  std::optional<core::ProcessId> Remove(const MessageLink& aLink);

  /** Forgets links dialled by peers that were silent since @p aBefore. */
  void RemoveSilent(core::Instant aBefore);

  /** @return the link in use; null if there is none. Valid until a change. */
  const MessageLink* Find(const core::ProcessId& aPeer) const;

private:
  struct Owner
  {
    core::ProcessId m_peer;
    core::Instant m_lastHeard;
  };

  std::map<MessageLink, Owner> m_owners;
  /** The link in use is the first. */
  std::unordered_map<core::ProcessId, std::vector<MessageLink>> m_links;
};

} // namespace mulberrysail::network
