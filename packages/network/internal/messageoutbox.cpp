#include "network/internal/messageoutbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>
#include <utility>

namespace mulberrysail::network {

MessageOutbox::MessageOutbox()
  : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  if (m_descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

MessageOutbox::~MessageOutbox()
{
  close(m_descriptor);
}

void
MessageOutbox::Push(OutgoingMessage aMessage, core::Instant aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_oldestAt = std::min(m_contents.m_oldestAt, aNow);
  m_contents.m_messages.push_back(std::move(aMessage));
  WakeReader();
}

void
MessageOutbox::SetPeers(std::vector<PeerAddress> aPeers)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_peers = std::move(aPeers);
  WakeReader();
}

void
MessageOutbox::RequestStop()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_stop = true;
  WakeReader();
}

bool
MessageOutbox::PrepareToWait()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_readerWaits =
    m_contents.m_messages.empty() && !m_contents.m_peers && !m_contents.m_stop;
  m_oldestTakenAt = core::kNever;
  return m_readerWaits;
}

MessageOutbox::Contents
MessageOutbox::TakeAll()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_readerWaits = false;
  if (std::exchange(m_wakeIsPending, false)) {
    eventfd_t count = 0;
    static_cast<void>(eventfd_read(m_descriptor, &count));
  }
  m_oldestTakenAt = m_contents.m_oldestAt;
  return std::exchange(m_contents, {});
}

core::Instant
MessageOutbox::OldestUnsentAt() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return std::min(m_oldestTakenAt, m_contents.m_oldestAt);
}

void
MessageOutbox::WakeReader()
{
  if (std::exchange(m_readerWaits, false)) {
    m_wakeIsPending = true;
    static_cast<void>(eventfd_write(m_descriptor, 1));
  }
}

} // namespace mulberrysail::network
