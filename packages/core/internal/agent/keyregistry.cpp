#include "core/internal/agent/keyregistry.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Half of the memory limit is for keys, the other half for reports. */
constexpr std::uint64_t kMemoryDivisor = 2;
/** Memory of one record without its strings. */
constexpr std::uint64_t kBytesPerKey = 512;
/** Maximum number of pending fence queries for one key. */
constexpr std::size_t kMaxPendingQueries = 64;

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
YieldsToFence(const AgentBoard& aBoard,
              const KeyRecord& aRecord,
              const CallerKey& aCallerKey)
{
  return aRecord.m_fence && aRecord.m_fenceUntil > aBoard.m_now &&
         aCallerKey.YieldsTo(*aRecord.m_fence);
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
KeyRegistry::IsSuperseded(const Offer& aOffer) const
{
  const auto place = m_board.m_keys.m_records.find(NameOf(aOffer));
  if (place == m_board.m_keys.m_records.end()) {
    return false;
  }
  const KeyRecord& record = place->second;
  return record.m_holder || YieldsToFence(m_board, record, *aOffer.m_key);
}

void
KeyRegistry::Claim(const Attempt& aAttempt)
{
  const KeyName name = NameOf(aAttempt.m_offer);
  KeyRecord& record = m_board.m_keys.m_records[name];
  RemoveFromIndexes(record);
  record.m_holder.emplace();
  record.m_holder->m_attempt = aAttempt.m_key;
  UpdateSize(name, record);
  EnforceLimit();
}

KeyRecord*
KeyRegistry::FindHeldBy(const Attempt& aAttempt)
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
KeyRegistry::UpdateFate(const Attempt& aAttempt)
{
  if (KeyRecord* record = FindHeldBy(aAttempt)) {
    record->m_holder->m_fate =
      aAttempt.m_running ? AttemptFate::Running : AttemptFate::Queued;
  }
}

void
KeyRegistry::RecordOutcome(const Attempt& aAttempt,
                           const AttemptReport& aReport)
{
  KeyRecord* record = FindHeldBy(aAttempt);
  if (record == nullptr) {
    return;
  }
  const KeyName name = NameOf(aAttempt.m_offer);
  const std::vector<PendingFenceQuery> pendingQueries =
    std::move(record->m_pendingQueries);
  record->m_pendingQueries.clear();
  if (NeverRan(aReport.m_fate)) {
    record->m_holder.reset();
    UpdateSize(name, *record);
    AddToIndexes(name, *record);
    for (const PendingFenceQuery& pendingQuery : pendingQueries) {
      Fence(name, m_board.m_keys.m_records[name], pendingQuery);
    }
    return;
  }
  KeyHolder& holder = *record->m_holder;
  holder.m_fate = aReport.m_fate;
  holder.m_kind = aReport.m_kind;
  holder.m_output = aReport.m_output;
  record->m_endedAt = m_board.m_now;
  for (const PendingFenceQuery& pendingQuery : pendingQueries) {
    Reply(pendingQuery, holder.m_fate, holder.m_kind, holder.m_output);
  }
  UpdateSize(name, *record);
  AddToIndexes(name, *record);
  EnforceLimit();
}

void
KeyRegistry::AnswerFenceQuery(EntryIndex aEntry, const FenceQuery& aQuery)
{
  const KeyName name{ aQuery.m_service, aQuery.m_key.m_key };
  const PendingFenceQuery pendingQuery{
    aEntry, aQuery.m_fence, aQuery.m_key, aQuery.m_retainFor
  };
  KeyRecord& record = m_board.m_keys.m_records[name];
  if (!record.m_holder) {
    Fence(name, record, pendingQuery);
    return;
  }
  const KeyHolder& holder = *record.m_holder;
  Record(m_board,
         EventCode::KeyHeld,
         holder.m_attempt.m_attempt.m_value,
         EventDetail().Add("fate", FateName(holder.m_fate)),
         name.m_key);
  Reply(pendingQuery, holder.m_fate, holder.m_kind, holder.m_output);
  if (!IsOpen(holder.m_fate)) {
    return;
  }
  const bool known = std::any_of(record.m_pendingQueries.begin(),
                                 record.m_pendingQueries.end(),
                                 [&](const PendingFenceQuery& aOther) {
                                   return aOther.m_entry == aEntry &&
                                          aOther.m_fence == aQuery.m_fence;
                                 });
  if (!known && record.m_pendingQueries.size() < kMaxPendingQueries) {
    record.m_pendingQueries.push_back(pendingQuery);
  }
}

void
KeyRegistry::Fence(const KeyName& aName,
                   KeyRecord& aRecord,
                   const PendingFenceQuery& aPendingQuery)
{
  if (YieldsToFence(m_board, aRecord, aPendingQuery.m_key)) {
    Reply(aPendingQuery, AttemptFate::Refused, ErrorKind::Superseded, {});
    return;
  }
  RemoveFromIndexes(aRecord);
  if (aRecord.m_bytes == 0) {
    UpdateSize(aName, aRecord);
    EnforceLimit();
  }
  const std::uint64_t limit =
    m_board.m_policy.m_maxRetainedBytes / kMemoryDivisor;
  if (m_board.m_keys.m_bytes > limit) {
    // A fence that isn't retained can't guarantee that offers whose caller key
    // yields to it are refused.
    AddToIndexes(aName, aRecord);
    Reply(aPendingQuery, AttemptFate::Lost, ErrorKind::RepeatUncertain, {});
    return;
  }
  aRecord.m_fence = aPendingQuery.m_key;
  aRecord.m_fenceUntil =
    std::max(aRecord.m_fenceUntil, m_board.m_now + aPendingQuery.m_retainFor);
  AddToIndexes(aName, aRecord);
  Record(m_board,
         EventCode::KeyFenced,
         aPendingQuery.m_key.m_submission,
         EventDetail().Add("submission", aPendingQuery.m_key.m_submission),
         aName.m_key);
  Reply(aPendingQuery, AttemptFate::Refused, ErrorKind::None, {});
}

void
KeyRegistry::Reply(const PendingFenceQuery& aPendingQuery,
                   AttemptFate aFate,
                   ErrorKind aKind,
                   std::string aOutput)
{
  const auto entry = m_board.m_entries.m_records.find(aPendingQuery.m_entry);
  if (entry == m_board.m_entries.m_records.end()) {
    return;
  }
  Send(m_board,
       entry->second,
       FenceReply{ aPendingQuery.m_fence,
                   aFate,
                   aKind,
                   std::move(aOutput),
                   RetentionPeriod() });
}

void
KeyRegistry::UpdateSize(const KeyName& aName, KeyRecord& aRecord)
{
  m_board.m_keys.m_bytes -= aRecord.m_bytes;
  aRecord.m_bytes = BytesOf(aName, aRecord);
  m_board.m_keys.m_bytes += aRecord.m_bytes;
}

void
KeyRegistry::RemoveFromIndexes(KeyRecord& aRecord)
{
  m_board.m_keys.m_byExpiry.erase(aRecord.m_expiryKey);
  m_board.m_keys.m_evictable.erase(
    std::pair(aRecord.m_endedAt, aRecord.m_endedSequence));
}

void
KeyRegistry::AddToIndexes(const KeyName& aName, KeyRecord& aRecord)
{
  RemoveFromIndexes(aRecord);
  Instant expiresAt = aRecord.m_fenceUntil;
  if (aRecord.m_holder) {
    if (IsOpen(aRecord.m_holder->m_fate)) {
      return;
    }
    expiresAt =
      std::max(expiresAt, aRecord.m_endedAt + m_board.m_policy.m_keyRetention);
    aRecord.m_endedSequence = m_board.m_attempts.m_nextUniqueNumber++;
    m_board.m_keys.m_evictable.emplace(
      std::pair(aRecord.m_endedAt, aRecord.m_endedSequence), aName);
  }
  aRecord.m_expiryKey = { expiresAt, m_board.m_attempts.m_nextUniqueNumber++ };
  m_board.m_keys.m_byExpiry.emplace(aRecord.m_expiryKey, aName);
}

void
KeyRegistry::EvictExpired()
{
  KeySection& keys = m_board.m_keys;
  while (!keys.m_byExpiry.empty() &&
         keys.m_byExpiry.begin()->first.first <= m_board.m_now) {
    const KeyName name = keys.m_byExpiry.begin()->second;
    const auto place = keys.m_records.find(name);
    RemoveFromIndexes(place->second);
    keys.m_bytes -= place->second.m_bytes;
    keys.m_records.erase(place);
  }
}

void
KeyRegistry::EnforceLimit()
{
  KeySection& keys = m_board.m_keys;
  const std::uint64_t limit =
    m_board.m_policy.m_maxRetainedBytes / kMemoryDivisor;
  while (keys.m_bytes > limit && !keys.m_evictable.empty()) {
    const KeyName name = keys.m_evictable.begin()->second;
    KeyRecord& record = keys.m_records.at(name);
    RemoveFromIndexes(record);
    keys.m_completeSince =
      std::max(keys.m_completeSince, record.m_endedAt + Duration(1));
    record.m_holder.reset();
    UpdateSize(name, record);
    AddToIndexes(name, record);
    if (record.m_fenceUntil <= m_board.m_now) {
      RemoveFromIndexes(record);
      keys.m_bytes -= record.m_bytes;
      keys.m_records.erase(name);
    }
  }
}

Duration
KeyRegistry::RetentionPeriod() const
{
  const Duration retention = m_board.m_policy.m_keyRetention;
  // No record of this incarnation has been evicted to enforce the memory limit,
  // so the configured retention applies even shortly after the start.
  return m_board.m_keys.m_completeSince == Instant()
           ? retention
           : std::min(retention,
                      m_board.m_now - m_board.m_keys.m_completeSince);
}

} // namespace mulberrysail::core::agent
