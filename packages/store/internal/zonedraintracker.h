#pragma once

#include "core/types/zonedrains.h"
#include "store/internal/unreadablevalues.h"
#include "store/istore.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mulberrysail::store {

/** What the value of a drain key contains. */
enum class DrainValueFormat : std::uint8_t
{
  /** Anything; the value is not parsed. */
  Any,
  /** `{"since_ms": <Unix time>}` */
  Json,
};

/**
 * Derives the drained zones from the reads and changes of a watched prefix.
 *
 * The list always is the store's state at one revision, and its revision never
 * goes back: reads and changes up to the revision reached are ignored. Changes
 * of one transaction are applied together, as two lists with the same revision
 * must not differ. Not thread-safe.
 */
class ZoneDrainTracker
{
public:
  /** @param aPrefix the drain keys begin with this; the rest is the zone.
   * @param aOnUnreadable called once for each write of a key without a zone, or
   * with a value that cannot be parsed. */
  ZoneDrainTracker(std::string aPrefix,
                   DrainValueFormat aFormat,
                   UnreadableValues::Hook aOnUnreadable);

  /** Replaces the state by a read of the watched prefix. The read may have been
   * made in pages, so that values may be newer than its revision.
   * @return whether Drains() has changed or is known for the first time. */
  bool ApplyRead(const StoreRead& aRead);

  /** Applies one change of the watch, of any key.
   * @return whether Drains() has changed or is known for the first time. */
  bool ApplyChange(const StoredValue& aChange);

  /** @return the list; nothing before the first read. */
  const std::optional<core::ZoneDrains>& Drains() const { return m_drains; }

  /** @return the drained zones of which the value says since when. */
  std::map<std::string, std::chrono::milliseconds> Times() const;

private:
  using Since = std::optional<std::chrono::milliseconds>;

  /** Applies the value of a drain key, or its deletion. */
  void ApplyDrainKey(const StoredValue& aValue);
  Since ParseSince(const StoredValue& aValue);
  bool UpdateList();

  const std::string m_prefix;
  const DrainValueFormat m_format;
  /** The revision up to which all changes are applied; 0 before the first
   * read. */
  std::int64_t m_revision = 0;
  /** The newest value in the last read. Until the watch has reached this
   * revision, the zones may be those of no single revision. */
  std::int64_t m_newestRead = 0;
  std::map<std::string, Since> m_zones;
  UnreadableValues m_unreadable;
  std::optional<core::ZoneDrains> m_drains;
};

} // namespace mulberrysail::store
