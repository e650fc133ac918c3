#pragma once

#include "core/iagent.h"
#include "core/ientry.h"
#include "network/ihttpclient.h"
#include "network/imessagetransport.h"
#include "telemetry/ieventlog.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::daemon {

/** A core that records events and issues the commands that the test's handler
 * chooses. */
class FakeEntry : public core::IEntry
{
public:
  using EventHandler =
    std::function<void(core::EntryEvent&, core::EntryCommands&)>;

  void Handle(core::Instant /*aNow*/,
              core::EntryEvent aEvent,
              core::EntryCommands& aCommands) override
  {
    if (m_onEvent) {
      m_onEvent(aEvent, aCommands);
    }
    m_events.push_back(std::move(aEvent));
  }
  core::Instant NextWake() const override { return m_nextWake; }
  bool Idle() const override { return true; }
  std::optional<core::SubmissionStatus> Status(
    core::SubmissionId aSubmission) const override
  {
    return m_status && m_status->m_submission == aSubmission ? m_status
                                                             : std::nullopt;
  }
  std::optional<core::SubmissionStatus> Find(
    const std::string& /*aName*/) const override
  {
    return m_status;
  }
  std::size_t PendingJobs(std::string_view /*aQueue*/) const override
  {
    return 0;
  }
  std::vector<core::AgentStatus> Agents() const override { return m_agents; }
  const core::ZoneDrains& Drains() const override { return m_drains; }
  core::EntryCounters Counters() const override { return {}; }

  /** @return the recorded events of type @p Event, oldest first. */
  template<typename Event>
  std::vector<Event> EventsOfType() const
  {
    std::vector<Event> matches;
    for (const core::EntryEvent& event : m_events) {
      if (std::holds_alternative<Event>(event)) {
        matches.push_back(std::get<Event>(event));
      }
    }
    return matches;
  }

  EventHandler m_onEvent;
  std::vector<core::EntryEvent> m_events;
  std::optional<core::SubmissionStatus> m_status;
  std::vector<core::AgentStatus> m_agents;
  core::ZoneDrains m_drains;
  core::Instant m_nextWake = core::kNever;
};

/** Records the messages sent. */
class FakeTransport : public network::IMessageTransport
{
public:
  using Sent = std::vector<std::pair<core::ProcessId, core::Message>>;

  explicit FakeTransport(Sent& aSent)
    : m_sent(aSent)
  {
  }
  std::uint16_t Port() const override { return 0; }
  void SetPeers(std::vector<network::PeerAddress> /*aPeers*/) override {}
  void Send(core::ProcessId aTo, core::Message aMessage) override
  {
    m_sent.emplace_back(std::move(aTo), std::move(aMessage));
  }
  core::Instant HandledUntil() const override { return core::kNever; }
  network::TransportCounters Counters() const override { return {}; }
  void Stop() override {}

private:
  Sent& m_sent;
};

/** Stores all events; its stamps are consecutive numbers. */
class FakeEventLog : public telemetry::IEventLog
{
public:
  using telemetry::IEventLog::Record;
  void Record(core::RecordEvent aEvent) override
  {
    telemetry::TimelineEvent event;
    event.m_stamp = ++m_stamp;
    event.m_code = aEvent.m_code;
    event.m_subject = aEvent.m_subject;
    event.m_detail = aEvent.m_detail.Text();
    event.m_id = std::move(aEvent.m_id);
    m_events.push_back(std::move(event));
  }
  std::uint64_t Stamp() override { return ++m_stamp; }
  void Merge(std::uint64_t /*aStamp*/) override {}
  std::vector<telemetry::TimelineEvent> Events(
    std::uint64_t /*aSince*/) const override
  {
    return m_events;
  }
  telemetry::LogCounters Log() const override { return {}; }
  telemetry::EventCounts Counts() const override
  {
    telemetry::EventCounts counts;
    for (const telemetry::TimelineEvent& event : m_events) {
      ++counts[event.m_code];
    }
    return counts;
  }

private:
  std::uint64_t m_stamp = 0;
  std::vector<telemetry::TimelineEvent> m_events;
};

/** Stores calls, so that the test can invoke their callbacks. */
class FakeHttpClient : public network::IHttpClient
{
public:
  struct PendingCall
  {
    network::HttpCall m_call;
    network::HttpCallback m_callback;
  };

  void Call(network::HttpCall aCall, network::HttpCallback aCallback) override
  {
    m_pendingCalls.push_back({ std::move(aCall), std::move(aCallback) });
  }
  void Stream(network::HttpCall /*aCall*/,
              network::HttpChunkHandler /*aOnChunk*/,
              network::HttpCallback /*aCallback*/) override
  {
  }
  void Stop() override {}

  std::vector<PendingCall> m_pendingCalls;
};

} // namespace mulberrysail::daemon
