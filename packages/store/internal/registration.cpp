#include "store/internal/registration.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::store {

namespace {

/** Renewals within one TTL of the lease. */
constexpr int kRenewalsPerLease = 3;

} // namespace

Registration::Registration(IStore& aStore,
                           ITimer& aTimer,
                           std::string aKey,
                           std::string aValue,
                           std::chrono::seconds aTtl,
                           std::uint32_t aSeed)
  : m_store(aStore)
  , m_timer(aTimer)
  , m_key(std::move(aKey))
  , m_value(std::move(aValue))
  , m_ttl(aTtl)
  , m_backoff(aSeed, aStore.MaxRetryDelay())
{
}

void
Registration::Start()
{
  if (Ended()) {
    return;
  }
  if (Lease()) {
    Renew();
  } else {
    Grant();
  }
}

void
Registration::SetListed(bool aListed)
{
  m_listed = aListed;
}

void
Registration::Leave()
{
  std::optional<std::int64_t> lease;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ended = true;
    lease = std::exchange(m_lease, std::nullopt);
  }
  if (lease) {
    m_store.RevokeLease(*lease);
  }
}

void
Registration::Stop()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_ended = true;
}

void
Registration::Grant()
{
  m_keyWritten = false;
  m_store.GrantLease(
    m_ttl,
    [self = shared_from_this()](const core::Result<std::int64_t>& aLease) {
      if (aLease.has_error()) {
        self->ScheduleRetry();
      } else if (self->SetLease(aLease.value())) {
        self->Put();
      } else {
        self->m_store.RevokeLease(aLease.value());
      }
    });
}

void
Registration::Put()
{
  const std::optional<std::int64_t> lease = Lease();
  if (!lease) {
    return;
  }
  m_store.Put(
    m_key, m_value, lease, [self = shared_from_this()](WriteOutcome aOutcome) {
      self->m_keyWritten = aOutcome == WriteOutcome::Written;
      if (self->m_keyWritten) {
        self->ScheduleRenewal();
      } else {
        self->ScheduleRetry();
      }
    });
}

void
Registration::Renew()
{
  const std::optional<std::int64_t> lease = Lease();
  if (!lease) {
    return;
  }
  m_store.KeepLeaseAlive(
    *lease, [self = shared_from_this()](const core::Result<bool>& aExists) {
      if (aExists.has_error()) {
        self->ScheduleRetry();
      } else if (!aExists.value()) {
        self->Grant();
      } else if (!self->m_keyWritten || !self->m_listed) {
        self->Put();
      } else {
        self->ScheduleRenewal();
      }
    });
}

void
Registration::ScheduleRenewal()
{
  m_backoff.Reset();
  ScheduleStep(m_ttl / kRenewalsPerLease);
}

void
Registration::ScheduleRetry()
{
  ScheduleStep(
    std::min<core::Duration>(m_backoff.Next(), m_ttl / kRenewalsPerLease));
}

void
Registration::ScheduleStep(core::Duration aDelay)
{
  m_timer.After(aDelay, [weak = weak_from_this()] {
    const std::shared_ptr<Registration> self = weak.lock();
    if (self) {
      self->Start();
    }
  });
}

bool
Registration::SetLease(std::int64_t aLease)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_ended) {
    return false;
  }
  m_lease = aLease;
  return true;
}

std::optional<std::int64_t>
Registration::Lease() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_lease;
}

bool
Registration::Ended() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_ended;
}

} // namespace mulberrysail::store
