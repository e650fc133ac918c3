#pragma once

#include "network/imessagetransport.h"
#include "network/internal/messagedial.h"
#include "network/internal/messagelinks.h"
#include "network/internal/messageoutbox.h"
#include "protocol/codec.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <thread>

namespace mulberrysail::network {

/** The transport over ZeroMQ. One thread owns all sockets. */
class MessageTransport : public IMessageTransport
{
public:
  /** Listens and starts the thread; throws zmq::error_t if it can't. */
  MessageTransport(const TransportOptions& aOptions, TransportHooks aHooks);
  ~MessageTransport() override;

  std::uint16_t Port() const override { return m_port; }
  void SetPeers(std::vector<PeerAddress> aPeers) override;
  void Send(core::ProcessId aTo, core::Message aMessage) override;
  TransportCounters Counters() const override;
  void Stop() override;

private:
  struct Dial
  {
    explicit Dial(std::unique_ptr<MessageDial> aConnection)
      : m_connection(std::move(aConnection))
    {
    }

    std::unique_ptr<MessageDial> m_connection;
    /** The connection is new and the peer was not greeted. */
    bool m_greetingDue = false;
  };

  /** Identifies dials; never used again. */
  using DialId = std::uint64_t;

  void Listen();

  // All below runs on the transport's thread.
  void Run();
  void Poll();
  void HandleOutbox();
  void ApplyPeers(const std::vector<PeerAddress>& aPeers);
  void StartDial(const std::string& aUrl);
  void HandleDial(DialId aId, Dial& aDial);
  void HandleDialEvents(DialId aId, Dial& aDial);
  void SendGreeting(Dial& aDial);
  void HandleListener();
  void HandleBytes(const MessageLink& aLink, const zmq::message_t& aBytes);
  /** @return the head of an envelope that is sent now. */
  protocol::EnvelopeHeader Head() const;
  void HandleGreeting(const core::ProcessId& aFrom,
                      const MessageLink& aLink,
                      const protocol::Greeting& aGreeting);
  void NoteHeard(const core::ProcessId& aFrom, const MessageLink& aLink);
  void ForgetLink(const MessageLink& aLink);
  void ForgetSilentPeers();
  void Route(OutgoingMessage& aMessage);
  bool SendOver(const MessageLink& aLink, const std::string& aBytes);
  bool SendRouted(const RoutedLink& aLink, const std::string& aBytes);

  const TransportOptions m_options;
  const TransportHooks m_hooks;
  MessageOutbox m_outbox;
  zmq::context_t m_context;
  std::optional<zmq::socket_t> m_listener;
  std::uint16_t m_port = 0;
  std::map<DialId, Dial> m_dials;
  std::map<std::string, DialId> m_dialsByUrl;
  DialId m_lastDial = 0;
  MessageLinks m_links;
  core::Instant m_nextSweep = core::Instant::min();
  bool m_stopped = false;
  std::atomic<std::uint64_t> m_messagesSent = 0;
  std::atomic<std::uint64_t> m_messagesReceived = 0;
  std::atomic<std::uint64_t> m_bytesSent = 0;
  std::atomic<std::uint64_t> m_bytesReceived = 0;
  std::thread m_thread;
};

} // namespace mulberrysail::network
