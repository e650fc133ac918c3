#include "core/tests/forwardfixture.h"

#include "core/tests/queuefixture.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::uint32_t kTicksPerSample = 20;
/** Enough for the delay after which a new entry accepts jobs. */
constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr std::size_t kMaxTries = 50;
constexpr Resources kLarge{ 1600000, 3276800, 0 };

} // namespace

EntryPolicy
ForwardFixture::Policy()
{
  EntryPolicy policy = QueuePolicy();
  policy.m_forwardJobs = true;
  policy.m_processorShare = 0.5;
  return policy;
}

ForwardFixture::ForwardFixture(std::size_t aEntries, const EntryPolicy& aPolicy)
  : m_nodes(aEntries)
{
  for (std::size_t i = 0; i < aEntries; ++i) {
    m_nodes[i].m_id = { "entry" + std::to_string(i), { 1 } };
    m_nodes[i].m_policy = aPolicy;
    Boot(i);
  }
  ListEntries();
  Advance(kSettleTime);
}

void
ForwardFixture::Boot(std::size_t aEntry)
{
  Node& node = m_nodes.at(aEntry);
  node.m_alive = true;
  node.m_core = MakeEntry(node.m_id, 0, node.m_policy, 7 + aEntry);
  Handle(aEntry,
         ConfigChanged{ ParseConfiguration({ 2 }, kQueueDocument).value(),
                        kQueueDocument });
  Announce(aEntry);
}

void
ForwardFixture::Announce(std::size_t aEntry)
{
  core::Announce announce;
  announce.m_leaseFor = std::chrono::hours(1);
  announce.m_load.m_sequence = ++m_loadSequence;
  announce.m_load.m_reportedAt = m_now;
  announce.m_workers.push_back({ "worker", "rack", kLarge, false });
  announce.m_load.m_freeCapacity = kLarge;
  Handle(aEntry,
         MessageReceived{ { "agent" + std::to_string(aEntry), { 1 } },
                          std::move(announce) });
}

void
ForwardFixture::Advance(Duration aBy)
{
  const Instant end = m_now + aBy;
  while (m_now < end) {
    m_now += kTick;
    const bool sample = ++m_ticks % kTicksPerSample == 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Node& node = m_nodes[i];
      if (!node.m_alive || node.m_stopped) {
        continue;
      }
      if (node.m_core->NextWake() <= m_now) {
        Handle(i, TimerFired{});
      }
      if (sample) {
        Handle(i, ProcessorSampled{ node.m_used, {} });
      }
    }
  }
}

void
ForwardFixture::Handle(std::size_t aEntry, EntryEvent aEvent)
{
  Run(aEntry, std::move(aEvent));
  Pump();
}

void
ForwardFixture::Run(std::size_t aEntry, EntryEvent aEvent)
{
  Node& node = m_nodes.at(aEntry);
  if (!node.m_alive) {
    return;
  }
  if (node.m_stopped) {
    node.m_inbox.push_back(std::move(aEvent));
    return;
  }
  EntryCommands commands;
  node.m_core->Handle(m_now, std::move(aEvent), commands);
  for (EntryCommand& command : commands) {
    if (SendMessage* send = std::get_if<SendMessage>(&command)) {
      Route(aEntry, std::move(*send));
    } else if (AnswerCaller* answer = std::get_if<AnswerCaller>(&command)) {
      node.m_answers.emplace_back(answer->m_caller,
                                  std::move(answer->m_answer));
    } else if (RecordEvent* record = std::get_if<RecordEvent>(&command)) {
      ++node.m_events[record->m_code];
    }
  }
}

void
ForwardFixture::Route(std::size_t aFrom, SendMessage aSend)
{
  Node& from = m_nodes.at(aFrom);
  const std::optional<std::size_t> to = IndexOf(aSend.m_to.m_name);
  if (!to) {
    if (OfferBatch* batch = std::get_if<OfferBatch>(&aSend.m_message)) {
      for (Offer& offer : batch->m_offers) {
        from.m_offers.emplace_back(aSend.m_to, std::move(offer));
      }
    }
    if (RevokeBatch* batch = std::get_if<RevokeBatch>(&aSend.m_message)) {
      from.m_revoked.insert(batch->m_attempts.begin(), batch->m_attempts.end());
    }
    if (std::holds_alternative<EntryHello>(aSend.m_message)) {
      ReportBatch answer;
      answer.m_load.m_sequence = ++m_loadSequence;
      answer.m_load.m_reportedAt = m_now;
      answer.m_load.m_freeCapacity = kLarge;
      m_inFlight.push_back(
        { aFrom, aFrom, from.m_id, { aSend.m_to, std::move(answer), m_now } });
    }
    return;
  }
  if (const ForwardJob* job = std::get_if<ForwardJob>(&aSend.m_message)) {
    m_lastForward = *job;
  }
  InFlight sent{
    aFrom, *to, aSend.m_to, { from.m_id, std::move(aSend.m_message), m_now }
  };
  switch (m_links[{ aFrom, *to }]) {
    case Link::Open:
      m_inFlight.push_back(std::move(sent));
      return;
    case Link::Held:
      m_held.push_back(std::move(sent));
      return;
    case Link::NotSent:
      m_failed.emplace_back(
        aFrom, SendFailed{ aSend.m_to, std::move(sent.m_event.m_message) });
      return;
    case Link::Lost:
      return;
  }
}

