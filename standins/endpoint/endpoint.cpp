#include "standins/endpoint/endpoint.h"

#include "standins/common/jsonhttp.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::standins {

namespace {

constexpr std::chrono::milliseconds kMinAnnounceTimeout{ 500 };

} // namespace

Endpoint::Endpoint(EventLoop& aLoop,
                   network::IHttpClient& aClient,
                   EndpointOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_options(std::move(aOptions))
  , m_host(m_options.m_journalPath, m_options.m_speed, [this] { Announce(); })
  , m_departure(aLoop, [this] { return m_open == 0; })
{
}

void
Endpoint::Start()
{
  AnnounceEachPeriod();
}

void
Endpoint::Leave()
{
  m_departure.Begin();
  Announce();
}

void
Endpoint::Handle(network::HttpRequest aRequest,
                 network::HttpResponder aResponder)
{
  if (m_host.HandleCommon(aRequest, aResponder)) {
    return;
  }
  if (aRequest.m_path != "/v1/run" || aRequest.m_method != "POST") {
    aResponder(ErrorResponse(404, "no such call"));
    return;
  }
  Accept(std::move(aRequest), std::move(aResponder));
}

void
Endpoint::Accept(network::HttpRequest aRequest,
                 network::HttpResponder aResponder)
{
  if (m_open >= m_options.m_connections) {
    aResponder(ErrorResponse(503, "all connections are in use"));
    return;
  }
  const std::shared_ptr<Run> run = std::make_shared<Run>();
  run->m_id = aRequest.m_headers["x-run"];
  run->m_payload = ParsePayload(aRequest.m_body);
  run->m_body = std::move(aRequest.m_body);
  run->m_responder = std::move(aResponder);
  ++m_open;
  m_waiting.push_back(run);
  FillSlots();
}

void
Endpoint::FillSlots()
{
  while (m_running < m_options.m_slots && !m_waiting.empty()) {
    const std::shared_ptr<Run> run = m_waiting.front();
    m_waiting.pop_front();
    StartRun(run);
  }
}

void
Endpoint::StartRun(const std::shared_ptr<Run>& aRun)
{
  ++m_running;
  m_host.Record({ "start", aRun->m_id, aRun->m_payload.m_id });
  m_loop.After(m_host.RunTime(aRun->m_payload),
               [this, run = aRun] { EndRun(*run); });
}

void
Endpoint::EndRun(const Run& aRun)
{
  --m_running;
  --m_open;
  const bool fails = m_host.Fails(aRun.m_payload);
  m_host.Record({ fails ? "fail" : "end", aRun.m_id, aRun.m_payload.m_id });
  m_host.Answer(aRun.m_responder,
                fails ? ErrorResponse(500, "told to fail")
                      : TextResponse(aRun.m_body));
  FillSlots();
}

void
Endpoint::AnnounceEachPeriod()
{
  Announce();
  m_loop.After(m_options.m_announcePeriod, [this] { AnnounceEachPeriod(); });
}

void
Endpoint::Announce()
{
  const nlohmann::json body = { { "service", m_options.m_service },
                                { "slots", m_options.m_slots },
                                { "connections", m_options.m_connections },
                                { "url", m_options.m_ownUrl },
                                { "leaving", Leaving() } };
  network::HttpCall call;
  call.m_url = m_options.m_agentUrl + "/v1/endpoint";
  call.m_headers["Content-Type"] = "application/json";
  call.m_body = body.dump();
  call.m_timeout = std::max(m_options.m_announcePeriod, kMinAnnounceTimeout);
  const bool departing = m_departure.Begun();
  m_client.Call(std::move(call),
                [this, departing](const network::HttpOutcome& aOutcome) {
                  if (departing && aOutcome.m_status == 200) {
                    m_loop.Post([this] { m_departure.Acknowledged(); });
                  }
                });
}

bool
Endpoint::Leaving() const
{
  return m_departure.Begun() || m_host.Control().m_leaving;
}

} // namespace mulberrysail::standins
