#pragma once

#include "core/types/time.h"
#include "network/imessagetransport.h"
#include "store/ientrydirectory.h"

#include <map>
#include <string>
#include <vector>

namespace mulberrysail::daemon {

/**
 * Chooses the entries to dial. One that is no longer listed is still dialled
 * for a while: the store may have lost sight of an entry that works, and
 * replies to it must not be cut off. Not thread-safe.
 */
class PeerSelector
{
public:
  /** An entry that is no longer listed is dialled for so long. */
  static constexpr core::Duration kUnlistedRetention = std::chrono::minutes(1);

  /** @param aStaticUrls URLs that are dialled whatever is listed. */
  explicit PeerSelector(std::vector<std::string> aStaticUrls);

  /**
   * @param aNow the monotonic time.
   * @param aListed the entries to dial, as listed now.
   * @return all to dial.
   */
  std::vector<network::PeerAddress> Update(
    core::Instant aNow,
    const std::vector<store::EntryRecord>& aListed);

private:
  std::vector<std::string> m_staticUrls;
  /** Until when each address is dialled. */
  std::map<std::string, core::Instant> m_expiry;
};

/**
 * @param aSelf the entry that asks.
 * @return those of @p aListed that it dials: of two entries the one with the
 * smaller name dials the other, so that they have one link.
 */
std::vector<store::EntryRecord>
PeersToConnect(const std::vector<store::EntryRecord>& aListed,
               const core::ProcessId& aSelf);

/** @return the ids in a list, but for those called @p aSelf; records of the
 * fallback have none. */
std::vector<core::ProcessId>
IdsExceptSelf(const std::vector<store::EntryRecord>& aListed,
              std::string_view aSelf);

} // namespace mulberrysail::daemon
