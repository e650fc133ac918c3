#pragma once

#include "core/internal/entry/entryboard.h"

#include <optional>

namespace mulberrysail::core {

/** Older figures of other entries' work are ignored. Work waits for less than
 * this in most cases, since most objectives are shorter. */
constexpr Duration kMaxDemandAge = std::chrono::milliseconds(300);

/** The work that waits at other entries, as agents report it. */
struct OthersWork
{
  /** Zero if no figure is recent. */
  Duration m_coreTime{};
  /** Age of the newest figure of any agent, recent or not; absent if there is
   * none. */
  std::optional<Duration> m_age;
};

/** The demand of this entry and of the others for free capacity. */
class DemandView
{
public:
  explicit DemandView(const EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** @return what waits at this entry, on the clock of @p aAgent. */
  Demand StatementTo(const AgentRecord& aAgent) const;

  /** @return the core time that waits at other entries with the priority
   * @p aPriority or a more urgent one: the median of the agents' recent
   * figures. */
  OthersWork OthersUpTo(Instant aNow, std::uint32_t aPriority) const;

private:
  const EntryBoard& m_board;
};

} // namespace mulberrysail::core
