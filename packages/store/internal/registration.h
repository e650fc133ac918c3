#pragma once

#include "store/internal/backoff.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mulberrysail::store {

/** Registers a key in the store under a lease and renews the lease. At any time
 * at most one call to the store or one timer is pending, apart from the
 * revocation in Leave(). */
class Registration : public std::enable_shared_from_this<Registration>
{
public:
  Registration(IStore& aStore,
               ITimer& aTimer,
               std::string aKey,
               std::string aValue,
               std::chrono::seconds aTtl,
               std::uint32_t aSeed);

  /** Registers the key, or renews the lease if there already is one. */
  void Start();

  /** States whether the store was last seen to hold this registration under its
   * key. If not, the key is written again with the next renewal. */
  void SetListed(bool aListed);

  /** Revokes the lease, which deletes the key. */
  void Leave();

  /** Stops renewing the lease, so that the key expires. */
  void Stop();

private:
  void Grant();
  void Put();
  void Renew();
  /** Schedules the next renewal at the regular interval. */
  void ScheduleRenewal();
  /** Schedules a retry after a failed call. The delay backs off up to the
   * renewal interval. */
  void ScheduleRetry();
  /** Calls Start() after the delay. */
  void ScheduleStep(core::Duration aDelay);

  /** Stores a granted lease, unless the registration has ended.
   * @return whether the lease was stored. */
  bool SetLease(std::int64_t aLease);
  std::optional<std::int64_t> Lease() const;
  bool Ended() const;

  IStore& m_store;
  ITimer& m_timer;
  const std::string m_key;
  const std::string m_value;
  const std::chrono::seconds m_ttl;
  Backoff m_backoff;
  /** Whether the key is known to be written under the current lease. */
  bool m_keyWritten = false;
  std::atomic<bool> m_listed{ true };

  mutable std::mutex m_mutex;
  std::optional<std::int64_t> m_lease;
  bool m_ended = false;
};

} // namespace mulberrysail::store
