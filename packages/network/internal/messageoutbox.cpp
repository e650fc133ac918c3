#include "network/internal/messageoutbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

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
MessageOutbox::Push(OutgoingMessage aMessage)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_messages.push_back(std::move(aMessage));
  if (m_contents.m_messages.size() == 1) {
    Wake();
  }
}

void
MessageOutbox::SetPeers(std::vector<PeerAddress> aPeers)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_peers = std::move(aPeers);
  Wake();
}

void
MessageOutbox::RequestStop()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_stop = true;
  Wake();
}

MessageOutbox::Contents
MessageOutbox::TakeAll()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  eventfd_t count = 0;
  static_cast<void>(eventfd_read(m_descriptor, &count));
  return std::exchange(m_contents, {});
}

void
MessageOutbox::Wake() const
{
  static_cast<void>(eventfd_write(m_descriptor, 1));
}

} // namespace mulberrysail::network
