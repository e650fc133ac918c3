#include "network/internal/messagetransport.h"

#include "network/internal/hookdefaults.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace mulberrysail::network {

namespace {

using namespace std::chrono_literals;

constexpr int kSocketThreads = 1;
constexpr int kMaxSockets = 4096;
/** A routing id holds at most 255 bytes; the rest is for its two numbers. */
constexpr std::size_t kMaxNameBytes = 200;
/** Messages read from one socket before the next socket is served. */
constexpr int kReadBatch = 256;
/** Keys of the descriptors that belong to no outgoing connection. Connections
 * have positive ids as keys. */
constexpr DescriptorPoller::Key kListenerKey = 0;
constexpr DescriptorPoller::Key kOutboxKey =
  std::numeric_limits<DescriptorPoller::Key>::max();
/** Delay before the greeting is retried on a new connection that did not accept
 * it. */
constexpr std::chrono::milliseconds kGreetingRetryDelay = 5ms;
constexpr std::chrono::milliseconds kIdleCheckInterval = 60s;
/** Time without a message after which an incoming link is removed. Peers send
 * heartbeats far more often. */
constexpr core::Duration kMaxLinkIdle = 10min;

std::string
RoutingIdPrefix(const core::ProcessId& aSelf)
{
  return aSelf.m_name + "/" + std::to_string(aSelf.m_incarnation.m_value);
}

std::uint16_t
PortOf(const std::string& aUrl)
{
  return static_cast<std::uint16_t>(
    std::stoul(aUrl.substr(aUrl.rfind(':') + 1)));
}

} // namespace

MessageTransport::MessageTransport(const TransportOptions& aOptions,
                                   TransportHooks aHooks)
  : m_options(aOptions)
  , m_hooks(WithDefaults(std::move(aHooks)))
  , m_context(kSocketThreads, kMaxSockets)
  , m_outgoing(m_poller,
               RoutingIdPrefix(m_options.m_self),
               m_options.m_highWaterMark)
{
  m_poller.Add(m_outbox.Descriptor(), kOutboxKey);
  if (!m_options.m_address.empty()) {
    Listen();
  }
  m_thread = std::thread(&MessageTransport::Run, this);
}

MessageTransport::~MessageTransport()
{
  Stop();
}

void
MessageTransport::Listen()
{
  zmq::socket_t listener(m_context, zmq::socket_type::router);
  SetCommonOptions(listener, m_options.m_highWaterMark);
  listener.set(zmq::sockopt::router_mandatory, true);
  listener.set(zmq::sockopt::router_handover, true);
  const std::string port =
    m_options.m_port == 0 ? "*" : std::to_string(m_options.m_port);
  listener.bind("tcp://" + m_options.m_address + ":" + port);
  m_port = PortOf(listener.get(zmq::sockopt::last_endpoint));
  m_poller.Add(listener.get(zmq::sockopt::fd), kListenerKey);
  m_listener = std::move(listener);
  m_listenerMayHaveInput = true;
}

void
MessageTransport::SetPeers(std::vector<PeerAddress> aPeers)
{
  m_outbox.SetPeers(std::move(aPeers));
}

void
MessageTransport::Send(core::ProcessId aTo, core::Message aMessage)
{
  m_outbox.Push({ std::move(aTo), std::move(aMessage) }, m_hooks.m_now());
}

core::Instant
MessageTransport::HandledUntil() const
{
  const core::Instant now = m_hooks.m_now();
  return std::min(
    { now, m_inputHandledUntil.load(), m_outbox.OldestUnsentAt() });
}

TransportCounters
MessageTransport::Counters() const
{
  const std::lock_guard<std::mutex> lock(m_bytesSentByTypeMutex);
  return { m_messagesSent,
           m_messagesReceived,
           m_bytesSent,
           m_bytesReceived,
           m_bytesSentByType };
}

void
MessageTransport::Stop()
{
  m_outbox.RequestStop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
MessageTransport::Run()
{
  while (!m_stopped) {
    try {
      Poll();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        m_hooks.m_onRejected(std::string("transport: ") + error.what());
      }
    }
  }
  m_outgoing.CloseAll();
  m_listener.reset();
  m_context.close();
}

void
MessageTransport::Poll()
{
  WaitForInput();
  HandleInput();
  HandleOutbox();
  // A socket's descriptor signals once for all that has arrived, and sending
  // over the socket may use up that signal.
  HandleInput();
  RemoveIdleLinks();
}

void
MessageTransport::WaitForInput()
{
  const std::chrono::milliseconds timeout = PollTimeout();
  const bool waits = timeout > 0ms;
  if (waits) {
    m_inputHandledUntil = core::kNever;
  }
  for (const DescriptorPoller::Key key : m_poller.Wait(timeout)) {
    MarkReadable(key);
  }
  if (waits) {
    m_inputHandledUntil = m_hooks.m_now();
  }
}

bool
MessageTransport::MayHaveInput() const
{
  return m_listenerMayHaveInput || m_outgoing.AnyMayHaveInput();
}

