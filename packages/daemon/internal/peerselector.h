#pragma once

#include "core/types/time.h"
#include "network/imessagetransport.h"
#include "store/ientrydirectory.h"
#include "telemetry/ieventlog.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/**
 * Selects the entries to connect to. An entry that is no longer listed stays
 * selected for kUnlistedRetention: its registration in the store may have
 * expired although the entry still runs and waits for replies. Not thread-safe.
 */
class PeerSelector
{
public:
  /** How long an entry stays selected after it is no longer listed. */
  static constexpr core::Duration kUnlistedRetention = std::chrono::minutes(1);

  /** @param aStaticUrls URLs that are always selected. */
  explicit PeerSelector(std::vector<std::string> aStaticUrls);

  /**
   * Updates the selection.
   * @param aNow the monotonic time.
   * @param aListed the entries that are listed now.
   * @return all addresses to connect to.
   */
  std::vector<network::PeerAddress> Update(
    core::Instant aNow,
    const std::vector<store::EntryRecord>& aListed);

private:
  std::vector<std::string> m_staticUrls;
  /** When the selection of each address expires; kNever for listed and static
   * addresses. */
  std::map<std::string, core::Instant> m_expiry;
};

/**
 * @return the entries of @p aListed to which @p aSelf connects. Of two entries,
 * the one with the smaller name connects to the other, so that there is one
 * connection between them.
 */
std::vector<store::EntryRecord>
PeersToConnect(const std::vector<store::EntryRecord>& aListed,
               const core::ProcessId& aSelf);

/** @return the ids of the listed entries, except those named @p aSelf. Records
 * without an id are skipped: the fallback list of the entry directory has only
 * addresses. */
std::vector<core::ProcessId>
IdsExceptSelf(const std::vector<store::EntryRecord>& aListed,
              std::string_view aSelf);

/** @return a hook of the entry directory that records records that can't be
 * read. @p aEvents must outlive it. */
std::function<void(const std::string&)>
MakeUnreadableEntryHook(telemetry::IEventLog& aEvents);

} // namespace mulberrysail::daemon
