#pragma once

#include "support/cluster.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberrysail::testsupport {

/** Reads the configuration versions of daemons again and again and notes any
 * that goes back, also over a restart. Zero means that a process has no
 * configuration yet. */
class VersionObserver
{
public:
  VersionObserver(Cluster& aCluster, std::vector<std::string> aMembers);

  /** Reads the version of each member that answers. */
  void Poll();

  /** Polls till each member has at least @p aVersion in force.
   * @return whether it came to that. */
  bool WaitFor(std::uint64_t aVersion, std::chrono::milliseconds aTimeout);

  /** @return how long after @p aSince the first and the last member had
   * @p aVersion, in words. */
  std::string Spread(std::uint64_t aVersion,
                     std::chrono::steady_clock::time_point aSince) const;

  /** @return the last version read of a member. */
  std::uint64_t VersionOf(const std::string& aMember) const;

  /** @return each step back, in words. */
  const std::vector<std::string>& StepsBack() const { return m_stepsBack; }

private:
  struct Observed
  {
    std::uint64_t m_current = 0;
    std::uint64_t m_highest = 0;
    /** When each version was first seen. */
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_seen;
  };

  void Note(const std::string& aMember,
            std::uint64_t aIncarnation,
            std::uint64_t aVersion);

  Cluster& m_cluster;
  std::map<std::string, Observed> m_members;
  std::map<std::string, std::uint64_t> m_incarnations;
  std::vector<std::string> m_stepsBack;
};

} // namespace mulberrysail::testsupport
