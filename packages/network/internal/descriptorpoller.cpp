#include "network/internal/descriptorpoller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace mulberrysail::network {

namespace {

constexpr std::size_t kMaxEventsPerWait = 64;

} // namespace

DescriptorPoller::DescriptorPoller()
  : m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
  if (m_epoll < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

DescriptorPoller::~DescriptorPoller()
{
  close(m_epoll);
}

void
DescriptorPoller::Add(int aDescriptor, Key aKey)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = aKey;
  if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, aDescriptor, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void
DescriptorPoller::Remove(int aDescriptor)
{
  epoll_event unused{};
  static_cast<void>(epoll_ctl(m_epoll, EPOLL_CTL_DEL, aDescriptor, &unused));
}

std::vector<DescriptorPoller::Key>
DescriptorPoller::Wait(std::chrono::milliseconds aTimeout)
{
  std::array<epoll_event, kMaxEventsPerWait> events{};
  const int count = epoll_wait(m_epoll,
                               events.data(),
                               static_cast<int>(events.size()),
                               static_cast<int>(aTimeout.count()));
  const std::size_t readable = static_cast<std::size_t>(std::max(count, 0));
  std::vector<Key> keys;
  keys.reserve(readable);
  for (std::size_t i = 0; i < readable; ++i) {
    keys.push_back(events.at(i).data.u64);
  }
  return keys;
}

} // namespace mulberrysail::network