std::chrono::milliseconds
MessageTransport::PollTimeout()
{
  if (!m_outbox.PrepareToWait() || MayHaveInput()) {
    return 0ms;
  }
  return m_outgoing.AnyGreetingPending() ? kGreetingRetryDelay
                                         : kIdleCheckInterval;
}

void
MessageTransport::MarkReadable(DescriptorPoller::Key aKey)
{
  if (aKey == kListenerKey) {
    m_listenerMayHaveInput = true;
  } else {
    m_outgoing.MarkReadable(aKey);
  }
}

void
MessageTransport::HandleInput()
{
  const core::Instant begin = m_hooks.m_now();
  for (auto& [id, outgoing] : m_outgoing.All()) {
    if (outgoing.m_mayHaveInput || outgoing.m_greetingPending) {
      HandleConnection(id, outgoing);
    }
  }
  if (m_listener && m_listenerMayHaveInput) {
    HandleListener();
  }
  if (!MayHaveInput()) {
    m_inputHandledUntil = begin;
  }
}

void
MessageTransport::HandleOutbox()
{
  MessageOutbox::Contents contents = m_outbox.TakeAll();
  m_stopped = contents.m_stop;
  if (contents.m_peers) {
    ApplyPeers(*contents.m_peers);
  }
  for (OutgoingMessage& message : contents.m_messages) {
    Route(message);
  }
}

void
MessageTransport::ApplyPeers(const std::vector<PeerAddress>& aPeers)
{
  std::set<std::string> wanted;
  for (const PeerAddress& peer : aPeers) {
    wanted.insert(peer.m_url);
  }
  for (const ConnectionId id : m_outgoing.FindUnwanted(wanted)) {
    RemoveLink(OutgoingLink{ id });
    m_outgoing.Close(id);
  }
  for (const std::string& url : wanted) {
    try {
      m_outgoing.Open(m_context, url);
    } catch (const std::exception& error) {
      m_hooks.m_onRejected("cannot connect to peer address " + url + ": " +
                           error.what());
    }
  }
}

void
MessageTransport::HandleConnection(ConnectionId aId, Outgoing& aOutgoing)
{
  HandleConnectionEvents(aId, aOutgoing);
  if (aOutgoing.m_greetingPending) {
    SendGreeting(aOutgoing);
  }
  for (int i = 0; i < kReadBatch; ++i) {
    const std::optional<zmq::message_t> bytes =
      TryReceive(aOutgoing.m_connection->Socket());
    if (!bytes) {
      aOutgoing.m_mayHaveInput = false;
      return;
    }
    HandleBytes(OutgoingLink{ aId }, *bytes);
  }
}

void
MessageTransport::HandleConnectionEvents(ConnectionId aId, Outgoing& aOutgoing)
{
  while (const std::optional<ConnectionEvent> event =
           aOutgoing.m_connection->NextEvent()) {
    aOutgoing.m_greetingPending = *event == ConnectionEvent::Connected;
    if (*event == ConnectionEvent::Disconnected) {
      RemoveLink(OutgoingLink{ aId });
    }
  }
}

void
MessageTransport::SendGreeting(Outgoing& aOutgoing)
{
  const std::string bytes = protocol::EncodeGreeting(MakeHead(), {});
  if (aOutgoing.m_connection->Send(bytes)) {
    m_bytesSent += bytes.size();
    aOutgoing.m_greetingPending = false;
  }
}

void
MessageTransport::HandleListener()
{
  for (int i = 0; i < kReadBatch; ++i) {
    const std::optional<zmq::message_t> routingId = TryReceive(*m_listener);
    if (!routingId) {
      m_listenerMayHaveInput = false;
      return;
    }
    std::vector<zmq::message_t> parts;
    bool more = routingId->more();
    while (more) {
      parts.push_back(std::move(*TryReceive(*m_listener)));
      more = parts.back().more();
    }
    if (parts.size() != 1) {
      m_hooks.m_onRejected("message must have 1 part, received " +
                           std::to_string(parts.size()) + " parts");
      continue;
    }
    HandleBytes(IncomingLink{ routingId->to_string() }, parts.front());
  }
}

void
MessageTransport::HandleBytes(const MessageLink& aLink,
                              const zmq::message_t& aBytes)
{
  m_bytesReceived += aBytes.size();
  core::Result<protocol::DecodedEnvelope> decoded =
    protocol::Decode(aBytes.to_string_view());
  if (!decoded) {
    m_hooks.m_onRejected(decoded.error().m_detail);
    return;
  }
  protocol::DecodedEnvelope& envelope = decoded.value();
  m_hooks.m_mergeStamp(envelope.m_stamp);
  if (const protocol::Greeting* greeting =
        std::get_if<protocol::Greeting>(&envelope.m_body)) {
    HandleGreeting(envelope.m_sender, aLink, *greeting);
    return;
  }
  if (envelope.m_recipient != core::Incarnation{} &&
      envelope.m_recipient != m_options.m_self.m_incarnation) {
    m_hooks.m_onRejected("message from " + envelope.m_sender.m_name +
                         " for another incarnation of this process");
    return;
  }
  UpdateIncomingLink(envelope.m_sender, aLink);
  ++m_messagesReceived;
  m_hooks.m_onMessage({ std::move(envelope.m_sender),
                        std::get<core::Message>(std::move(envelope.m_body)),
                        envelope.m_sentAt });
}

