#pragma once

#include "standins/proxy/linkfaults.h"
#include "standins/proxy/pump.h"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>

namespace mulberrysail::standins {

/** One connection through a link: a socket on each side and two pumps. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  /** @param aOnClosed called once, when the connection is over. */
  Connection(asio::ip::tcp::socket aCaller,
             const LinkFaults& aFaults,
             std::mt19937_64& aRandom,
             std::function<void()> aOnClosed);

  /** Connects to the target and begins to move bytes. */
  void Start(const asio::ip::tcp::endpoint& aTarget);

  void ModeChanged();

  void Close();

  std::uint64_t BytesMoved() const;

private:
  void StartPumps();
  std::shared_ptr<Pump> MakePump(Direction aDirection);
  void PumpFinished();

  asio::ip::tcp::socket m_caller;
  asio::ip::tcp::socket m_target;
  const LinkFaults& m_faults;
  std::mt19937_64& m_random;
  std::function<void()> m_onClosed;
  std::shared_ptr<Pump> m_toTarget;
  std::shared_ptr<Pump> m_fromTarget;
  int m_pumpsFinished = 0;
  bool m_closed = false;
};

} // namespace mulberrysail::standins
