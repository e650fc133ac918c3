#pragma once

#include "network/imessagetransport.h"
#include "network/internal/descriptorpoller.h"
#include "network/internal/messagelinks.h"
#include "network/internal/messageoutbox.h"
#include "network/internal/outgoingconnections.h"
#include "protocol/codec.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace mulberrysail::network {

/** Message transport over ZeroMQ. One thread owns all sockets. */
class MessageTransport : public IMessageTransport
{
public:
  /** Listens and starts the thread; throws zmq::error_t if it cannot listen. */
  MessageTransport(const TransportOptions& aOptions, TransportHooks aHooks);
  ~MessageTransport() override;

  std::uint16_t Port() const override { return m_port; }
  void SetPeers(std::vector<PeerAddress> aPeers) override;
  void Send(core::ProcessId aTo, core::Message aMessage) override;
  core::Instant HandledUntil() const override;
  TransportCounters Counters() const override;
  void Stop() override;

private:
  void Listen();

  // The methods below run on the transport's thread.
  void Run();
  void Poll();
  /** @return how long to wait for readable descriptors. */
  std::chrono::milliseconds PollTimeout();
  void MarkReadable(DescriptorPoller::Key aKey);
  /** Waits for readable descriptors, if there is nothing else to handle. */
  void WaitForInput();
  bool MayHaveInput() const;
  /** Handles the events and messages of the sockets that may have any. */
  void HandleInput();
  void HandleOutbox();
  void ApplyPeers(const std::vector<PeerAddress>& aPeers);
  void HandleConnection(ConnectionId aId, Outgoing& aOutgoing);
  void HandleConnectionEvents(ConnectionId aId, Outgoing& aOutgoing);
  void SendGreeting(Outgoing& aOutgoing);
  void HandleListener();
  void HandleBytes(const MessageLink& aLink, const zmq::message_t& aBytes);
  /** @return the head of an envelope with the current times. */
  protocol::EnvelopeHeader MakeHead() const;
  void HandleGreeting(const core::ProcessId& aFrom,
                      const MessageLink& aLink,
                      const protocol::Greeting& aGreeting);
  void UpdateIncomingLink(const core::ProcessId& aFrom,
                          const MessageLink& aLink);
  void RemoveLink(const MessageLink& aLink);
  void RemoveIdleLinks();
  void Route(OutgoingMessage& aMessage);
  void CountSent(const core::Message& aMessage, std::size_t aBytes);
  bool SendOver(const MessageLink& aLink, const std::string& aBytes);
  bool SendIncoming(const IncomingLink& aLink, const std::string& aBytes);

  const TransportOptions m_options;
  const TransportHooks m_hooks;
  MessageOutbox m_outbox;
  DescriptorPoller m_poller;
  zmq::context_t m_context;
  OutgoingConnections m_outgoing;
  std::optional<zmq::socket_t> m_listener;
  bool m_listenerMayHaveInput = false;
  std::uint16_t m_port = 0;
  MessageLinks m_links;
  core::Instant m_nextIdleCheck = core::Instant::min();
  bool m_stopped = false;
  /** All messages that had arrived by this instant were passed on; kNever while
   * the thread waits for more. */
  std::atomic<core::Instant> m_inputHandledUntil{ core::kNever };
  std::atomic<std::uint64_t> m_messagesSent = 0;
  std::atomic<std::uint64_t> m_messagesReceived = 0;
  std::atomic<std::uint64_t> m_bytesSent = 0;
  std::atomic<std::uint64_t> m_bytesReceived = 0;
  mutable std::mutex m_bytesSentByTypeMutex;
  std::map<std::string, std::uint64_t, std::less<>> m_bytesSentByType;
  std::thread m_thread;
};

} // namespace mulberrysail::network