protocol::EnvelopeHeader
MessageTransport::MakeHead() const
{
  return { m_options.m_self, m_hooks.m_stamp(), m_hooks.m_now() };
}

void
MessageTransport::HandleGreeting(const core::ProcessId& aFrom,
                                 const MessageLink& aLink,
                                 const protocol::Greeting& aGreeting)
{
  m_links.RecordReceived(aFrom, aLink, m_hooks.m_now());
  if (!aGreeting.m_reply) {
    const std::string reply =
      protocol::EncodeGreeting(MakeHead(), { .m_reply = true });
    if (!SendOver(aLink, reply)) {
      RemoveLink(aLink);
      return;
    }
  }
  if (*m_links.Find(aFrom) == aLink) {
    m_hooks.m_onLinkOpened(aFrom);
  }
}

void
MessageTransport::UpdateIncomingLink(const core::ProcessId& aFrom,
                                     const MessageLink& aLink)
{
  // A peer on an outgoing connection is identified only by its greeting:
  // messages before the greeting may stem from an earlier connection.
  if (std::holds_alternative<IncomingLink>(aLink) &&
      m_links.RecordReceived(aFrom, aLink, m_hooks.m_now()) &&
      *m_links.Find(aFrom) == aLink) {
    m_hooks.m_onLinkOpened(aFrom);
  }
}

void
MessageTransport::RemoveLink(const MessageLink& aLink)
{
  if (const std::optional<core::ProcessId> switched = m_links.Remove(aLink)) {
    m_hooks.m_onLinkOpened(*switched);
  }
}

void
MessageTransport::RemoveIdleLinks()
{
  const core::Instant now = m_hooks.m_now();
  if (now >= m_nextIdleCheck) {
    m_links.RemoveIdle(now - kMaxLinkIdle);
    m_nextIdleCheck = now + kIdleCheckInterval;
  }
}

void
MessageTransport::Route(OutgoingMessage& aMessage)
{
  const MessageLink* link = m_links.Find(aMessage.m_to);
  if (link != nullptr) {
    const std::string bytes = protocol::Encode(
      MakeHead(), aMessage.m_message, aMessage.m_to.m_incarnation);
    if (SendOver(*link, bytes)) {
      CountSent(aMessage.m_message, bytes.size());
      return;
    }
  }
  m_hooks.m_onSendFailed(std::move(aMessage.m_to),
                         std::move(aMessage.m_message));
}

void
MessageTransport::CountSent(const core::Message& aMessage, std::size_t aBytes)
{
  ++m_messagesSent;
  const std::string_view type = core::MessageTypeName(aMessage);
  const std::lock_guard<std::mutex> lock(m_bytesSentByTypeMutex);
  const auto known = m_bytesSentByType.find(type);
  if (known == m_bytesSentByType.end()) {
    m_bytesSentByType.emplace(type, aBytes);
  } else {
    known->second += aBytes;
  }
}

bool
MessageTransport::SendOver(const MessageLink& aLink, const std::string& aBytes)
{
  bool sent = false;
  try {
    if (const OutgoingLink* outgoing = std::get_if<OutgoingLink>(&aLink)) {
      Outgoing& connection = m_outgoing.At(outgoing->m_connectionId);
      connection.m_mayHaveInput = true;
      sent = connection.m_connection->Send(aBytes);
    } else {
      m_listenerMayHaveInput = true;
      sent = SendIncoming(std::get<IncomingLink>(aLink), aBytes);
    }
  } catch (const zmq::error_t& error) {
    if (error.num() == EHOSTUNREACH) {
      RemoveLink(MessageLink(aLink));
    }
    return false;
  }
  if (sent) {
    m_bytesSent += aBytes.size();
  }
  return sent;
}

bool
MessageTransport::SendIncoming(const IncomingLink& aLink,
                               const std::string& aBytes)
{
  return m_listener->send(zmq::buffer(aLink.m_routingId),
                          zmq::send_flags::dontwait |
                            zmq::send_flags::sndmore) &&
         m_listener->send(zmq::buffer(aBytes), zmq::send_flags::dontwait);
}

core::Result<std::unique_ptr<IMessageTransport>>
StartMessageTransport(const TransportOptions& aOptions, TransportHooks aHooks)
{
  const std::string& name = aOptions.m_self.m_name;
  if (name.empty() || name.size() > kMaxNameBytes) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "process name must have 1 to " +
                        std::to_string(kMaxNameBytes) + " bytes");
  }
  try {
    return std::make_unique<MessageTransport>(aOptions, std::move(aHooks));
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "cannot listen on " + aOptions.m_address + ":" +
                        std::to_string(aOptions.m_port) + ": " + error.what());
  }
}

} // namespace mulberrysail::network
