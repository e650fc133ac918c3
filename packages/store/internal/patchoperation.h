#pragma once

#include "store/iconfigservice.h"
#include "store/internal/backoff.h"
#include "store/internal/storedconfig.h"

#include <functional>
#include <memory>
#include <optional>

namespace mulberrysail::store {

/** Called once with the configuration that holds the accepted patch. The
 * second one is the version that the patch became, which may be older. */
using PatchDoneCallback =
  std::function<void(core::Result<StoredConfig>, core::ConfigVersion)>;

/**
 * Brings one patch to its end: one compare-and-swap where all goes well. When
 * its answer is lost, the history is read back. A write that has not shown may
 * still be on its way, so it is tried again under the same revision: at most
 * one of the two can succeed.
 */
class PatchOperation : public std::enable_shared_from_this<PatchOperation>
{
public:
  /** @param aInForce the version in force in this process; what is read must
   * not be older. */
  PatchOperation(IStore& aStore,
                 ITimer& aTimer,
                 std::uint32_t aSeed,
                 ConfigPatch aPatch,
                 core::ConfigVersion aInForce,
                 PatchDoneCallback aDone);

  /** @param aLastStored the stored value as last seen, which saves a read. */
  void Start(const std::optional<StoredConfig>& aLastStored);

private:
  void Read();
  void OnRead(const core::Result<StoreRead>& aRead);
  void Evaluate(const StoredConfig& aStored);
  void TryWrite(const StoredConfig& aStored);
  void OnWritten(WriteOutcome aOutcome, const StoredConfig& aNext);
  /** Reads again later, or gives up. */
  void Retry(const std::string& aDetail);
  void Fail(core::ErrorKind aKind, const std::string& aDetail);

  IStore& m_store;
  ITimer& m_timer;
  Backoff m_backoff;
  const ConfigPatch m_patch;
  /** The newest version seen; a read of an older one is stale. */
  core::ConfigVersion m_minVersion;
  PatchDoneCallback m_done;
  const core::Instant m_deadline;
  /** A write was sent whose outcome isn't known. */
  bool m_writeUncertain = false;
};

} // namespace mulberrysail::store
