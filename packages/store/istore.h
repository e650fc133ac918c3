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

/** The platform's key-value service, in the JSON shape of etcd v3. */
namespace mulberrysail::store {

struct StoredValue
{
  std::string m_key;
  std::string m_value;
  /** The store's revision of the last write to the key; 0 if absent. */
  std::int64_t m_modRevision = 0;
};

struct StoreRead
{
  /** The store's revision when it answered. */
  std::int64_t m_revision = 0;
  std::vector<StoredValue> m_values;
};

/** How a write ended. */
enum class WriteOutcome : std::uint8_t
{
  Written,
  /** The compare failed; nothing was written. */
  Conflict,
  /** Nothing was sent; nothing was written. */
  NotWritten,
  /** No answer came: it may have been written. */
  Uncertain,
};

/** Calls to the store never block; callbacks come from the client's thread. */
class IStore
{
public:
  virtual ~IStore() = default;

  /** Reads a key, or all keys that begin with it. StoreUnavailable if no
   * answer came in time. */
  virtual void Read(const std::string& aKey,
                    bool aPrefix,
                    std::function<void(core::Result<StoreRead>)> aCallback) = 0;

  /** Writes @p aValue if the key's revision is still @p aModRevision (0: the
   * key doesn't exist). With a lease the key goes when the lease lapses. */
  virtual void CompareAndSwap(const std::string& aKey,
                              std::int64_t aModRevision,
                              const std::string& aValue,
                              std::optional<std::int64_t> aLease,
                              std::function<void(WriteOutcome)> aCallback) = 0;

  /** Writes without a compare. */
  virtual void Put(const std::string& aKey,
                   const std::string& aValue,
                   std::optional<std::int64_t> aLease,
                   std::function<void(WriteOutcome)> aCallback) = 0;

  virtual void GrantLease(
    std::chrono::seconds aTtl,
    std::function<void(core::Result<std::int64_t>)> aCallback) = 0;

  /** The result is whether the lease still exists. */
  virtual void KeepLeaseAlive(
    std::int64_t aLease,
    std::function<void(core::Result<bool>)> aCallback) = 0;

  virtual void RevokeLease(std::int64_t aLease) = 0;

  /** Watches all keys that begin with @p aPrefix from @p aFromRevision on.
   * @p aOnChange gets each new value (an absent one has revision 0);
   * @p aOnEnd comes once when the watch has ended, by an error or silence. */
  virtual void Watch(const std::string& aPrefix,
                     std::int64_t aFromRevision,
                     std::function<void(StoredValue)> aOnChange,
                     std::function<void(core::Error)> aOnEnd) = 0;

  /** @return how long to wait at most between two tries of a call that has
   * failed. */
  virtual core::Duration MaxRetryDelay() const
  {
    return std::chrono::seconds(5);
  }

  /** @return calls made so far, watches included. */
  virtual std::uint64_t Calls() const = 0;
};

} // namespace mulberrysail::store
