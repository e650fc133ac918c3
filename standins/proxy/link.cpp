#include "standins/proxy/link.h"

#include "standins/common/jsonhttp.h"

#include <utility>

namespace mulberrysail::standins {

namespace {

Micros
MillisecondsField(const nlohmann::json& aBody, const char* aName, Micros aOld)
{
  if (!aBody.contains(aName)) {
    return aOld;
  }
  return std::chrono::milliseconds(IntegerField(aBody, aName));
}

std::int64_t
ToMilliseconds(Micros aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

Link::Link(asio::io_context& aContext,
           const asio::ip::tcp::endpoint& aListen,
           asio::ip::tcp::endpoint aTarget,
           std::uint64_t aSeed)
  : m_acceptor(aContext)
  , m_listen(aListen)
  , m_target(std::move(aTarget))
  , m_random(aSeed)
{
  Listen();
  // Keeps a port that the system chose, for when it listens again.
  m_listen = m_acceptor.local_endpoint();
}

void
Link::Update(const nlohmann::json& aBody)
{
  m_faults.m_delay = MillisecondsField(aBody, "delay_ms", m_faults.m_delay);
  m_faults.m_jitter = MillisecondsField(aBody, "jitter_ms", m_faults.m_jitter);
  if (aBody.contains("mode")) {
    SetMode(LinkModeByName(aBody["mode"].get<std::string>()));
  }
}

nlohmann::json
Link::ToJson() const
{
  std::uint64_t bytes = m_bytesOfClosed;
  for (const auto& [id, connection] : m_connections) {
    bytes += connection->BytesMoved();
  }
  const std::size_t mode = static_cast<std::size_t>(m_faults.m_mode);
  return { { "port", m_listen.port() },
           { "target_port", m_target.port() },
           { "mode", kLinkModeNames.at(mode) },
           { "delay_ms", ToMilliseconds(m_faults.m_delay) },
           { "jitter_ms", ToMilliseconds(m_faults.m_jitter) },
           { "open", m_connections.size() },
           { "accepted", m_accepted },
           { "bytes", bytes } };
}

void
Link::SetMode(LinkMode aMode)
{
  m_faults.m_mode = aMode;
  if (!m_faults.Accepts() && m_acceptor.is_open()) {
    m_acceptor.close();
  }
  if (m_faults.Accepts() && !m_acceptor.is_open()) {
    Listen();
  }
  if (aMode == LinkMode::Cut) {
    CloseAll();
    return;
  }
  const std::map<std::uint64_t, std::shared_ptr<Connection>> connections =
    m_connections;
  for (const auto& [id, connection] : connections) {
    connection->ModeChanged();
  }
}

void
Link::Listen()
{
  m_acceptor.open(m_listen.protocol());
  m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  m_acceptor.bind(m_listen);
  m_acceptor.listen();
  AcceptNext();
}

void
Link::AcceptNext()
{
  m_acceptor.async_accept(
    [this](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (!aError) {
        Accepted(std::move(aSocket));
      }
      // A closed acceptor reports an error; Listen() begins anew.
      if (aError != asio::error::operation_aborted) {
        AcceptNext();
      }
    });
}

void
Link::Accepted(asio::ip::tcp::socket aSocket)
{
  if (!m_faults.Accepts()) {
    return;
  }
  const std::uint64_t id = ++m_accepted;
  const std::shared_ptr<Connection> connection = std::make_shared<Connection>(
    std::move(aSocket), m_faults, m_random, [this, id] {
      m_bytesOfClosed += m_connections.at(id)->BytesMoved();
      m_connections.erase(id);
    });
  m_connections.emplace(id, connection);
  connection->Start(m_target);
}

void
Link::CloseAll()
{
  while (!m_connections.empty()) {
    const std::shared_ptr<Connection> connection =
      m_connections.begin()->second;
    connection->Close();
  }
}

} // namespace mulberrysail::standins
