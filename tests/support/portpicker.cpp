#include "support/portpicker.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace mulberrysail::testsupport {

namespace {

[[noreturn]] void
ThrowLastError(const char* aWhat)
{
  throw std::system_error(errno, std::generic_category(), aWhat);
}

/** @return an address in 127.64.0.0/10 that no other process has: process
 * numbers have 22 bits. */
std::string
AddressOfProcess()
{
  constexpr std::uint32_t kFirst = 0x7F400000;
  constexpr std::uint32_t kBits = 0x003FFFFF;
  const std::uint32_t number =
    kFirst | (static_cast<std::uint32_t>(getpid()) & kBits);
  const in_addr address{ htonl(number) };
  std::string text(INET_ADDRSTRLEN, '\0');
  inet_ntop(AF_INET, &address, text.data(), INET_ADDRSTRLEN);
  return text.c_str();
}

std::uint16_t
PortChosenBySystem(const std::string& aAddress)
{
  const int socketId = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socketId < 0) {
    ThrowLastError("socket");
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
  const bool bound = bind(socketId, generic, size) == 0 &&
                     getsockname(socketId, generic, &size) == 0;
  close(socketId);
  if (!bound) {
    ThrowLastError("bind");
  }
  return ntohs(address.sin_port);
}

} // namespace

PortPicker::PortPicker()
  : m_address(AddressOfProcess())
{
}

std::uint16_t
PortPicker::Pick()
{
  std::uint16_t port = PortChosenBySystem(m_address);
  while (!m_picked.insert(port).second) {
    port = PortChosenBySystem(m_address);
  }
  return port;
}

} // namespace mulberrysail::testsupport
