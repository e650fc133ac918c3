#pragma once

#include "network/imessagetransport.h"

#include <mutex>
#include <optional>
#include <vector>

namespace mulberrysail::network {

/** A message and its recipient. */
struct OutgoingMessage
{
  core::ProcessId m_to;
  core::Message m_message;
};

/** Queue of requests from other threads to the transport's thread, which is
 * woken through a file descriptor. Thread-safe. */
class MessageOutbox
{
public:
  struct Contents
  {
    std::vector<OutgoingMessage> m_messages;
    /** When the first of m_messages was added. */
    core::Instant m_oldestAt = core::kNever;
    /** The new set of peers, if it was set since the last TakeAll(). */
    std::optional<std::vector<PeerAddress>> m_peers;
    bool m_stop = false;
  };

  MessageOutbox();
  ~MessageOutbox();
  MessageOutbox(const MessageOutbox&) = delete;
  MessageOutbox& operator=(const MessageOutbox&) = delete;

  /** @return the descriptor. It becomes readable when contents are added after
   * PrepareToWait() has returned true. */
  int Descriptor() const { return m_descriptor; }

  /** To be called before waiting for the descriptor.
   * @return whether the outbox is empty; otherwise the caller must not wait. */
  bool PrepareToWait();

  void Push(OutgoingMessage aMessage, core::Instant aNow);
  void SetPeers(std::vector<PeerAddress> aPeers);
  void RequestStop();

  /** Removes and returns the contents; messages are in the order of Push().
   * Those that were taken before count as sent from now on. */
  Contents TakeAll();

  /** @return when the oldest message that is not sent yet was added; kNever if
   * there is none. */
  core::Instant OldestUnsentAt() const;

private:
  /** Makes the descriptor readable if the reader may be waiting for it. */
  void WakeReader();

  const int m_descriptor;
  mutable std::mutex m_mutex;
  /** The reader may be waiting and has not been woken yet. Without this flag,
   * each message that the reader itself adds would cost two system calls. */
  bool m_readerWaits = false;
  bool m_wakeIsPending = false;
  Contents m_contents;
  /** Contents::m_oldestAt of the messages that the reader took last and may
   * still be sending. */
  core::Instant m_oldestTakenAt = core::kNever;
};

} // namespace mulberrysail::network
