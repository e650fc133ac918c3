#pragma once

#include "bench/internal/arrival.h"
#include "bench/internal/outcome.h"
#include "network/ihttpclient.h"

#include <span>
#include <string>
#include <vector>

namespace mulberrysail::bench {

/** Where the load goes. */
struct LoadTarget
{
  /** http://IP:port of each entry, as callers reach it. */
  std::vector<std::string> m_entries;
  std::string m_service;
};

/**
 * Sends each arrival at its time and waits for all answers.
 * @return one outcome for each arrival, in their order.
 */
std::vector<Outcome>
DriveLoad(network::IHttpClient& aClient,
          const LoadTarget& aTarget,
          std::span<const Arrival> aArrivals);

} // namespace mulberrysail::bench
