#pragma once

#include "daemon/internal/counterrows.h"
#include "network/imessagetransport.h"
#include "telemetry/ieventlog.h"
#include "telemetry/logoutput.h"

#include <prometheus/metric_family.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::daemon {

/** The metrics of one response to Prometheus. All names begin with
 * `mulberrysail_`. */
class MetricList
{
public:
  /** Adds a counter and appends `_total` to its name. */
  void AddCounter(std::string_view aName,
                  std::string_view aHelp,
                  std::uint64_t aValue);

  void AddGauge(std::string_view aName,
                std::string_view aHelp,
                std::uint64_t aValue);

  /** Adds all counters of a core, their names prefixed with @p aPrefix. */
  template<typename Counters>
  void AddCoreCounters(std::string_view aPrefix,
                       std::span<const CounterRow<Counters>> aRows,
                       const Counters& aCounters)
  {
    for (const CounterRow<Counters>& row : aRows) {
      const std::string name =
        std::string(aPrefix) + "_" + std::string(row.m_name);
      const std::uint64_t value = aCounters.*row.m_member;
      row.m_isGauge ? AddGauge(name, row.m_help, value)
                    : AddCounter(name, row.m_help, value);
    }
  }

  /** Adds the processor time used by this process. */
  void AddProcess();
  void AddTransport(const network::TransportCounters& aCounters);
  void AddLog(const telemetry::LogCounters& aCounters);

  /** Adds a counter with the name of the event as its label. */
  void AddEvents(const telemetry::EventCounts& aCounts);

  void Append(std::vector<prometheus::MetricFamily> aFamilies);

  /** @return all metrics in the Prometheus text format. */
  std::string Text() const;

private:
  void Add(std::string aName,
           std::string_view aHelp,
           prometheus::MetricType aType,
           std::uint64_t aValue);

  std::vector<prometheus::MetricFamily> m_families;
};

} // namespace mulberrysail::daemon
