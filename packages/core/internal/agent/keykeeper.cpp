#include "core/internal/agent/keykeeper.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Half of the limit is for keys, the other half for answers. */
constexpr std::uint64_t kShareOfMemory = 2;
/** What one record takes besides its texts. */
constexpr std::uint64_t kBytesPerKey = 512;
/** Entries that may wait for the outcome of one key. */
constexpr std::size_t kMaxAskers = 64;

bool
NeverRan(AttemptFate aFate)
{
  return aFate == AttemptFate::Refused || aFate == AttemptFate::Revoked;
}

bool
IsOpen(AttemptFate aFate)
{
  return aFate == AttemptFate::Queued || aFate == AttemptFate::Running;
}

KeyName
NameOf(const Offer& aOffer)
{
  return { aOffer.m_service, aOffer.m_key->m_key };
}

bool
IsFencedOff(const AgentBoard& aBoard,
            const KeyRecord& aRecord,
            const CallerKey& aClaim)
{
  return aRecord.m_fence && aRecord.m_fenceUntil > aBoard.m_now &&
         aClaim.YieldsTo(*aRecord.m_fence);
}

std::uint64_t
BytesOf(const KeyName& aName, const KeyRecord& aRecord)
{
  const std::uint64_t output =
    aRecord.m_holder ? aRecord.m_holder->m_output.size() : 0;
  return kBytesPerKey + 2 * (aName.m_key.size() + aName.m_service.size()) +
         output;
}

} // namespace

bool
KeyKeeper::Superseded(const Offer& aOffer) const
{
  const auto place = m_board.m_keys.m_records.find(NameOf(aOffer));
  if (place == m_board.m_keys.m_records.end()) {
    return false;
  }
  const KeyRecord& record = place->second;
  return record.m_holder || IsFencedOff(m_board, record, *aOffer.m_key);
}

void
KeyKeeper::Claim(const Attempt& aAttempt)
{
  const KeyName name = NameOf(aAttempt.m_offer);
  KeyRecord& record = m_board.m_keys.m_records[name];
  Unlist(record);
  record.m_holder.emplace();
  record.m_holder->m_attempt = aAttempt.m_key;
  Resize(name, record);
  EnforceLimit();
}

KeyRecord*
KeyKeeper::FindHeldBy(const Attempt& aAttempt)
{
  if (!aAttempt.m_offer.m_key) {
    return nullptr;
  }
  const auto place = m_board.m_keys.m_records.find(NameOf(aAttempt.m_offer));
  if (place == m_board.m_keys.m_records.end() || !place->second.m_holder ||
      place->second.m_holder->m_attempt != aAttempt.m_key) {
    return nullptr;
  }
  return &place->second;
}

void
KeyKeeper::Moved(const Attempt& aAttempt)
{
  if (KeyRecord* record = FindHeldBy(aAttempt)) {
    record->m_holder->m_fate =
      aAttempt.m_running ? AttemptFate::Running : AttemptFate::Queued;
  }
}

void
KeyKeeper::Ended(const Attempt& aAttempt, const AttemptReport& aReport)
{
  KeyRecord* record = FindHeldBy(aAttempt);
  if (record == nullptr) {
    return;
  }
  const KeyName name = NameOf(aAttempt.m_offer);
  const std::vector<FenceAsker> askers = std::move(record->m_askers);
  record->m_askers.clear();
  if (NeverRan(aReport.m_fate)) {
    record->m_holder.reset();
    Resize(name, *record);
    List(name, *record);
    for (const FenceAsker& asker : askers) {
      Fence(name, m_board.m_keys.m_records[name], asker);
    }
    return;
  }
  KeyHolder& holder = *record->m_holder;
  holder.m_fate = aReport.m_fate;
  holder.m_kind = aReport.m_kind;
  holder.m_output = aReport.m_output;
  record->m_endedAt = m_board.m_now;
  for (const FenceAsker& asker : askers) {
    Reply(asker, holder.m_fate, holder.m_kind, holder.m_output);
  }
  Resize(name, *record);
  List(name, *record);
  EnforceLimit();
}

void
KeyKeeper::Ask(EntryIndex aEntry, const FenceQuery& aQuery)
{
  const KeyName name{ aQuery.m_service, aQuery.m_key.m_key };
  const FenceAsker asker{
    aEntry, aQuery.m_fence, aQuery.m_key, aQuery.m_retainFor
  };
  KeyRecord& record = m_board.m_keys.m_records[name];
  if (!record.m_holder) {
    Fence(name, record, asker);
    return;
  }
  const KeyHolder& holder = *record.m_holder;
  Record(m_board,
         EventCode::KeyHeld,
         holder.m_attempt.m_attempt.m_value,
         EventDetail().Add("fate", FateName(holder.m_fate)),
         name.m_key);
  Reply(asker, holder.m_fate, holder.m_kind, holder.m_output);
  if (!IsOpen(holder.m_fate)) {
    return;
  }
  const bool known = std::any_of(record.m_askers.begin(),
                                 record.m_askers.end(),
                                 [&](const FenceAsker& aOther) {
                                   return aOther.m_entry == aEntry &&
                                          aOther.m_fence == aQuery.m_fence;
                                 });
  if (!known && record.m_askers.size() < kMaxAskers) {
    record.m_askers.push_back(asker);
  }
}

