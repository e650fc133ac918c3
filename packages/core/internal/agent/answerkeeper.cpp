#include "core/internal/agent/answerkeeper.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Half of the limit is for answers, the other half for caller keys. */
constexpr std::uint64_t kShareOfMemory = 2;
/** What one kept report takes besides its output. */
constexpr std::uint64_t kBytesPerAnswer = 256;

/** Entries put the shard above the number; all bits above 48 are the same for
 * ids that rise. */
constexpr unsigned kShardShift = 48;

std::uint64_t
GroupOf(AttemptId aAttempt)
{
  return aAttempt.m_value >> kShardShift;
}

} // namespace

void
AnswerKeeper::Keep(const AttemptKey& aKey,
                   const AttemptReport& aReport,
                   bool aStarted,
                   Instant aStartBy)
{
  AnswerSection& section = m_board.m_answers;
  const auto [place, isNew] = section.m_answers.try_emplace(aKey);
  if (!isNew) {
    return;
  }
  KeptAnswer& kept = place->second;
  kept.m_report = aReport;
  kept.m_started = aStarted;
  kept.m_startBy = aStartBy;
  Instant forgetAt = m_board.m_now + m_board.m_policy.m_reportRetention;
  if (aStartBy != kNever) {
    forgetAt = std::max(forgetAt, aStartBy + Duration(1));
  }
  kept.m_forgetAt = { forgetAt, m_board.m_attempts.m_nextSequence++ };
  section.m_byExpiry.emplace(kept.m_forgetAt, aKey);
  if (!aReport.m_output.empty()) {
    section.m_outputBytes += aReport.m_output.size();
    section.m_withOutput.push_back(aKey);
  }
  EnforceLimits();
}

const AttemptReport*
AnswerKeeper::Find(const AttemptKey& aKey) const
{
  const auto place = m_board.m_answers.m_answers.find(aKey);
  return place == m_board.m_answers.m_answers.end() ? nullptr
                                                    : &place->second.m_report;
}

Unknown
AnswerKeeper::Classify(const AttemptKey& aKey) const
{
  const auto entry = m_board.m_entries.m_records.find(aKey.m_entry);
  if (entry == m_board.m_entries.m_records.end()) {
    return Unknown::NeverSeen;
  }
  const auto marks = entry->second.m_forgotten.find(GroupOf(aKey.m_attempt));
  if (marks == entry->second.m_forgotten.end()) {
    return Unknown::NeverSeen;
  }
  if (aKey.m_attempt <= marks->second.m_started) {
    return Unknown::MayHaveStarted;
  }
  return aKey.m_attempt <= marks->second.m_refused ? Unknown::MayBeRefused
                                                   : Unknown::NeverSeen;
}

void
AnswerKeeper::Purge()
{
  std::map<std::pair<Instant, std::uint64_t>, AttemptKey>& byExpiry =
    m_board.m_answers.m_byExpiry;
  while (!byExpiry.empty() && byExpiry.begin()->first.first <= m_board.m_now) {
    ForgetFirst();
  }
}

void
AnswerKeeper::ForgetFirst()
{
  AnswerSection& section = m_board.m_answers;
  const AttemptKey key = section.m_byExpiry.begin()->second;
  section.m_byExpiry.erase(section.m_byExpiry.begin());
  const auto place = section.m_answers.find(key);
  const KeptAnswer& kept = place->second;
  section.m_outputBytes -= kept.m_report.m_output.size();
  const auto entry = m_board.m_entries.m_records.find(key.m_entry);
  if (entry != m_board.m_entries.m_records.end()) {
    if (kept.m_started) {
      AttemptId& mark =
        entry->second.m_forgotten[GroupOf(key.m_attempt)].m_started;
      mark = std::max(mark, key.m_attempt);
    } else if (kept.m_startBy > m_board.m_now) {
      AttemptId& mark =
        entry->second.m_forgotten[GroupOf(key.m_attempt)].m_refused;
      mark = std::max(mark, key.m_attempt);
    }
  }
  section.m_answers.erase(place);
}

void
AnswerKeeper::DropOldestOutput()
{
  AnswerSection& section = m_board.m_answers;
  const AttemptKey key = section.m_withOutput.front();
  section.m_withOutput.pop_front();
  const auto place = section.m_answers.find(key);
  if (place == section.m_answers.end()) {
    return;
  }
  AttemptReport& report = place->second.m_report;
  section.m_outputBytes -= report.m_output.size();
  report.m_output = std::string();
  // Without its output it can't be called completed any more.
  if (report.m_fate == AttemptFate::Completed) {
    report.m_fate = AttemptFate::Lost;
    report.m_kind = ErrorKind::RunLost;
  }
}

void
AnswerKeeper::EnforceLimits()
{
  AnswerSection& section = m_board.m_answers;
  const std::uint64_t limit = m_board.m_policy.m_maxRetainedBytes / kShareOfMemory;
  while (section.m_outputBytes > limit) {
    DropOldestOutput();
  }
  const std::uint64_t most =
    std::max<std::uint64_t>(1, limit / kBytesPerAnswer);
  while (section.m_answers.size() > most) {
    ForgetFirst();
  }
  while (section.m_withOutput.size() > most) {
    DropOldestOutput();
  }
}

} // namespace mulberrysail::core::agent
