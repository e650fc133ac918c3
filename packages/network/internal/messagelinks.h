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
struct OutgoingLink
{
  std::uint64_t m_connectionId = 0;

  bool operator==(const OutgoingLink&) const = default;
  bool operator<(const OutgoingLink& aOther) const
  {
    return m_connectionId < aOther.m_connectionId;
  }
};

/** A connection that a peer dialled, by the routing id of the peer. */
struct IncomingLink
{
  std::string m_routingId;

  bool operator==(const IncomingLink&) const = default;
  bool operator<(const IncomingLink& aOther) const
  {
    return m_routingId < aOther.m_routingId;
  }
};

using MessageLink = std::variant<OutgoingLink, IncomingLink>;

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
  bool RecordReceived(const core::ProcessId& aPeer,
                      const MessageLink& aLink,
                      core::Instant aNow);

  /** Forgets a link.
   * @return the peer, if another link took the place of the one in use. */
  std::optional<core::ProcessId> Remove(const MessageLink& aLink);

  /** Forgets links dialled by peers that were silent since @p aBefore. */
  void RemoveIdle(core::Instant aBefore);

  /** @return the link in use; null if there is none. Valid until a change. */
  const MessageLink* Find(const core::ProcessId& aPeer) const;

private:
  struct Owner
  {
    core::ProcessId m_peer;
    core::Instant m_lastReceivedAt;
  };

  std::map<MessageLink, Owner> m_owners;
  /** The link in use is the first. */
  std::unordered_map<core::ProcessId, std::vector<MessageLink>> m_links;
};

} // namespace mulberrysail::network
