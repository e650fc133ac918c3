#pragma once

#include "core/types/result.h"
#include "core/types/time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Access to the platform's key-value store. The data model is that of etcd v3:
 * revisions, leases and watches. */
namespace mulberrysail::store {

struct StoredValue
{
  std::string m_key;
  std::string m_value;
  /** The store's revision at the last write to the key; 0 if the key does not
   * exist. */
  std::int64_t m_modRevision = 0;
  /** Of a change reported by a watch: the store's revision of the change, also
   * for a deletion. 0 for a value that was read. */
  std::int64_t m_changeRevision = 0;
  /** Of a change reported by a watch: whether further changes of the same
   * revision follow, as one transaction may change several keys. */
  bool m_moreAtRevision = false;
};

/** Sets StoredValue::m_moreAtRevision of the changes in one message of a watch.
 * A store reports all changes of one transaction in one message. */
void
MarkTransactions(std::vector<StoredValue>& aChanges);

struct StoreRead
{
  /** The store's revision at the time of the read. */
  std::int64_t m_revision = 0;
  std::vector<StoredValue> m_values;
};

/** The result of a write. */
enum class WriteOutcome : std::uint8_t
{
  Written,
  /** The compare failed; nothing was written. */
  Conflict,
  /** The request was not sent, or was rejected; nothing was written. */
  NotWritten,
  /** No usable response was received; the value may have been written. */
  Uncertain,
};

/** A client of the key-value store. Calls never block; callbacks run on the
 * client's thread. */
class IStore
{
public:
  virtual ~IStore() = default;

  /** Reads the value of @p aKey, or the values of all keys that begin with
   * @p aKey.
   * @param aIsPrefix whether @p aKey is a prefix.
   * @param aCallback receives StoreUnavailable if no response arrived in time,
   * or if it did not have the expected form. */
  virtual void Read(const std::string& aKey,
                    bool aIsPrefix,
                    std::function<void(core::Result<StoreRead>)> aCallback) = 0;

  /** Writes @p aValue if the key's revision is still @p aModRevision (0: the
   * key does not exist).
   * @param aLease if present, the key is deleted when this lease ends. */
  virtual void CompareAndSwap(const std::string& aKey,
                              std::int64_t aModRevision,
                              const std::string& aValue,
                              std::optional<std::int64_t> aLease,
                              std::function<void(WriteOutcome)> aCallback) = 0;

  /** Writes a value unconditionally.
   * @param aLease if present, the key is deleted when this lease ends. */
  virtual void Put(const std::string& aKey,
                   const std::string& aValue,
                   std::optional<std::int64_t> aLease,
                   std::function<void(WriteOutcome)> aCallback) = 0;

  /** Deletes a key. Deleting a key that does not exist counts as written. */
  virtual void Delete(const std::string& aKey,
                      std::function<void(WriteOutcome)> aCallback) = 0;

  /** Creates a lease that expires if it is not renewed within @p aTtl.
   * @param aCallback receives the id of the lease. */
  virtual void GrantLease(
    std::chrono::seconds aTtl,
    std::function<void(core::Result<std::int64_t>)> aCallback) = 0;

  /** Renews a lease.
   * @param aCallback receives whether the lease still exists. */
  virtual void KeepLeaseAlive(
    std::int64_t aLease,
    std::function<void(core::Result<bool>)> aCallback) = 0;

  virtual void RevokeLease(std::int64_t aLease) = 0;

  /** Watches all keys that begin with @p aPrefix.
   * @param aFromRevision the first revision whose changes are reported.
   * @param aOnChange receives each change, in the order of the revisions; a
   * deleted key has an m_modRevision of 0.
   * @param aOnEnd called once when the watch has ended, because of an error or
   * because no data was received for too long. */
  virtual void Watch(const std::string& aPrefix,
                     std::int64_t aFromRevision,
                     std::function<void(StoredValue)> aOnChange,
                     std::function<void(core::Error)> aOnEnd) = 0;

  /** @return the maximum delay between two attempts of a failing call. */
  virtual core::Duration MaxRetryDelay() const
  {
    return std::chrono::seconds(5);
  }

  /** @return the number of requests sent to the store so far, including retries
   * on other members and watches. */
  virtual std::uint64_t Calls() const = 0;
};

} // namespace mulberrysail::store
