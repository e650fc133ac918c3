#pragma once

#include "network/ihttpclient.h"
#include "network/ihttpserver.h"
#include "standins/common/departure.h"
#include "standins/common/eventloop.h"
#include "standins/common/runhost.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace mulberrysail::standins {

struct EndpointOptions
{
  /** http://IP:port of the agent beside it. */
  std::string m_agentUrl;
  std::string m_service;
  std::uint32_t m_slots = 8;
  std::uint32_t m_connections = 64;
  /** Where agents reach it. */
  std::string m_ownUrl;
  std::chrono::milliseconds m_announcePeriod{ 1000 };
  std::string m_journalPath;
  /** Run times are multiplied by this. */
  double m_speed = 1.0;
};

/** Runs requests in a bounded number of slots, the rest in a FIFO queue. Used
 * from the loop's thread. */
class Endpoint
{
public:
  Endpoint(EventLoop& aLoop,
           network::IHttpClient& aClient,
           EndpointOptions aOptions);

  /** Announces itself now and each period. */
  void Start();

  /** Says that it leaves, ends what is open, then quits the loop. */
  void Leave();

  void Handle(network::HttpRequest aRequest, network::HttpResponder aResponder);

private:
  struct Run
  {
    std::string m_id;
    std::string m_body;
    Payload m_payload;
    network::HttpResponder m_responder;
  };

  void Accept(network::HttpRequest aRequest, network::HttpResponder aResponder);
  void FillSlots();
  void StartRun(const std::shared_ptr<Run>& aRun);
  void EndRun(const Run& aRun);
  void AnnounceEachPeriod();
  void Announce();
  bool Leaving() const;

  EventLoop& m_loop;
  network::IHttpClient& m_client;
  EndpointOptions m_options;
  RunHost m_host;
  Departure m_departure;
  std::deque<std::shared_ptr<Run>> m_waiting;
  std::uint32_t m_open = 0;
  std::uint32_t m_running = 0;
};

} // namespace mulberrysail::standins
