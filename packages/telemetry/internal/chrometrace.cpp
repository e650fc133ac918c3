#include "telemetry/timelineview.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace mulberrysail::telemetry {

namespace {

using Json = nlohmann::json;

constexpr unsigned kCounterBits = 16;
constexpr std::uint64_t kCounterMask = 0xFFFF;
constexpr std::uint64_t kUsPerMs = 1000;

/** The events that begin and end a span. */
struct SpanKind
{
  core::EventCode m_begin;
  core::EventCode m_end;
  const char* m_name;
};

constexpr SpanKind kSpans[] = {
  { core::EventCode::SubmissionAdmitted,
    core::EventCode::SubmissionAnswered,
    "submission" },
  { core::EventCode::AttemptStarted,
    core::EventCode::AttemptFinished,
    "attempt" },
};

/** @return the time of a stamp in microseconds; the counter is added so that
 * events within one millisecond keep their order. */
std::uint64_t
TraceTime(std::uint64_t aStamp)
{
  return (aStamp >> kCounterBits) * kUsPerMs +
         std::min(aStamp & kCounterMask, kUsPerMs - 1);
}

/** Builds the JSON array of trace events. */
class TraceWriter
{
public:
  void Add(const TimelineEvent& aEvent)
  {
    for (const SpanKind& kind : kSpans) {
      if (aEvent.m_code == kind.m_begin) {
        m_open.insert(KeyOf(aEvent, kind));
        Write(aEvent, kind.m_name, "b");
        return;
      }
      if (aEvent.m_code == kind.m_end && m_open.erase(KeyOf(aEvent, kind))) {
        Write(aEvent, kind.m_name, "e");
        return;
      }
    }
    Write(aEvent, std::string(core::EventName(aEvent.m_code)), "i");
  }

  std::string Text() const
  {
    const Json trace = { { "traceEvents", m_events },
                         { "displayTimeUnit", "ms" } };
    return trace.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

private:
  using SpanKey = std::tuple<std::string, std::uint64_t, std::uint64_t>;

  static SpanKey KeyOf(const TimelineEvent& aEvent, const SpanKind& aKind)
  {
    return { aKind.m_name + aEvent.m_process,
             aEvent.m_incarnation,
             aEvent.m_subject };
  }

  /** @return the number of the process; adds its name to the trace when it
   * first occurs. */
  std::size_t ProcessNumber(const TimelineEvent& aEvent)
  {
    const std::string name =
      aEvent.m_process + "/" + std::to_string(aEvent.m_incarnation);
    const auto [process, added] = m_processes.emplace(name, m_processes.size());
    if (added) {
      m_events.push_back({ { "ph", "M" },
                           { "name", "process_name" },
                           { "pid", process->second },
                           { "args", { { "name", name } } } });
    }
    return process->second;
  }

  void Write(const TimelineEvent& aEvent,
             const std::string& aName,
             const std::string& aPhase)
  {
    const std::size_t process = ProcessNumber(aEvent);
    Json event = { { "ph", aPhase },
                   { "name", aName },
                   { "cat", aName },
                   { "ts", TraceTime(aEvent.m_stamp) },
                   { "pid", process },
                   { "tid", 0 },
                   { "args",
                     { { "event", static_cast<int>(aEvent.m_code) },
                       { "subject", std::to_string(aEvent.m_subject) },
                       { "detail", aEvent.m_detail } } } };
    if (aPhase == "i") {
      event["s"] = "p";
    } else {
      event["id"] =
        std::to_string(process) + "/" + std::to_string(aEvent.m_subject);
    }
    m_events.push_back(std::move(event));
  }

  Json m_events = Json::array();
  std::set<SpanKey> m_open;
  std::map<std::string, std::size_t> m_processes;
};

} // namespace

std::string
TimelineAsChromeTrace(std::span<const TimelineEvent> aEvents)
{
  TraceWriter writer;
  for (const TimelineEvent& event : aEvents) {
    writer.Add(event);
  }
  return writer.Text();
}

} // namespace mulberrysail::telemetry
