#include "core/internal/entry/lostruns.h"

#include <algorithm>

namespace mulberrysail::core {

const std::string&
NameOf(const Submission& aSubmission, const WorkItem& aItem)
{
  return aSubmission.m_key ? aSubmission.m_key->m_key : aItem.m_name;
}

bool
MustGiveUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem)
{
  const std::string& name = NameOf(aSubmission, aItem);
  const std::size_t lost =
    std::max<std::size_t>(aItem.m_lostRuns, aBoard.m_crashes.LostRunsOf(name));
  return lost >= aBoard.m_policy.m_maxLostRuns ||
         aBoard.m_crashes.IsProven(name);
}

std::string
WhyGivenUp(const EntryBoard& aBoard,
           const Submission& aSubmission,
           const WorkItem& aItem)
{
  const std::string& name = NameOf(aSubmission, aItem);
  const std::string known = aBoard.m_crashes.Describe(name);
  return name + ": " +
         (known.empty() ? std::to_string(aItem.m_lostRuns) + " runs were lost"
                        : known);
}

} // namespace mulberrysail::core
