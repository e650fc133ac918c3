#include "standins/store/keyvaluestore.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::standins {

namespace {

/** Changes kept for watches that start in the past. */
constexpr std::size_t kMaxChanges = 100000;

template<typename T>
bool
HoldsFor(const T& aActual, CompareResult aResult, const T& aWanted)
{
  switch (aResult) {
    case CompareResult::Equal:
      return aActual == aWanted;
    case CompareResult::Greater:
      return aActual > aWanted;
    case CompareResult::Less:
      return aActual < aWanted;
    case CompareResult::NotEqual:
      return aActual != aWanted;
  }
  return false;
}

/** Compares one entry; an absent one has revisions and version zero. */
struct CompareVisitor
{
  const KeyValue& m_entry;
  CompareResult m_result;

  bool operator()(const ModRevisionIs& aTarget) const
  {
    return HoldsFor(m_entry.m_modRevision, m_result, aTarget.m_value);
  }
  bool operator()(const CreateRevisionIs& aTarget) const
  {
    return HoldsFor(m_entry.m_createRevision, m_result, aTarget.m_value);
  }
  bool operator()(const VersionIs& aTarget) const
  {
    return HoldsFor(m_entry.m_version, m_result, aTarget.m_value);
  }
  bool operator()(const ValueIs& aTarget) const
  {
    return HoldsFor(m_entry.m_value, m_result, aTarget.m_value);
  }
};

} // namespace

std::vector<KeyValue>
KeyValueStore::Select(const Entries& aEntries, const KeyRange& aRange)
{
  std::vector<KeyValue> values;
  for (auto it = aEntries.lower_bound(aRange.m_key);
       it != aEntries.end() && aRange.Contains(it->first);
       ++it) {
    values.push_back(it->second);
  }
  return values;
}

TxnResult
KeyValueStore::Apply(const Txn& aTxn)
{
  TxnResult result;
  result.m_succeeded =
    std::all_of(aTxn.m_compares.begin(),
                aTxn.m_compares.end(),
                [this](const Compare& aCompare) { return Holds(aCompare); });
  const std::vector<StoreOp>& ops =
    result.m_succeeded ? aTxn.m_success : aTxn.m_failure;
  CheckLeases(ops);
  BeginWrite();
  for (const StoreOp& op : ops) {
    result.m_results.push_back(Do(op));
  }
  EndWrite();
  return result;
}

bool
KeyValueStore::Holds(const Compare& aCompare) const
{
  const auto found = m_entries.find(aCompare.m_key);
  if (found == m_entries.end()) {
    if (std::holds_alternative<ValueIs>(aCompare.m_target)) {
      return false;
    }
    return std::visit(CompareVisitor{ KeyValue{}, aCompare.m_result },
                      aCompare.m_target);
  }
  return std::visit(CompareVisitor{ found->second, aCompare.m_result },
                    aCompare.m_target);
}

void
KeyValueStore::CheckLeases(const std::vector<StoreOp>& aOps) const
{
  for (const StoreOp& op : aOps) {
    const PutOp* put = std::get_if<PutOp>(&op);
    if (put != nullptr && put->m_lease != 0 &&
        !m_leases.contains(put->m_lease)) {
      throw LeaseNotFound();
    }
  }
}

OpResult
KeyValueStore::Do(const StoreOp& aOp)
{
  if (const PutOp* put = std::get_if<PutOp>(&aOp)) {
    return DoPut(*put);
  }
  if (const DeleteOp* erase = std::get_if<DeleteOp>(&aOp)) {
    return DoDelete(*erase);
  }
  return DoRange(std::get<RangeOp>(aOp));
}

OpResult
KeyValueStore::DoPut(const PutOp& aOp)
{
  KeyValue& entry = m_entries[aOp.m_key];
  if (entry.m_version == 0) {
    entry.m_key = aOp.m_key;
    entry.m_createRevision = m_writeRevision;
  }
  entry.m_value = aOp.m_value;
  entry.m_lease = aOp.m_lease;
  entry.m_modRevision = m_writeRevision;
  ++entry.m_version;
  Remember({ false, entry });
  return PutResult{};
}

OpResult
KeyValueStore::DoDelete(const DeleteOp& aOp)
{
  DeleteResult result;
  for (const KeyValue& entry : Select(m_entries, aOp.m_range)) {
    Erase(entry.m_key);
    ++result.m_deleted;
  }
  return result;
}

OpResult
KeyValueStore::DoRange(const RangeOp& aOp) const
{
  return RangeResult{ Select(m_entries, aOp.m_range) };
}

void
KeyValueStore::Erase(const std::string& aKey)
{
  m_entries.erase(aKey);
  StoreChange change;
  change.m_deleted = true;
  change.m_entry.m_key = aKey;
  change.m_entry.m_modRevision = m_writeRevision;
  Remember(std::move(change));
}

void
KeyValueStore::Remember(StoreChange aChange)
{
  m_changes.push_back(std::move(aChange));
  if (m_changes.size() > kMaxChanges) {
    m_oldestChange = m_changes.front().m_entry.m_modRevision + 1;
    m_changes.pop_front();
  }
}

void
KeyValueStore::BeginWrite()
{
  m_writeRevision = m_revision + 1;
}

void
KeyValueStore::EndWrite()
{
  const bool wrote = !m_changes.empty() &&
                     m_changes.back().m_entry.m_modRevision == m_writeRevision;
  if (wrote) {
    m_revision = m_writeRevision;
  }
}

Lease
KeyValueStore::GrantLease(std::int64_t aId,
                          std::chrono::seconds aTtl,
                          std::chrono::microseconds aNow)
{
  const std::int64_t id = aId != 0 ? aId : ++m_lastLease;
  const Lease lease{ id, aTtl, aNow + aTtl };
  m_leases[id] = lease;
  return lease;
}

std::optional<Lease>
KeyValueStore::KeepLease(std::int64_t aId, std::chrono::microseconds aNow)
{
  const auto found = m_leases.find(aId);
  if (found == m_leases.end()) {
    return std::nullopt;
  }
  found->second.m_end = aNow + found->second.m_ttl;
  return found->second;
}

void
KeyValueStore::RevokeLease(std::int64_t aId)
{
  if (m_leases.erase(aId) == 0) {
    throw LeaseNotFound();
  }
  std::vector<std::string> keys;
  for (const auto& [key, entry] : m_entries) {
    if (entry.m_lease == aId) {
      keys.push_back(key);
    }
  }
  BeginWrite();
  for (const std::string& key : keys) {
    Erase(key);
  }
  EndWrite();
}

void
KeyValueStore::ExpireLeases(std::chrono::microseconds aNow)
{
  std::vector<std::int64_t> lapsed;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_end <= aNow) {
      lapsed.push_back(id);
    }
  }
  for (const std::int64_t id : lapsed) {
    RevokeLease(id);
  }
}

void
KeyValueStore::RenewAllLeases(std::chrono::microseconds aNow)
{
  for (auto& [id, lease] : m_leases) {
    lease.m_end = aNow + lease.m_ttl;
  }
}

void
KeyValueStore::ForgetChanges()
{
  m_changes.clear();
  m_oldestChange = m_revision + 1;
}

std::vector<StoreChange>
KeyValueStore::ChangesSince(std::int64_t aRevision) const
{
  const auto first =
    std::lower_bound(m_changes.begin(),
                     m_changes.end(),
                     aRevision,
                     [](const StoreChange& aChange, std::int64_t aBound) {
                       return aChange.m_entry.m_modRevision < aBound;
                     });
  return { first, m_changes.end() };
}

} // namespace mulberrysail::standins
