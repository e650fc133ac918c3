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

/** A connection that this process opened. */
struct OutgoingLink
{
  std::uint64_t m_connectionId = 0;

  bool operator==(const OutgoingLink&) const = default;
  bool operator<(const OutgoingLink& aOther) const
  {
    return m_connectionId < aOther.m_connectionId;
  }
};

/** A connection that a peer opened, identified by its routing id. */
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
 * The links to each peer. Two processes may connect to each other; then the
 * link that was opened first stays in use until it is lost, so that messages
 * keep their order.
 */
class MessageLinks
{
public:
  /** Records that a message from @p aPeer was received on @p aLink.
   * @return whether the link is new for this peer. */
  bool RecordReceived(const core::ProcessId& aPeer,
                      const MessageLink& aLink,
                      core::Instant aNow);

  /** Removes a link.
   * @return the peer, if the link was in use and another link replaces it. */
  std::optional<core::ProcessId> Remove(const MessageLink& aLink);

  /** Removes incoming links on which no message was received since
   * @p aBefore. */
  void RemoveIdle(core::Instant aBefore);

  /** @return the link in use; null if there is none. The pointer is valid until
   * the next change. */
  const MessageLink* Find(const core::ProcessId& aPeer) const;

private:
  struct Owner
  {
    core::ProcessId m_peer;
    core::Instant m_lastReceivedAt;
  };

  std::map<MessageLink, Owner> m_owners;
  /** The links of each peer; the first is in use. */
  std::unordered_map<core::ProcessId, std::vector<MessageLink>> m_links;
};

} // namespace mulberrysail::network
