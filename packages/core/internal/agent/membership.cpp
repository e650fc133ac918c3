#include "core/internal/agent/membership.h"

#include "core/internal/agent/outcomes.h"
#include "core/internal/agent/reconciler.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Inverse of the maximum drift between the clocks of two machines. */
constexpr int kInverseClockDrift = 1000;

} // namespace

bool
EndpointServes(const AgentBoard& aBoard)
{
  return aBoard.m_endpoint.m_info && !aBoard.m_endpoint.m_info->m_leaving &&
         AcceptsWork(aBoard);
}

bool
IsLive(const AgentBoard& aBoard, const Worker& aWorker)
{
  return !aWorker.m_leaving && aWorker.m_leaseEnds > aBoard.m_now;
}

bool
IsPresent(const AgentBoard& aBoard, const EntryRecord& aEntry)
{
  return aEntry.m_listed || aEntry.m_linked ||
         aBoard.m_now - aEntry.m_lastSeen < aBoard.m_policy.m_lease;
}

EntryIndex
Membership::FindOrAdd(const ProcessId& aEntry)
{
  EntrySection& entries = m_board.m_entries;
  const auto known = entries.m_byId.find(aEntry);
  if (known != entries.m_byId.end()) {
    return known->second;
  }
  EndEarlierIncarnations(aEntry);
  const EntryIndex index = entries.m_nextIndex++;
  entries.m_byId.emplace(aEntry, index);
  EntryRecord& record = entries.m_records[index];
  record.m_id = aEntry;
  record.m_lastSeen = m_board.m_now;
  record.m_announceDue = true;
  Record(m_board, EventCode::EntryJoined, 0, DescribeProcess("entry", aEntry));
  return index;
}

EntryIndex
Membership::UpdateLastSeen(const ProcessId& aEntry, Instant aSentAt)
{
  const EntryIndex index = FindOrAdd(aEntry);
  EntryRecord& record = m_board.m_entries.m_records.at(index);
  record.m_lastSeen =
    std::max(record.m_lastSeen, EstimateSentAt(record, aSentAt));
  record.m_unreachable = false;
  return index;
}

EntryIndex
Membership::MarkReachable(const ProcessId& aEntry)
{
  // The greeting may have been in transit for a long time, so it does not prove
  // that the entry is alive and m_lastSeen stays unchanged.
  const EntryIndex index = FindOrAdd(aEntry);
  m_board.m_entries.m_records.at(index).m_unreachable = false;
  return index;
}

Instant
Membership::EstimateSentAt(EntryRecord& aEntry, Instant aSentAt) const
{
  if (aSentAt == Instant()) {
    return m_board.m_now;
  }
  const Duration transit = m_board.m_now - aSentAt;
  const Duration drift =
    (m_board.m_now - aEntry.m_minTransitAt) / kInverseClockDrift;
  aEntry.m_minTransit = std::min(
    transit, aEntry.m_minTransit ? *aEntry.m_minTransit + drift : transit);
  aEntry.m_minTransitAt = m_board.m_now;
  return aSentAt + *aEntry.m_minTransit;
}

void
Membership::EndEarlierIncarnations(const ProcessId& aEntry)
{
  for (auto& [index, record] : m_board.m_entries.m_records) {
    const bool earlierIncarnation =
      record.m_id.m_name == aEntry.m_name &&
      record.m_id.m_incarnation < aEntry.m_incarnation;
    if (earlierIncarnation) {
      record.m_listed = false;
      record.m_linked = false;
      record.m_grant = {};
      record.m_demands.clear();
      EndAttemptsOf(index);
    }
  }
}