void
ForwardFixture::Pump()
{
  while (!m_inFlight.empty() || !m_failed.empty()) {
    if (!m_failed.empty()) {
      auto [entry, failed] = std::move(m_failed.front());
      m_failed.pop_front();
      Run(entry, std::move(failed));
      continue;
    }
    InFlight next = std::move(m_inFlight.front());
    m_inFlight.pop_front();
    if (m_nodes.at(next.m_to).m_id == next.m_receiver) {
      Run(next.m_to, std::move(next.m_event));
    }
  }
}

std::optional<std::size_t>
ForwardFixture::IndexOf(const std::string& aName) const
{
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i].m_id.m_name == aName) {
      return i;
    }
  }
  return std::nullopt;
}

void
ForwardFixture::SetLink(std::size_t aFrom, std::size_t aTo, Link aLink)
{
  m_links[{ aFrom, aTo }] = aLink;
  if (aLink != Link::Open) {
    return;
  }
  std::vector<InFlight> held;
  held.swap(m_held);
  for (InFlight& message : held) {
    if (message.m_from == aFrom && message.m_to == aTo) {
      m_inFlight.push_back(std::move(message));
    } else {
      m_held.push_back(std::move(message));
    }
  }
  Pump();
}

void
ForwardFixture::ResetLink(std::size_t aLeft, std::size_t aRight)
{
  Handle(aLeft, LinkReset{ m_nodes.at(aRight).m_id });
  Handle(aRight, LinkReset{ m_nodes.at(aLeft).m_id });
}

void
ForwardFixture::Continue(std::size_t aEntry)
{
  Node& node = m_nodes.at(aEntry);
  node.m_stopped = false;
  std::deque<EntryEvent> inbox;
  inbox.swap(node.m_inbox);
  for (EntryEvent& event : inbox) {
    Handle(aEntry, std::move(event));
  }
}

void
ForwardFixture::Restart(std::size_t aEntry)
{
  ++m_nodes.at(aEntry).m_id.m_incarnation.m_value;
  Boot(aEntry);
  ListEntries();
}

void
ForwardFixture::ListEntries()
{
  PeersChanged peers;
  for (const Node& node : m_nodes) {
    if (node.m_alive) {
      peers.m_entries.push_back(node.m_id);
    }
  }
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Handle(i, peers);
  }
}

void
ForwardFixture::MakeBusy(std::size_t aEntry)
{
  m_nodes.at(aEntry).m_used = 1;
  Advance(std::chrono::seconds(2));
}

CallerToken
ForwardFixture::Submit(std::size_t aEntry,
                       const std::string& aName,
                       const std::string& aQueue)
{
  SubmitJob job;
  job.m_caller = { ++m_lastCaller };
  job.m_queue = aQueue;
  job.m_team = "b";
  job.m_name = m_namesJobs ? aName : std::string();
  job.m_deadline = std::chrono::seconds(5);
  TaskSpec task;
  task.m_need = kTaskNeed;
  task.m_declaredRun = std::chrono::milliseconds(100);
  task.m_payload = "payload of " + aName;
  task.m_name = aName + ".0";
  job.m_tasks.push_back(std::move(task));
  const CallerToken caller = job.m_caller;
  Handle(aEntry, std::move(job));
  return caller;
}

CallerToken
ForwardFixture::SubmitForwarded(std::size_t aEntry)
{
  Node& node = m_nodes.at(aEntry);
  CallerToken caller;
  const std::uint32_t before = node.m_events[EventCode::JobForwarded];
  for (std::size_t i = 0;
       i < kMaxTries && node.m_events[EventCode::JobForwarded] == before;
       ++i) {
    m_lastName = "job" + std::to_string(m_lastCaller + 1);
    caller = Submit(aEntry, m_lastName);
  }
  return node.m_events[EventCode::JobForwarded] == before ? CallerToken{}
                                                          : caller;
}

std::vector<Answer>
ForwardFixture::AnswersTo(CallerToken aCaller) const
{
  std::vector<Answer> answers;
  for (const Node& node : m_nodes) {
    for (const auto& [caller, answer] : node.m_answers) {
      if (caller == aCaller) {
        answers.push_back(answer);
      }
    }
  }
  return answers;
}

std::size_t
ForwardFixture::OffersOf(const std::string& aName) const
{
  std::size_t offers = 0;
  for (const Node& node : m_nodes) {
    for (const auto& [agent, offer] : node.m_offers) {
      offers += offer.m_name == aName + ".0" ? 1 : 0;
    }
  }
  return offers;
}

bool
ForwardFixture::IsRevoked(const std::string& aName) const
{
  for (const Node& node : m_nodes) {
    for (const auto& [agent, offer] : node.m_offers) {
      if (offer.m_name == aName + ".0" &&
          node.m_revoked.contains(offer.m_attempt)) {
        return true;
      }
    }
  }
  return false;
}

void
ForwardFixture::Complete(const std::string& aName)
{
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    for (const auto& [agent, offer] : m_nodes[i].m_offers) {
      if (offer.m_name != aName + ".0") {
        continue;
      }
      ReportBatch batch;
      batch.m_load.m_sequence = ++m_loadSequence;
      batch.m_load.m_reportedAt = m_now;
      batch.m_load.m_freeCapacity = kLarge;
      AttemptReport report;
      report.m_attempt = offer.m_attempt;
      report.m_fate = AttemptFate::Completed;
      report.m_ranFor = std::chrono::milliseconds(100);
      report.m_output = "output of " + aName;
      batch.m_reports.push_back(std::move(report));
      Handle(i, MessageReceived{ agent, std::move(batch) });
      return;
    }
  }
}

} // namespace mulberrysail::core
