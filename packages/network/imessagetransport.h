#pragma once

#include "core/types/events.h"
#include "core/types/ids.h"
#include "core/types/messages.h"
#include "core/types/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/** Messages between the system's own processes, over ZeroMQ. */
namespace mulberrysail::network {

/** A peer to connect to. */
struct PeerAddress
{
  /** tcp://IP:port */
  std::string m_url;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const PeerAddress&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** What the transport tells; all calls come from its own thread, in the order
 * of each link, and must not block. */
struct TransportHooks
{
  /** A message came; the sender's timestamp is merged. */
  std::function<void(core::MessageReceived aReceived)> m_onMessage;
  /** A link was opened, or opened again after a loss. */
  std::function<void(core::ProcessId aPeer)> m_onLinkOpened;
  /** The transport can't route this message: the peer never gets it. */
  std::function<void(core::ProcessId aTo, core::Message aMessage)>
    m_onSendFailed;
  /** Bytes came that are no message. */
  std::function<void(std::string aDetail)> m_onRejected;
  /** Hybrid logical time to put on an outgoing message, and to merge. */
  std::function<std::uint64_t()> m_stamp;
  std::function<void(std::uint64_t aStamp)> m_mergeStamp;
  /** The clock whose time of sending goes on an outgoing message. */
  std::function<core::Instant()> m_now;
};

struct TransportCounters
{
  std::uint64_t m_messagesSent = 0;
  std::uint64_t m_messagesReceived = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/**
 * Sends messages at most once each and may lose them. A process may listen
 * (ROUTER) and dial others (DEALER); after the first exchange both sides can
 * send to each other by ProcessId, whoever dialled.
 */
class IMessageTransport
{
public:
  virtual ~IMessageTransport() = default;

  /** @return the port it listens on; 0 if it doesn't. */
  virtual std::uint16_t Port() const = 0;

  /** Dials what is new and closes what is gone. Thread-safe. */
  virtual void SetPeers(std::vector<PeerAddress> aPeers) = 0;

  /** Puts a message into the outgoing queue. Never blocks. Thread-safe;
   * messages put in by one thread leave in order. */
  virtual void Send(core::ProcessId aTo, core::Message aMessage) = 0;

  virtual TransportCounters Counters() const = 0;

  /** Sends what is queued, for at most 200 ms, and ends the thread. */
  virtual void Stop() = 0;
};

struct TransportOptions
{
  core::ProcessId m_self;
  /** Listen on tcp://address:port; no listening if the address is empty. */
  std::string m_address;
  std::uint16_t m_port = 0;
  /** Messages held for a peer that doesn't read; more fail to send. */
  std::uint32_t m_highWaterMark = 10000;
};

core::Result<std::unique_ptr<IMessageTransport>>
StartMessageTransport(const TransportOptions& aOptions, TransportHooks aHooks);

} // namespace mulberrysail::network
