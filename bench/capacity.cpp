#include "bench/internal/coremeasure.h"

#include <nlohmann/json.hpp>

#include <iostream>

/** Prints the points from which docs/CAPACITY.md takes its slopes. */
int
main()
{
  using namespace mulberrysail::bench;
  constexpr std::uint32_t kRequests = 20000;
  constexpr std::uint32_t kJobs = 100;
  nlohmann::json points;
  for (const std::uint32_t agents : { 3U, 11U, 100U, 1000U, 10000U }) {
    points["entry_requests"].push_back(MeasureEntryRequests(agents, kRequests));
    points["entry_jobs"].push_back(MeasureEntryJobs(agents, 290, kJobs));
  }
  for (const std::uint32_t teams : { 1U, 10U, 180U, 1800U }) {
    points["configuration"].push_back(MeasureConfiguration(teams));
  }
  for (const std::uint32_t entries : { 1U, 3U, 10U, 30U }) {
    points["agent"].push_back(MeasureAgent(entries, kRequests));
  }
  std::cout << points.dump(2) << std::endl;
  return 0;
}
