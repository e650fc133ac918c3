#pragma once

#include "core/types/time.h"

#include <deque>
#include <optional>

namespace mulberrysail::core {

/** How far the transport of this entry has come with its messages. An entry
 * that is behind sends and reads late, which must not be taken for the silence
 * of its peers. */
class MessageProgress
{
public:
  /** @param aHandledUntil see MessagesHandled. */
  void Add(Instant aNow, Instant aHandledUntil);

  /** @return how long the oldest message that isn't handled yet has waited, by
   * the last statement; zero if there was none. */
  Duration Delay() const;

  /** @return for how long a peer has left a message unanswered that was queued
   * at @p aQueuedAt, without the time in which the message may have waited to
   * be sent, or the answer to be read. */
  Duration UnansweredFor(Instant aNow, Instant aQueuedAt) const;

private:
  struct Statement
  {
    Instant m_at;
    Duration m_delay;
  };

  std::optional<Instant> m_handledUntil;
  Duration m_delay{};
  /** The last statement, and before it only statements that no later one
   * exceeds in delay: the first of a span of time has its longest delay. */
  std::deque<Statement> m_delays;
};

} // namespace mulberrysail::core
