#pragma once

#include "store/iconfigservice.h"
#include "store/internal/backoff.h"
#include "store/internal/storedconfig.h"

#include <functional>
#include <memory>
#include <optional>

namespace mulberrysail::store {

/** Called once, with a configuration that contains the accepted patch and the
 * version created by the patch. The configuration may be of a later version,
 * if further patches were accepted since. */
using PatchDoneCallback =
  std::function<void(core::Result<StoredConfig>, core::ConfigVersion)>;

/**
 * Applies one patch to the stored configuration; in the normal case this takes
 * one compare-and-swap. If the response is lost, the operation reads the
 * configuration back and looks for the patch in its history. A write that is
 * not in the history may still be in flight, so it is retried with the same
 * revision: at most one of the two writes can succeed.
 */
class PatchOperation : public std::enable_shared_from_this<PatchOperation>
{
public:
  /** @param aInForce the version in force in this process; an older version
   * read from the store is treated as stale. */
  PatchOperation(IStore& aStore,
                 ITimer& aTimer,
                 std::uint32_t aSeed,
                 ConfigPatch aPatch,
                 core::ConfigVersion aInForce,
                 PatchDoneCallback aDone);

  /** @param aLastStored the stored configuration as last seen by this process.
   * It saves a read if the patch applies to it. */
  void Start(const std::optional<StoredConfig>& aLastStored);

private:
  void Read();
  void OnRead(const core::Result<StoreRead>& aRead);
  /** Finishes the operation or writes the patch, depending on the patch's
   * status in @p aStored. */
  void Evaluate(const StoredConfig& aStored);
  void TryWrite(const StoredConfig& aStored);
  void OnWritten(WriteOutcome aOutcome, const StoredConfig& aNext);
  /** Reads again after a backoff delay, or fails if the deadline would pass.
   * @param aDetail the error detail to report if the deadline would pass. */
  void Retry(const std::string& aDetail);
  /** Reports @p aKind, or PatchUncertain if a write may have taken effect. */
  void Fail(core::ErrorKind aKind, const std::string& aDetail);

  IStore& m_store;
  ITimer& m_timer;
  Backoff m_backoff;
  const ConfigPatch m_patch;
  /** The newest version seen; a read that returns an older one is stale. */
  core::ConfigVersion m_minVersion;
  PatchDoneCallback m_done;
  const core::Instant m_deadline;
  /** The patch may have been accepted: a write was sent whose outcome is
   * unknown, or the history no longer reaches back to the patch. */
  bool m_writeUncertain = false;
};

} // namespace mulberrysail::store
