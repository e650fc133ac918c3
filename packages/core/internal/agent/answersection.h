#pragma once

#include "core/internal/agent/attempt.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace mulberrysail::core::agent {

/** The last word on an attempt. */
struct KeptAnswer
{
  AttemptReport m_report;
  bool m_started = false;
  /** When its offer is refused anyway; kNever if the offer was never seen. */
  Instant m_startBy = kNever;
  std::pair<Instant, std::uint64_t> m_forgetAt;
};

/** Final reports, kept for duplicates and reconciles. */
struct AnswerSection
{
  std::unordered_map<AttemptKey, KeptAnswer> m_answers;
  std::map<std::pair<Instant, std::uint64_t>, AttemptKey> m_byExpiry;
  /** Those with an output, the oldest first; may name forgotten ones. */
  std::deque<AttemptKey> m_withOutput;
  std::uint64_t m_outputBytes = 0;
};

} // namespace mulberrysail::core::agent
