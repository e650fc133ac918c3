#include "store/internal/patchoperation.h"

#include <utility>

namespace mulberrysail::store {

namespace {

/** No retry is started later than this after the start of the operation. */
constexpr core::Duration kOperationTimeout = std::chrono::seconds(8);

StoredValue
FindValue(const StoreRead& aRead)
{
  for (const StoredValue& value : aRead.m_values) {
    if (value.m_key == kConfigKey) {
      return value;
    }
  }
  return {};
}

} // namespace

PatchOperation::PatchOperation(IStore& aStore,
                               ITimer& aTimer,
                               std::uint32_t aSeed,
                               ConfigPatch aPatch,
                               core::ConfigVersion aInForce,
                               PatchDoneCallback aDone)
  : m_store(aStore)
  , m_timer(aTimer)
  , m_backoff(aSeed, aStore.MaxRetryDelay())
  , m_patch(std::move(aPatch))
  , m_minVersion(aInForce)
  , m_done(std::move(aDone))
  , m_deadline(aTimer.Now() + kOperationTimeout)
{
}

void
PatchOperation::Start(const std::optional<StoredConfig>& aLastStored)
{
  if (!aLastStored || aLastStored->m_version < m_minVersion) {
    Read();
    return;
  }
  const PatchStatus status =
    StatusOfPatch(*aLastStored, m_patch.m_baseVersion, m_patch.m_id);
  if (status == PatchStatus::Accepted || status == PatchStatus::Applicable) {
    Evaluate(*aLastStored);
  } else {
    // The last configuration seen may be outdated, and a patch must not be
    // rejected because of outdated data.
    Read();
  }
}

void
PatchOperation::Read()
{
  m_store.Read(
    std::string(kConfigKey),
    false,
    [self = shared_from_this()](const core::Result<StoreRead>& aRead) {
      self->OnRead(aRead);
    });
}

void
PatchOperation::OnRead(const core::Result<StoreRead>& aRead)
{
  if (aRead.has_error()) {
    Retry(aRead.error().m_detail);
    return;
  }
  const core::Result<StoredConfig> stored =
    ParseStoredConfig(FindValue(aRead.value()));
  if (stored.has_error()) {
    Fail(core::ErrorKind::Internal, stored.error().m_detail);
  } else if (stored.value().m_version < m_minVersion) {
    Retry("the store's configuration is older than one seen before");
  } else {
    Evaluate(stored.value());
  }
}

void
PatchOperation::Evaluate(const StoredConfig& aStored)
{
  m_minVersion = aStored.m_version;
  switch (StatusOfPatch(aStored, m_patch.m_baseVersion, m_patch.m_id)) {
    case PatchStatus::Accepted:
      m_done(aStored, *AcceptedVersion(aStored, m_patch.m_id));
      return;
    case PatchStatus::Applicable:
      TryWrite(aStored);
      return;
    case PatchStatus::Superseded:
      // The patch was not accepted, and no write still in flight can succeed,
      // because the key's revision has changed.
      m_writeUncertain = false;
      Fail(core::ErrorKind::VersionConflict,
           "the newest version is " +
             std::to_string(aStored.m_version.m_value));
      return;
    case PatchStatus::OutsideHistory:
      m_writeUncertain = true;
      Fail(core::ErrorKind::VersionConflict,
           "the patch is older than the history of the newest version, " +
             std::to_string(aStored.m_version.m_value));
      return;
  }
}

void
PatchOperation::TryWrite(const StoredConfig& aStored)
{
  const core::Result<StoredConfig> next =
    ApplyPatch(aStored, m_patch.m_id, m_patch.m_patch);
  if (next.has_error()) {
    Fail(next.error().m_kind, next.error().m_detail);
    return;
  }
  m_store.CompareAndSwap(
    std::string(kConfigKey),
    aStored.m_modRevision,
    SerializeStoredConfig(next.value()),
    std::nullopt,
    [self = shared_from_this(), next = next.value()](WriteOutcome aOutcome) {
      self->OnWritten(aOutcome, next);
    });
}

void
PatchOperation::OnWritten(WriteOutcome aOutcome, const StoredConfig& aNext)
{
  switch (aOutcome) {
    case WriteOutcome::Written:
      m_done(aNext, aNext.m_version);
      return;
    case WriteOutcome::Conflict:
      // The key may have been changed by another patch or by an earlier write
      // of this patch. The history returned by the next read shows which patch
      // it was.
      Retry("the configuration changes too often");
      return;
    case WriteOutcome::NotWritten:
      Retry("the store can't be reached");
      return;
    case WriteOutcome::Uncertain:
      m_writeUncertain = true;
      Retry("the store's answer was lost");
      return;
  }
}

void
PatchOperation::Retry(const std::string& aDetail)
{
  const core::Duration delay = m_backoff.Next();
  if (m_timer.Now() + delay > m_deadline) {
    Fail(core::ErrorKind::StoreUnavailable, aDetail);
    return;
  }
  m_timer.After(delay, [self = shared_from_this()] { self->Read(); });
}

void
PatchOperation::Fail(core::ErrorKind aKind, const std::string& aDetail)
{
  m_done(core::Fail(m_writeUncertain ? core::ErrorKind::PatchUncertain : aKind,
                    aDetail),
         {});
}

} // namespace mulberrysail::store
