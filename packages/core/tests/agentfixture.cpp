#include "core/tests/agentfixture.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kStartWithin = std::chrono::seconds(5);
constexpr Duration kDeadline = std::chrono::seconds(10);

template<typename T>
std::vector<T>
CommandsOfType(const AgentCommands& aCommands)
{
  std::vector<T> picked;
  for (const AgentCommand& command : aCommands) {
    if (const T* match = std::get_if<T>(&command)) {
      picked.push_back(*match);
    }
  }
  return picked;
}

} // namespace

AgentFixture::AgentFixture(AgentPolicy aPolicy, Incarnation aIncarnation)
  : m_policy(std::move(aPolicy))
  , m_self{ "agent1", aIncarnation }
  , m_agent(MakeAgent(m_self, m_policy, 1))
{
  HandleEvent(PeersChanged{ { m_entry } });
}

void
AgentFixture::HandleEvent(AgentEvent aEvent)
{
  m_agent->Handle(m_now, std::move(aEvent), m_commands);
}

void
AgentFixture::Receive(const ProcessId& aFrom, Message aMessage)
{
  HandleEvent(MessageReceived{ aFrom, std::move(aMessage) });
}

void
AgentFixture::RestartAgent()
{
  ++m_self.m_incarnation.m_value;
  m_agent = MakeAgent(m_self, m_policy, 1);
  m_offersSent = 0;
  HandleEvent(PeersChanged{ { m_entry } });
}

void
AgentFixture::Advance(Duration aBy)
{
  const Instant end = m_now + aBy;
  while (m_agent->NextWake() <= end) {
    m_now = std::max(m_now, m_agent->NextWake());
    HandleEvent(TimerFired{});
  }
  m_now = end;
}

void
AgentFixture::AddEndpoint(std::uint32_t aSlots)
{
  HandleEvent(EndpointAnnounced{ { "photo", aSlots, 64, false }, "http://e" });
}

void
AgentFixture::AddWorker(const std::string& aName, Resources aCapacity)
{
  HandleEvent(WorkerAnnounced{
    { aName, "rack1", aCapacity, false }, "http://" + aName, false, {} });
}

Offer
AgentFixture::RequestOffer(std::uint64_t aAttempt) const
{
  Offer offer;
  offer.m_attempt = AttemptId{ aAttempt };
  offer.m_service = "photo";
  offer.m_startBy = m_now + kStartWithin;
  offer.m_deadline = m_now + kDeadline;
  offer.m_expectedRun = std::chrono::milliseconds(100);
  offer.m_payload = "payload";
  return offer;
}

Offer
AgentFixture::TaskOffer(std::uint64_t aAttempt,
                        std::uint64_t aJob,
                        Resources aNeed) const
{
  Offer offer = RequestOffer(aAttempt);
  offer.m_kind = WorkKind::Task;
  offer.m_job = SubmissionId{ aJob };
  offer.m_need = aNeed;
  return offer;
}

void
AgentFixture::SendOffers(std::vector<Offer> aOffers)
{
  m_offersSent += aOffers.size();
  Receive(m_entry,
          OfferBatch{ m_self.m_incarnation, m_offersSent, std::move(aOffers) });
}

void
AgentFixture::Finish(RunId aRun, RunOutcome aOutcome, std::string aOutput)
{
  HandleEvent(RunFinished{ aRun, aOutcome, std::move(aOutput) });
}

std::vector<StartRun>
AgentFixture::Starts() const
{
  return CommandsOfType<StartRun>(m_commands);
}

std::vector<StopRun>
AgentFixture::Stops() const
{
  return CommandsOfType<StopRun>(m_commands);
}

template<typename T>
std::vector<T>
AgentFixture::Sent() const
{
  std::vector<T> sent;
  for (const SendMessage& send : CommandsOfType<SendMessage>(m_commands)) {
    if (const T* match = std::get_if<T>(&send.m_message)) {
      sent.push_back(*match);
    }
  }
  return sent;
}

std::vector<AttemptReport>
AgentFixture::Reports() const
{
  std::vector<AttemptReport> reports;
  for (const ReportBatch& batch : Sent<ReportBatch>()) {
    reports.insert(
      reports.end(), batch.m_reports.begin(), batch.m_reports.end());
  }
  return reports;
}

std::optional<AttemptReport>
AgentFixture::ReportOn(std::uint64_t aAttempt) const
{
  std::optional<AttemptReport> last;
  for (const AttemptReport& report : Reports()) {
    if (report.m_attempt.m_value == aAttempt) {
      last = report;
    }
  }
  return last;
}

std::vector<Announce>
AgentFixture::Announcements() const
{
  return Sent<Announce>();
}

std::vector<FenceReply>
AgentFixture::FenceReplies() const
{
  return Sent<FenceReply>();
}

std::size_t
AgentFixture::CountMessages() const
{
  return CommandsOfType<SendMessage>(m_commands).size();
}

void
AgentFixture::ClearCommands()
{
  m_commands.clear();
}

} // namespace mulberrysail::core
