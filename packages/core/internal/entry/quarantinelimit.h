#pragma once

#include "core/internal/entry/entryboard.h"

namespace mulberrysail::core {

/** Limits how many workers of a service get no work because their runs fail.
 * An agent sees its own workers only, and takes each out of use whose runs
 * fail. If runs fail on more workers than EntryPolicy::m_maxQuarantinedPercent,
 * the cause is none of them, and the agents are asked to use all. */
class QuarantineLimit
{
public:
  explicit QuarantineLimit(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Handles a change of the announced workers. */
  void Apply(EntryEventContext& aContext);

  /** Renews what the agents were asked for. */
  void OnTimer(EntryEventContext& aContext);

private:
  /** @return the services of which too many workers fail. */
  std::set<std::string, std::less<>> FailingServices() const;

  EntryBoard& m_board;
};

} // namespace mulberrysail::core
