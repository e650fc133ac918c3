#pragma once

#include "core/ientry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::core {

/** Several entry cores that exchange messages at once, each with one agent that
 * the test plays. */
class ForwardFixture
{
public:
  /** One entry. */
  struct Node
  {
    ProcessId m_id;
    EntryPolicy m_policy;
    std::unique_ptr<IEntry> m_core;
    /** The used share in its samples. */
    double m_used = 0.1;
    bool m_alive = true;
    /** Events wait while the process is stopped. */
    bool m_stopped = false;
    std::deque<EntryEvent> m_inbox;
    /** Answers in the order in which they were given. */
    std::vector<std::pair<CallerToken, Answer>> m_answers;
    std::vector<std::pair<ProcessId, Offer>> m_offers;
    std::set<AttemptId> m_revoked;
    std::map<EventCode, std::uint32_t> m_events;
  };

  /** What happens to messages from one entry to another. */
  enum class Link : std::uint8_t
  {
    Open,
    /** Messages are lost, and the sender is not notified. */
    Lost,
    /** The sender is notified that messages were not sent. */
    NotSent,
    /** Messages wait until the link is open again. */
    Held,
  };

  /** Starts entries that forward jobs and know each other's load. */
  explicit ForwardFixture(std::size_t aEntries,
                          const EntryPolicy& aPolicy = Policy());

  static EntryPolicy Policy();

  /** Lets time pass; entries are sampled every 200 ms. */
  void Advance(Duration aBy);
  void Handle(std::size_t aEntry, EntryEvent aEvent);
  void SetLink(std::size_t aFrom, std::size_t aTo, Link aLink);
  /** Notifies both entries that their link was opened again. */
  void ResetLink(std::size_t aLeft, std::size_t aRight);
  void Stop(std::size_t aEntry) { m_nodes.at(aEntry).m_stopped = true; }
  void Continue(std::size_t aEntry);
  void Kill(std::size_t aEntry) { m_nodes.at(aEntry).m_alive = false; }
  /** Starts the next incarnation of an entry. */
  void Restart(std::size_t aEntry);
  /** Tells all entries which entries are alive. */
  void ListEntries();

  /** Raises the used share of an entry until it forwards most jobs. */
  void MakeBusy(std::size_t aEntry);
  CallerToken Submit(std::size_t aEntry,
                     const std::string& aName,
                     const std::string& aQueue = "crop");
  /** Submits jobs until one is forwarded.
   * @return the token of its caller; its name is in m_lastName. */
  CallerToken SubmitForwarded(std::size_t aEntry);

  /** @return the answers to a caller. */
  std::vector<Answer> AnswersTo(CallerToken aCaller) const;
  /** @return how often the first task of a job was offered, by all entries. */
  std::size_t OffersOf(const std::string& aName) const;
  /** @return whether the offer of a job's task was revoked. */
  bool IsRevoked(const std::string& aName) const;
  /** Reports the only task of a job as completed. */
  void Complete(const std::string& aName);

  std::vector<Node> m_nodes;
  std::string m_lastName;
  /** Whether submitted jobs have names; their tasks always do. */
  bool m_namesJobs = true;
  /** The last job that an entry forwarded, also if it did not arrive. */
  ForwardJob m_lastForward;
  Instant m_now{ std::chrono::hours(1) };

private:
  struct InFlight
  {
    std::size_t m_from;
    std::size_t m_to;
    ProcessId m_receiver;
    MessageReceived m_event;
  };

  void Boot(std::size_t aEntry);
  void Announce(std::size_t aEntry);
  void Run(std::size_t aEntry, EntryEvent aEvent);
  void Route(std::size_t aFrom, SendMessage aSend);
  void Pump();
  std::optional<std::size_t> IndexOf(const std::string& aName) const;

  std::map<std::pair<std::size_t, std::size_t>, Link> m_links;
  std::deque<InFlight> m_inFlight;
  std::vector<InFlight> m_held;
  std::deque<std::pair<std::size_t, SendFailed>> m_failed;
  std::uint64_t m_lastCaller = 0;
  std::uint64_t m_loadSequence = 0;
  std::uint32_t m_ticks = 0;
};

} // namespace mulberrysail::core
