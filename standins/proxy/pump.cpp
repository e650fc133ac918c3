#include "standins/proxy/pump.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace mulberrysail::standins {

Pump::Pump(Wiring aWiring)
  : m_wiring(std::move(aWiring))
  , m_timer(m_wiring.m_from.get_executor())
{
}

void
Pump::ModeChanged()
{
  Read();
  WriteNext();
}

void
Pump::Stop()
{
  m_stopped = true;
  m_timer.cancel();
}

void
Pump::Release()
{
  m_wiring.m_abort = nullptr;
  m_wiring.m_finished = nullptr;
}

void
Pump::Read()
{
  if (m_stopped || m_reading || m_ended || Frozen() ||
      m_parts.size() >= kMaxQueuedParts) {
    return;
  }
  m_reading = true;
  m_wiring.m_from.async_read_some(
    asio::buffer(m_buffer),
    [self = shared_from_this()](asio::error_code aError, std::size_t aSize) {
      self->m_reading = false;
      self->OnRead(aError, aSize);
    });
}

void
Pump::OnRead(const asio::error_code& aError, std::size_t aSize)
{
  if (m_stopped) {
    return;
  }
  if (aError) {
    m_ended = true;
    Take({});
    return;
  }
  Take(std::string(m_buffer.data(), aSize));
  Read();
}

void
Pump::Take(std::string aBytes)
{
  const LinkFaults& faults = m_wiring.m_faults;
  if (faults.m_mode == LinkMode::DropReply &&
      m_wiring.m_direction == Direction::FromTarget) {
    m_wiring.m_abort();
    return;
  }
  if (faults.Drops(m_wiring.m_direction)) {
    m_damaged = true;
    return;
  }
  m_parts.push_back({ DueTime(), std::move(aBytes) });
  WriteNext();
}

Micros
Pump::DueTime()
{
  const LinkFaults& faults = m_wiring.m_faults;
  std::uniform_int_distribution<Micros::rep> jitter(0, faults.m_jitter.count());
  const Micros due =
    MonotonicNow() + faults.m_delay + Micros(jitter(m_wiring.m_random));
  m_lastDue = std::max(m_lastDue, due);
  return m_lastDue;
}

void
Pump::WriteNext()
{
  if (m_stopped || m_writing || m_parts.empty() || Frozen()) {
    return;
  }
  const Micros due = m_parts.front().m_due;
  if (due > MonotonicNow()) {
    WaitUntil(due);
    return;
  }
  const std::shared_ptr<const Part> part =
    std::make_shared<const Part>(std::move(m_parts.front()));
  m_parts.pop_front();
  if (part->m_bytes.empty()) {
    EndStream();
    return;
  }
  Write(part);
}

void
Pump::WaitUntil(Micros aDue)
{
  m_timer.expires_after(aDue - MonotonicNow());
  m_timer.async_wait([self = shared_from_this()](asio::error_code aError) {
    if (!aError) {
      self->WriteNext();
    }
  });
}

void
Pump::Write(const std::shared_ptr<const Part>& aPart)
{
  m_writing = true;
  asio::async_write(m_wiring.m_to,
                    asio::buffer(aPart->m_bytes),
                    [self = shared_from_this(), aPart](asio::error_code aError,
                                                       std::size_t aSize) {
                      self->m_writing = false;
                      self->m_bytesMoved += aSize;
                      if (self->m_stopped) {
                        return;
                      }
                      if (aError) {
                        self->m_wiring.m_abort();
                        return;
                      }
                      self->Read();
                      self->WriteNext();
                    });
}

void
Pump::EndStream()
{
  asio::error_code ignored;
  m_wiring.m_to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_wiring.m_finished();
}

} // namespace mulberrysail::standins
