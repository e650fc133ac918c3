#pragma once

#include "network/imessagetransport.h"

#include <mutex>
#include <optional>
#include <vector>

namespace mulberrysail::network {

struct OutgoingMessage
{
  core::ProcessId m_to;
  core::Message m_message;
};

/** What other threads ask of the transport's thread, which is woken through
 * a file descriptor. Thread-safe. */
class MessageOutbox
{
public:
  struct Contents
  {
    std::vector<OutgoingMessage> m_messages;
    /** Present if the peers were set since the last time. */
    std::optional<std::vector<PeerAddress>> m_peers;
    bool m_stop = false;
  };

  MessageOutbox();
  ~MessageOutbox();
  MessageOutbox(const MessageOutbox&) = delete;
  MessageOutbox& operator=(const MessageOutbox&) = delete;

  /** @return the descriptor, readable while there is something to take. */
  int Descriptor() const { return m_descriptor; }

  void Push(OutgoingMessage aMessage);
  void SetPeers(std::vector<PeerAddress> aPeers);
  void RequestStop();

  /** Takes all that was put in, in its order. */
  Contents TakeAll();

private:
  void Wake() const;

  const int m_descriptor;
  std::mutex m_mutex;
  Contents m_contents;
};

} // namespace mulberrysail::network