void
KeyKeeper::Fence(const KeyName& aName,
                 KeyRecord& aRecord,
                 const FenceAsker& aAsker)
{
  if (IsFencedOff(m_board, aRecord, aAsker.m_key)) {
    Reply(aAsker, AttemptFate::Refused, ErrorKind::Superseded, {});
    return;
  }
  Unlist(aRecord);
  if (aRecord.m_bytes == 0) {
    Resize(aName, aRecord);
    EnforceLimit();
  }
  const std::uint64_t limit = m_board.m_policy.m_maxRetainedBytes / kShareOfMemory;
  if (m_board.m_keys.m_bytes > limit) {
    // A fence that can't be remembered would prove nothing.
    List(aName, aRecord);
    Reply(aAsker, AttemptFate::Lost, ErrorKind::RepeatUncertain, {});
    return;
  }
  aRecord.m_fence = aAsker.m_key;
  aRecord.m_fenceUntil =
    std::max(aRecord.m_fenceUntil, m_board.m_now + aAsker.m_retainFor);
  List(aName, aRecord);
  Record(m_board,
         EventCode::KeyFenced,
         aAsker.m_key.m_submission,
         EventDetail().Add("submission", aAsker.m_key.m_submission),
         aName.m_key);
  Reply(aAsker, AttemptFate::Refused, ErrorKind::None, {});
}

void
KeyKeeper::Reply(const FenceAsker& aAsker,
                 AttemptFate aFate,
                 ErrorKind aKind,
                 std::string aOutput)
{
  const auto entry = m_board.m_entries.m_records.find(aAsker.m_entry);
  if (entry == m_board.m_entries.m_records.end()) {
    return;
  }
  Send(m_board,
       entry->second,
       FenceReply{
         aAsker.m_fence, aFate, aKind, std::move(aOutput), RemembersFor() });
}

void
KeyKeeper::Resize(const KeyName& aName, KeyRecord& aRecord)
{
  m_board.m_keys.m_bytes -= aRecord.m_bytes;
  aRecord.m_bytes = BytesOf(aName, aRecord);
  m_board.m_keys.m_bytes += aRecord.m_bytes;
}

void
KeyKeeper::Unlist(KeyRecord& aRecord)
{
  m_board.m_keys.m_byExpiry.erase(aRecord.m_forgetAt);
  m_board.m_keys.m_evictable.erase(
    std::pair(aRecord.m_endedAt, aRecord.m_endedSequence));
}

void
KeyKeeper::List(const KeyName& aName, KeyRecord& aRecord)
{
  Unlist(aRecord);
  Instant forgetAt = aRecord.m_fenceUntil;
  if (aRecord.m_holder) {
    if (IsOpen(aRecord.m_holder->m_fate)) {
      return;
    }
    forgetAt =
      std::max(forgetAt, aRecord.m_endedAt + m_board.m_policy.m_keyRetention);
    aRecord.m_endedSequence = m_board.m_attempts.m_nextSequence++;
    m_board.m_keys.m_evictable.emplace(
      std::pair(aRecord.m_endedAt, aRecord.m_endedSequence), aName);
  }
  aRecord.m_forgetAt = { forgetAt, m_board.m_attempts.m_nextSequence++ };
  m_board.m_keys.m_byExpiry.emplace(aRecord.m_forgetAt, aName);
}

void
KeyKeeper::Purge()
{
  KeySection& keys = m_board.m_keys;
  while (!keys.m_byExpiry.empty() &&
         keys.m_byExpiry.begin()->first.first <= m_board.m_now) {
    const KeyName name = keys.m_byExpiry.begin()->second;
    const auto place = keys.m_records.find(name);
    Unlist(place->second);
    keys.m_bytes -= place->second.m_bytes;
    keys.m_records.erase(place);
  }
}

void
KeyKeeper::EnforceLimit()
{
  KeySection& keys = m_board.m_keys;
  const std::uint64_t limit = m_board.m_policy.m_maxRetainedBytes / kShareOfMemory;
  while (keys.m_bytes > limit && !keys.m_evictable.empty()) {
    const KeyName name = keys.m_evictable.begin()->second;
    KeyRecord& record = keys.m_records.at(name);
    Unlist(record);
    keys.m_completeSince =
      std::max(keys.m_completeSince, record.m_endedAt + Duration(1));
    record.m_holder.reset();
    Resize(name, record);
    List(name, record);
    if (record.m_fenceUntil <= m_board.m_now) {
      Unlist(record);
      keys.m_bytes -= record.m_bytes;
      keys.m_records.erase(name);
    }
  }
}

Duration
KeyKeeper::RemembersFor() const
{
  const Duration memory = m_board.m_policy.m_keyRetention;
  // What came since this life began is known, however short it has been.
  return m_board.m_keys.m_completeSince == Instant()
           ? memory
           : std::min(memory, m_board.m_now - m_board.m_keys.m_completeSince);
}

} // namespace mulberrysail::core::agent
