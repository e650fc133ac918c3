#pragma once

#include "store/internal/backoff.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mulberrysail::store {

/** Keeps one key in the store under a lease. It has one call to the store or
 * one timer under way at any time. */
class Registration : public std::enable_shared_from_this<Registration>
{
public:
  Registration(IStore& aStore,
               ITimer& aTimer,
               std::string aKey,
               std::string aValue,
               std::chrono::seconds aTtl,
               std::uint32_t aSeed);

  void Start();

  /** Ends the lease, and with it the key. */
  void Leave();

  /** Leaves the key to lapse. */
  void Stop();

private:
  void Grant();
  void Put();
  void Renew();
  /** Goes on at the usual interval. */
  void ScheduleRenewal();
  /** Goes on soon, after something failed. */
  void ScheduleRetry();
  void After(core::Duration aDelay);

  /** Takes a granted lease, unless the registration has ended.
   * @return whether it was taken. */
  bool SetLease(std::int64_t aLease);
  std::optional<std::int64_t> Lease() const;
  bool Ended() const;

  IStore& m_store;
  ITimer& m_timer;
  const std::string m_key;
  const std::string m_value;
  const std::chrono::seconds m_ttl;
  Backoff m_backoff;
  bool m_keyWritten = false;

  mutable std::mutex m_mutex;
  std::optional<std::int64_t> m_lease;
  bool m_ended = false;
};

} // namespace mulberrysail::store
