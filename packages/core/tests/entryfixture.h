#pragma once

#include "core/ientry.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** An entry core with a clock that only the test advances. Its configuration
 * has the service "photo" and the teams "a" (weight 1, at most 9 open
 * submissions) and "b". */
class EntryFixture
{
public:
  explicit EntryFixture(EntryPolicy aPolicy = {});

  /** Passes an event to the entry and appends the commands that it issues. */
  void HandleEvent(EntryEvent aEvent);
  void Receive(const ProcessId& aFrom, Message aMessage);

  /** Advances the clock and fires the timer at each wake-up time of the entry.
   */
  void Advance(Duration aBy);

  /** Announces an agent whose endpoint serves "photo". */
  ProcessId AddAgent(const std::string& aName, std::uint32_t aSlots);
  /** Announces an agent with one worker. */
  ProcessId AddWorkerAgent(const std::string& aName, Resources aCapacity);

  /**
   * Submits a request of the service "photo".
   * @param aRun the declared run time.
   * @return its caller token.
   */
  CallerToken SubmitRequest(Duration aRun, const std::string& aTeam = "b");
  /**
   * Submits a request with a caller key.
   * @param aSubmission the number of the submission; zero if unnumbered.
   * @return its caller token.
   */
  CallerToken SubmitKeyedRequest(const std::string& aKey,
                                 std::uint32_t aSubmission);

  /** Reports the fate of an attempt, with @p aFreeSlots free slots. */
  void Report(const ProcessId& aAgent,
              AttemptId aAttempt,
              AttemptFate aFate,
              std::uint32_t aFreeSlots,
              ErrorKind aKind = ErrorKind::None);

  /** An offer and the agent that it was sent to. */
  struct SentOffer
  {
    ProcessId m_agent;
    Offer m_offer;
  };

  std::vector<SentOffer> Offers() const;
  /** @return the latest answer to a caller, if there is one. */
  std::optional<Answer> AnswerTo(CallerToken aCaller) const;

  /** @return all messages of type @p T and their recipients, in order. */
  template<typename T>
  std::vector<std::pair<ProcessId, T>> Sent() const
  {
    std::vector<std::pair<ProcessId, T>> sent;
    for (const EntryCommand& command : m_commands) {
      const SendMessage* send = std::get_if<SendMessage>(&command);
      if (send != nullptr && std::holds_alternative<T>(send->m_message)) {
        sent.emplace_back(send->m_to, std::get<T>(send->m_message));
      }
    }
    return sent;
  }

  const EntryCommands& Commands() const { return m_commands; }
  void ClearCommands() { m_commands.clear(); }

  std::unique_ptr<IEntry> m_entry;
  Instant m_now{ std::chrono::hours(1) };
  EntryCommands m_commands;

private:
  Announce BaseAnnounce();

  std::uint64_t m_nextCaller = 1;
  std::uint64_t m_loadSequence = 0;
  std::uint64_t m_lastOffersSeen = 0;
};

} // namespace mulberrysail::core
