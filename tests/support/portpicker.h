#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace mulberrysail::testsupport {

/** Picks addresses for servers that are started later. They are on a loopback
 * address of this process's own, which no outgoing connection uses, so a port
 * stays free until its server takes it. */
class PortPicker
{
public:
  PortPicker();

  /** @return the loopback address, as 127.x.y.z. */
  const std::string& Address() const { return m_address; }

  /** @return a free port, another one each time.
   * @throws std::system_error if there is none. */
  std::uint16_t Pick();

private:
  std::string m_address;
  std::set<std::uint16_t> m_picked;
};

} // namespace mulberrysail::testsupport
