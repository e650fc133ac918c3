#include "support/versionobserver.h"

#include "support/waituntil.h"

#include <algorithm>

namespace mulberrysail::testsupport {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

} // namespace

VersionObserver::VersionObserver(Cluster& aCluster,
                                 std::vector<std::string> aMembers)
  : m_cluster(aCluster)
{
  for (std::string& member : aMembers) {
    m_members[std::move(member)];
  }
}

void
VersionObserver::Poll()
{
  for (const auto& [name, observed] : m_members) {
    const json status = m_cluster.Http().GetJson(
      m_cluster.Layout().DirectUrl(name) + "/v1/status");
    if (status.is_object()) {
      Note(name,
           status.at("incarnation").get<std::uint64_t>(),
           status.at("config_version").get<std::uint64_t>());
    }
  }
}

void
VersionObserver::Note(const std::string& aMember,
                      std::uint64_t aIncarnation,
                      std::uint64_t aVersion)
{
  Observed& observed = m_members.at(aMember);
  const bool restarted = m_incarnations[aMember] != aIncarnation;
  m_incarnations[aMember] = aIncarnation;
  const bool none = aVersion == 0 && (restarted || observed.m_current == 0);
  if (aVersion < observed.m_highest && !none) {
    m_stepsBack.push_back(aMember + " went back from " +
                          std::to_string(observed.m_highest) + " to " +
                          std::to_string(aVersion));
  }
  observed.m_current = aVersion;
  observed.m_highest = std::max(observed.m_highest, aVersion);
  observed.m_seen.emplace(aVersion, steady_clock::now());
}

bool
VersionObserver::WaitFor(std::uint64_t aVersion, milliseconds aTimeout)
{
  return WaitUntil(aTimeout, [&] {
    Poll();
    return std::all_of(
      m_members.begin(), m_members.end(), [&](const auto& aMember) {
        return aMember.second.m_current >= aVersion;
      });
  });
}

std::string
VersionObserver::Spread(std::uint64_t aVersion,
                        steady_clock::time_point aSince) const
{
  std::string text = "version " + std::to_string(aVersion) + " in force after";
  for (const auto& [name, observed] : m_members) {
    const auto seen = observed.m_seen.lower_bound(aVersion);
    text += " " + name + "=";
    if (seen == observed.m_seen.end()) {
      text += "never";
      continue;
    }
    const milliseconds after =
      std::chrono::duration_cast<milliseconds>(seen->second - aSince);
    text += std::to_string(after.count()) + "ms";
  }
  return text;
}

std::uint64_t
VersionObserver::VersionOf(const std::string& aMember) const
{
  return m_members.at(aMember).m_current;
}

} // namespace mulberrysail::testsupport
