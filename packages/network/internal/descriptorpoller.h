#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace mulberrysail::network {

/** Waits for readable file descriptors through epoll. The cost of a wait grows
 * with the number of descriptors that are readable, not with the number that
 * are watched. For one thread. */
class DescriptorPoller
{
public:
  /** Value that identifies a watched descriptor to the caller. */
  using Key = std::uint64_t;

  /** Throws std::system_error if the kernel has no descriptor left. */
  DescriptorPoller();
  ~DescriptorPoller();
  DescriptorPoller(const DescriptorPoller&) = delete;
  DescriptorPoller& operator=(const DescriptorPoller&) = delete;

  /** Watches a descriptor until it is removed or closed. Throws
   * std::system_error if it cannot be watched. */
  void Add(int aDescriptor, Key aKey);
  void Remove(int aDescriptor);

  /** @param aTimeout time to wait if no descriptor is readable.
   * @return the keys of readable descriptors, at most 64 of them; the others
   * are returned by the next calls. Empty after the timeout or a signal. */
  std::vector<Key> Wait(std::chrono::milliseconds aTimeout);

private:
  const int m_epoll;
};

} // namespace mulberrysail::network