void
Membership::RevokeQueuedOf(EntryIndex aEntry)
{
  std::vector<AttemptKey> waiting;
  for (const auto& [key, attempt] : m_board.m_attempts.m_open) {
    if (key.m_entry == aEntry && !attempt.m_running) {
      waiting.push_back(key);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const AttemptKey& key : waiting) {
    Outcomes(m_board).EndQueued(m_board.m_attempts.m_open.at(key),
                                AttemptFate::Revoked,
                                ErrorKind::Cancelled);
  }
}

void
Membership::SetEntries(std::span<const ProcessId> aEntries)
{
  for (auto& [index, record] : m_board.m_entries.m_records) {
    record.m_listed = false;
  }
  for (const ProcessId& entry : aEntries) {
    const EntryIndex index = FindOrAdd(entry);
    m_board.m_entries.m_records.at(index).m_listed = true;
  }
  // The list takes precedence: a link to an entry that is no longer listed may
  // stay open.
  for (auto& [index, record] : m_board.m_entries.m_records) {
    record.m_linked = record.m_linked && record.m_listed;
    if (!record.m_listed) {
      record.m_grant = {};
      record.m_demands.clear();
    }
  }
}

void
Membership::SetEndpoint(EndpointAnnounced aAnnounced)
{
  EndpointSection& endpoint = m_board.m_endpoint;
  const bool changed = endpoint.m_info != aAnnounced.m_info;
  if (changed) {
    endpoint.m_recheckQueuedRequests = true;
    Record(m_board,
           aAnnounced.m_info.m_leaving ? EventCode::EndpointLeaving
                                       : EventCode::EndpointAnnounced,
           0,
           EventDetail()
             .Add("service", aAnnounced.m_info.m_service)
             .Add("slots", aAnnounced.m_info.m_slots));
    ScheduleAnnounceToAll(m_board);
  }
  endpoint.m_info = std::move(aAnnounced.m_info);
  endpoint.m_url = std::move(aAnnounced.m_url);
  endpoint.m_leaseEnds = m_board.m_now + m_board.m_policy.m_endpointLease;
}

void
Membership::ProcessTimeouts()
{
  ExpireEndpoint();
  ExpireWorkers();
  EndWarmUps();
  EndAttemptsWithoutLease();
  RemoveStaleEntries();
}

Instant
Membership::NextLeaseEnd(const AgentBoard& aBoard)
{
  Instant due = kNever;
  const Duration duration = aBoard.m_policy.m_entryTimeout;
  if (duration == Duration::zero()) {
    return due;
  }
  for (const auto& [index, entry] : aBoard.m_entries.m_records) {
    const Instant end = entry.LeaseGrantedAt() + duration;
    if (entry.m_openAttempts > 0 && end > aBoard.m_now) {
      due = std::min(due, end);
    }
  }
  return due;
}

void
Membership::RenewLease(EntryRecord& aEntry,
                       std::optional<Instant> aGrantedAt) const
{
  if (aGrantedAt) {
    const Instant grantedAt = std::min(*aGrantedAt, m_board.m_now);
    aEntry.m_leaseGrantedAt =
      std::max(aEntry.m_leaseGrantedAt.value_or(grantedAt), grantedAt);
  }
}

bool
Membership::HasLapsed(const AgentBoard& aBoard, Instant aGrantedAt)
{
  const Duration duration = aBoard.m_policy.m_entryTimeout;
  return duration != Duration::zero() && aGrantedAt + duration <= aBoard.m_now;
}

void
Membership::EndAttemptsWithoutLease()
{
  for (const auto& [index, entry] : m_board.m_entries.m_records) {
    if (entry.m_openAttempts > 0 &&
        HasLapsed(m_board, entry.LeaseGrantedAt())) {
      EndAttemptsOf(index);
    }
  }
}

void
Membership::EndAttemptsOf(EntryIndex aEntry)
{
  RevokeQueuedOf(aEntry);
  Reconciler reconciler(m_board);
  bool anyStopped = false;
  for (auto& [key, attempt] : m_board.m_attempts.m_open) {
    if (key.m_entry == aEntry && !attempt.m_stopRequested) {
      reconciler.StopTask(attempt);
      anyStopped = true;
    }
  }
  if (anyStopped) {
    const EntryRecord& record = m_board.m_entries.m_records.at(aEntry);
    Record(m_board,
           EventCode::EntrySilent,
           0,
           DescribeProcess("entry", record.m_id)
             .Add("silent_ms", m_board.m_now - record.m_lastSeen)
             .Add("lease_age_ms", m_board.m_now - record.LeaseGrantedAt()));
  }
}

void
Membership::ExpireEndpoint()
{
  EndpointSection& endpoint = m_board.m_endpoint;
  if (!endpoint.m_info || endpoint.m_leaseEnds > m_board.m_now) {
    return;
  }
  Record(m_board,
         EventCode::EndpointLapsed,
         0,
         EventDetail()
           .Add("service", endpoint.m_info->m_service)
           .Add("lease_ended_ms_ago", m_board.m_now - endpoint.m_leaseEnds));
  endpoint.m_info.reset();
  endpoint.m_recheckQueuedRequests = true;
  ScheduleAnnounceToAll(m_board);
}

void
Membership::RemoveStaleEntries()
{
  std::map<EntryIndex, EntryRecord>& records = m_board.m_entries.m_records;
  for (auto place = records.begin(); place != records.end();) {
    const EntryRecord& record = place->second;
    const bool remove =
      !record.m_listed && record.m_openAttempts == 0 &&
      m_board.m_now - record.m_lastSeen > m_board.m_policy.m_keyRetention;
    if (!remove) {
      ++place;
      continue;
    }
    Record(m_board,
           EventCode::EntryForgotten,
           0,
           DescribeProcess("entry", record.m_id)
             .Add("silent_ms", m_board.m_now - record.m_lastSeen));
    m_board.m_entries.m_byId.erase(record.m_id);
    place = records.erase(place);
  }
}

} // namespace mulberrysail::core::agent
