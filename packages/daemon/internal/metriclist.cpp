#include "daemon/internal/metriclist.h"

#include "daemon/internal/processorsampler.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <iterator>
#include <utility>

namespace mulberrysail::daemon {

namespace {

constexpr std::string_view kPrefix = "mulberrysail_";

prometheus::MetricFamily
MakeCounterFamily(std::string_view aName, std::string_view aHelp)
{
  return { std::string(kPrefix) + std::string(aName) + "_total",
           std::string(aHelp),
           prometheus::MetricType::Counter,
           {} };
}

prometheus::ClientMetric
MakeLabelledCounter(std::string_view aLabel,
                    std::string_view aLabelValue,
                    std::uint64_t aValue)
{
  prometheus::ClientMetric metric;
  metric.label.push_back({ std::string(aLabel), std::string(aLabelValue) });
  metric.counter.value = static_cast<double>(aValue);
  return metric;
}

} // namespace

void
MetricList::AddCounter(std::string_view aName,
                       std::string_view aHelp,
                       std::uint64_t aValue)
{
  Add(std::string(aName) + "_total",
      aHelp,
      prometheus::MetricType::Counter,
      aValue);
}

void
MetricList::AddGauge(std::string_view aName,
                     std::string_view aHelp,
                     std::uint64_t aValue)
{
  Add(std::string(aName), aHelp, prometheus::MetricType::Gauge, aValue);
}

void
MetricList::AddTransport(const network::TransportCounters& aCounters)
{
  AddCounter("messages_sent", "Messages to peers.", aCounters.m_messagesSent);
  AddCounter(
    "messages_received", "Messages from peers.", aCounters.m_messagesReceived);
  AddCounter("message_bytes_sent", "Bytes to peers.", aCounters.m_bytesSent);
  AddCounter(
    "message_bytes_received", "Bytes from peers.", aCounters.m_bytesReceived);
  prometheus::MetricFamily byType = MakeCounterFamily(
    "message_type_bytes_sent", "Bytes to peers by type of message.");
  for (const auto& [type, bytes] : aCounters.m_bytesSentByType) {
    byType.metric.push_back(MakeLabelledCounter("type", type, bytes));
  }
  m_families.push_back(std::move(byType));
}

void
MetricList::AddEvents(const telemetry::EventCounts& aCounts)
{
  prometheus::MetricFamily events =
    MakeCounterFamily("events", "Events by name.");
  for (const auto& [code, count] : aCounts) {
    events.metric.push_back(
      MakeLabelledCounter("event", core::EventName(code), count));
  }
  m_families.push_back(std::move(events));
}

void
MetricList::AddProcess()
{
  const std::optional<core::Duration> used = ProcessorTime();
  if (!used) {
    return;
  }
  const std::chrono::microseconds micros =
    std::chrono::duration_cast<std::chrono::microseconds>(*used);
  AddCounter("process_cpu_microseconds",
             "Processor time used by this process.",
             static_cast<std::uint64_t>(micros.count()));
}

void
MetricList::AddLog(const telemetry::LogCounters& aCounters)
{
  AddCounter("log_lines_written", "Lines of the log.", aCounters.m_written);
  AddCounter("log_lines_left_out",
             "Lines left out of the log, as there were too many of their kind.",
             aCounters.m_suppressed);
  AddCounter("log_lines_dropped",
             "Lines dropped, as the log's reader was too slow.",
             aCounters.m_dropped);
}

void
MetricList::Append(std::vector<prometheus::MetricFamily> aFamilies)
{
  std::move(aFamilies.begin(), aFamilies.end(), std::back_inserter(m_families));
}

std::string
MetricList::Text() const
{
  return prometheus::TextSerializer().Serialize(m_families);
}

void
MetricList::Add(std::string aName,
                std::string_view aHelp,
                prometheus::MetricType aType,
                std::uint64_t aValue)
{
  prometheus::ClientMetric metric;
  metric.counter.value = static_cast<double>(aValue);
  metric.gauge.value = static_cast<double>(aValue);
  m_families.push_back({ std::string(kPrefix) + std::move(aName),
                         std::string(aHelp),
                         aType,
                         { std::move(metric) } });
}

} // namespace mulberrysail::daemon
