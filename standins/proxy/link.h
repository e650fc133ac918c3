#pragma once

#include "standins/proxy/connection.h"
#include "standins/proxy/linkfaults.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>

namespace mulberrysail::standins {

/** One listening address whose connections go to one target. */
class Link
{
public:
  /** @throws std::exception if the address is taken. */
  Link(asio::io_context& aContext,
       const asio::ip::tcp::endpoint& aListen,
       asio::ip::tcp::endpoint aTarget,
       std::uint64_t aSeed);

  /** Takes over the fields that are in @p aBody. */
  void Update(const nlohmann::json& aBody);

  nlohmann::json ToJson() const;

private:
  void SetMode(LinkMode aMode);
  void Listen();
  void AcceptNext();
  void Accepted(asio::ip::tcp::socket aSocket);
  void CloseAll();

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::endpoint m_listen;
  asio::ip::tcp::endpoint m_target;
  LinkFaults m_faults;
  std::mt19937_64 m_random;
  std::map<std::uint64_t, std::shared_ptr<Connection>> m_connections;
  std::uint64_t m_accepted = 0;
  std::uint64_t m_bytesOfClosed = 0;
};

} // namespace mulberrysail::standins
