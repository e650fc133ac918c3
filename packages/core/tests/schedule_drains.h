#pragma once

#include "core/types/time.h"
#include "core/types/zonedrains.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** The store's list of drained zones, and when each process of a schedule could
 * know of it. */
class ScheduleDrains
{
public:
  /** Agents are spread over this many zones. */
  static constexpr std::size_t kZones = 2;

  static std::string ZoneOf(std::size_t aAgent)
  {
    return "zone" + std::to_string(aAgent % kZones);
  }

  /** Drains the zone, or returns it to service.
   * @return the new list. */
  const ZoneDrains& Toggle(const std::string& aZone);

  const ZoneDrains& Store() const { return m_store; }

  /** Records that the entry received a list from the store. */
  void Informed(std::size_t aEntry, std::uint64_t aRevision, Instant aNow);
  /** Records that the entry was started; it has received no list. */
  void EntryBooted(std::size_t aEntry, Instant aNow);

  /** Records that a process with this name, or a link, is out of use until
   * @p aUntil. */
  void OutUntil(const std::string& aName, Instant aUntil);
  static std::string LinkName(const std::string& aLeft,
                              const std::string& aRight);

  /** @return the revision of the newest list that the entry received from the
   * store since its start; 0 for none. */
  std::uint64_t RevisionOf(std::size_t aEntry) const;

  /**
   * @param aEntries the entries that are alive and not paused.
   * @return from when the agent must know that its zone is drained, apart from
   * the time for messages: since then, it and an entry that has the store's
   * list were in use, with a link between them. kNever if its zone isn't
   * drained or no such entry is left.
   */
  Instant KnownSince(std::size_t aAgent,
                     const std::vector<std::size_t>& aEntries) const;

private:
  struct Notice
  {
    std::uint64_t m_revision = 0;
    Instant m_at;
  };

  Instant OutOf(const std::string& aName) const;

  ZoneDrains m_store;
  /** The revision at which each drained zone was drained. */
  std::map<std::string, std::uint64_t> m_drainedAt;
  std::map<std::size_t, std::vector<Notice>> m_notices;
  std::map<std::string, Instant> m_outUntil;
};

} // namespace mulberrysail::core
