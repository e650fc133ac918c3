#pragma once

#include "standins/store/storetypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace mulberrysail::standins {

/** Keys with revisions, leases and a history of changes, in memory, as the
 * platform's store keeps them. */
class KeyValueStore
{
public:
  using Entries = std::map<std::string, KeyValue, std::less<>>;

  /** @return the revision of the last change. */
  std::int64_t Revision() const { return m_revision; }

  const Entries& All() const { return m_entries; }

  /** @return the entries of @p aEntries in a range, by key. */
  static std::vector<KeyValue> Select(const Entries& aEntries,
                                      const KeyRange& aRange);

  /** Compares and does one of the two lists, as a whole.
   * @throws LeaseNotFound if it names a lease that doesn't exist; then nothing
   * is done. */
  TxnResult Apply(const Txn& aTxn);

  /** @param aId 0 lets the store choose. @return the lease. */
  Lease GrantLease(std::int64_t aId,
                   std::chrono::seconds aTtl,
                   std::chrono::microseconds aNow);

  /** Renews a lease.
   * @return it, or nothing if it doesn't exist. */
  std::optional<Lease> KeepLease(std::int64_t aId,
                                 std::chrono::microseconds aNow);

  /** Ends a lease and deletes its keys.
   * @throws LeaseNotFound */
  void RevokeLease(std::int64_t aId);

  /** Ends the leases that have lapsed. */
  void ExpireLeases(std::chrono::microseconds aNow);

  /** Gives all leases their whole time again, as a new leader does. */
  void RenewAllLeases(std::chrono::microseconds aNow);

  /** @return the changes from @p aRevision on, oldest first. */
  std::vector<StoreChange> ChangesSince(std::int64_t aRevision) const;

  /** Forgets all changes, so that watches from before can't go on. */
  void ForgetChanges();
  /** @return the oldest revision from which changes are still known. */
  std::int64_t OldestChange() const { return m_oldestChange; }

private:
  bool Holds(const Compare& aCompare) const;
  void CheckLeases(const std::vector<StoreOp>& aOps) const;
  OpResult Do(const StoreOp& aOp);
  OpResult DoPut(const PutOp& aOp);
  OpResult DoDelete(const DeleteOp& aOp);
  OpResult DoRange(const RangeOp& aOp) const;
  void Erase(const std::string& aKey);
  void Remember(StoreChange aChange);
  /** All changes until EndWrite() get one revision. */
  void BeginWrite();
  void EndWrite();

  std::int64_t m_revision = 1;
  std::int64_t m_writeRevision = 1;
  std::int64_t m_oldestChange = 1;
  std::int64_t m_lastLease = 0;
  Entries m_entries;
  std::map<std::int64_t, Lease> m_leases;
  std::deque<StoreChange> m_changes;
};

} // namespace mulberrysail::standins
