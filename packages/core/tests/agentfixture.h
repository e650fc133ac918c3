#pragma once

#include "core/iagent.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** An agent core with a clock that only the test advances. */
class AgentFixture
{
public:
  explicit AgentFixture(AgentPolicy aPolicy = {},
                        Incarnation aIncarnation = Incarnation{ 7 });

  /** Passes an event to the agent and appends the commands that it issues. */
  void HandleEvent(AgentEvent aEvent);
  void Receive(const ProcessId& aFrom, Message aMessage);

  /** Replaces the agent by its next incarnation, which knows only the entry. */
  void RestartAgent();

  /** Advances the clock and fires the timer at each wake-up time of the agent.
   */
  void Advance(Duration aBy);

  /** Announces an endpoint of the service "photo". */
  void AddEndpoint(std::uint32_t aSlots);
  void AddWorker(const std::string& aName, Resources aCapacity);

  Offer RequestOffer(std::uint64_t aAttempt) const;
  Offer TaskOffer(std::uint64_t aAttempt,
                  std::uint64_t aJob,
                  Resources aNeed) const;
  /** Sends the agent a batch of offers from the entry. */
  void SendOffers(std::vector<Offer> aOffers);
  /** Reports the outcome of a run to the agent. */
  void Finish(RunId aRun,
              RunOutcome aOutcome = RunOutcome::Completed,
              std::string aOutput = "output");

  /** @return all runs started since the last ClearCommands(). */
  std::vector<StartRun> Starts() const;
  std::vector<StopRun> Stops() const;
  std::vector<AttemptReport> Reports() const;
  /** @return the latest report on an attempt, if there is one. */
  std::optional<AttemptReport> ReportOn(std::uint64_t aAttempt) const;
  std::vector<Announce> Announcements() const;
  std::vector<FenceReply> FenceReplies() const;
  /** @return the number of messages sent since the last ClearCommands(). */
  std::size_t CountMessages() const;
  void ClearCommands();

  const AgentPolicy m_policy;
  ProcessId m_self;
  const ProcessId m_entry{ "entry1", Incarnation{ 3 } };
  std::unique_ptr<IAgent> m_agent;
  Instant m_now{ std::chrono::seconds(100) };
  AgentCommands m_commands;
  std::uint64_t m_offersSent = 0;

private:
  template<typename T>
  std::vector<T> Sent() const;
};

} // namespace mulberrysail::core
