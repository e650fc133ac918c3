#pragma once

#include "core/types/events.h"
#include "core/types/ids.h"
#include "core/types/messages.h"
#include "core/types/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/** HTTP, and messages between the processes of the system over ZeroMQ. */
namespace mulberrysail::network {

/** A peer to connect to. */
struct PeerAddress
{
  /** tcp://IP:port */
  std::string m_url;

  // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
  auto operator<=>(const PeerAddress&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** Callbacks of the transport. All are called on the transport's thread, in
 * order for each link, and must not block. */
struct TransportHooks
{
  /** A message was received; the sender's timestamp is already merged. */
  std::function<void(core::MessageReceived aReceived)> m_onMessage;
  /** A link was opened, or reopened after a loss. */
  std::function<void(core::ProcessId aPeer)> m_onLinkOpened;
  /** The transport cannot route this message; the peer never receives it. */
  std::function<void(core::ProcessId aTo, core::Message aMessage)>
    m_onSendFailed;
  /** Received data was rejected, or a socket or peer address failed. */
  std::function<void(std::string aDetail)> m_onRejected;
  /** @return the hybrid logical timestamp of an outgoing message. */
  std::function<std::uint64_t()> m_stamp;
  /** Merges the timestamp of a received message into the local clock. */
  std::function<void(std::uint64_t aStamp)> m_mergeStamp;
  /** @return the sending time of an outgoing message, by the local clock. */
  std::function<core::Instant()> m_now;
};

struct TransportCounters
{
  std::uint64_t m_messagesSent = 0;
  std::uint64_t m_messagesReceived = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
  /** Bytes sent by type of message; see core::MessageTypeName(). */
  std::map<std::string, std::uint64_t, std::less<>> m_bytesSentByType;
};

/**
 * Sends each message at most once; messages may be lost. A process may listen
 * (ROUTER) and connect to others (DEALER). After the first exchange both sides
 * can send to each other by ProcessId, no matter which side connected.
 */
class IMessageTransport
{
public:
  virtual ~IMessageTransport() = default;

  /** @return the port that the transport listens on; 0 if it does not listen.
   */
  virtual std::uint16_t Port() const = 0;

  /** Replaces the set of peers: connects to added peers and closes the
   * connections to removed peers. Thread-safe. */
  virtual void SetPeers(std::vector<PeerAddress> aPeers) = 0;

  /** Queues a message for sending. Never blocks. Thread-safe; messages queued
   * by one thread are sent in order. */
  virtual void Send(core::ProcessId aTo, core::Message aMessage) = 0;

  /** @return the instant up to which the transport has handled all messages:
   * those queued before it have been sent, or returned as failed, and those
   * that had arrived by then were passed on. The present while it is idle, and
   * earlier the further it is behind. Thread-safe. */
  virtual core::Instant HandledUntil() const = 0;

  virtual TransportCounters Counters() const = 0;

  /** Sends the queued messages, for at most 200 ms, and ends the thread. */
  virtual void Stop() = 0;
};

struct TransportOptions
{
  core::ProcessId m_self;
  /** Address to listen on; empty to not listen. */
  std::string m_address;
  /** Port to listen on; 0 lets the operating system choose. */
  std::uint16_t m_port = 0;
  /** Messages queued for a peer that does not read; further messages fail to
   * send. */
  std::uint32_t m_highWaterMark = 10000;
};

/** Starts a transport.
 * @return the transport, or InvalidSettings if it cannot listen on the address
 * or the name of the process is empty or too long. */
core::Result<std::unique_ptr<IMessageTransport>>
StartMessageTransport(const TransportOptions& aOptions, TransportHooks aHooks);

} // namespace mulberrysail::network
