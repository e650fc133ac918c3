#include "standins/proxy/connection.h"

#include <asio/post.hpp>

#include <utility>

namespace mulberrysail::standins {

namespace {

constexpr int kPumps = 2;

void
SetNoDelay(asio::ip::tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

} // namespace

Connection::Connection(asio::ip::tcp::socket aCaller,
                       const LinkFaults& aFaults,
                       std::mt19937_64& aRandom,
                       std::function<void()> aOnClosed)
  : m_caller(std::move(aCaller))
  , m_target(m_caller.get_executor())
  , m_faults(aFaults)
  , m_random(aRandom)
  , m_onClosed(std::move(aOnClosed))
{
}

void
Connection::Start(const asio::ip::tcp::endpoint& aTarget)
{
  m_target.async_connect(aTarget,
                         [self = shared_from_this()](asio::error_code aError) {
                           if (self->m_closed) {
                             return;
                           }
                           if (aError) {
                             self->Close();
                             return;
                           }
                           self->StartPumps();
                         });
}

void
Connection::StartPumps()
{
  SetNoDelay(m_caller);
  SetNoDelay(m_target);
  m_toTarget = MakePump(Direction::ToTarget);
  m_fromTarget = MakePump(Direction::FromTarget);
  m_toTarget->Start();
  m_fromTarget->Start();
}

std::shared_ptr<Pump>
Connection::MakePump(Direction aDirection)
{
  const bool toTarget = aDirection == Direction::ToTarget;
  // The pumps keep the connection, and with it the sockets, alive.
  const std::shared_ptr<Connection> self = shared_from_this();
  return std::make_shared<Pump>(
    Pump::Wiring{ aDirection,
                  toTarget ? m_caller : m_target,
                  toTarget ? m_target : m_caller,
                  m_faults,
                  m_random,
                  [self] { self->Close(); },
                  [self] { self->PumpFinished(); } });
}

void
Connection::ModeChanged()
{
  if (m_toTarget == nullptr || m_closed) {
    return;
  }
  const bool damaged = m_toTarget->Damaged() || m_fromTarget->Damaged();
  if (damaged && m_faults.m_mode == LinkMode::Pass) {
    Close();
    return;
  }
  m_toTarget->ModeChanged();
  m_fromTarget->ModeChanged();
}

void
Connection::PumpFinished()
{
  if (++m_pumpsFinished == kPumps) {
    Close();
  }
}

void
Connection::Close()
{
  if (std::exchange(m_closed, true)) {
    return;
  }
  const std::shared_ptr<Connection> self = shared_from_this();
  asio::error_code ignored;
  m_caller.close(ignored);
  m_target.close(ignored);
  for (const std::shared_ptr<Pump>& pump : { m_toTarget, m_fromTarget }) {
    if (pump != nullptr) {
      pump->Stop();
      // This may have been called from one of its hooks.
      asio::post(m_caller.get_executor(), [pump] { pump->Release(); });
    }
  }
  m_onClosed();
}

std::uint64_t
Connection::BytesMoved() const
{
  if (m_toTarget == nullptr) {
    return 0;
  }
  return m_toTarget->BytesMoved() + m_fromTarget->BytesMoved();
}

} // namespace mulberrysail::standins
