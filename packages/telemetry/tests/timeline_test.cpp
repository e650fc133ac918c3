#include "telemetry/timelinejson.h"
#include "telemetry/timelineview.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace mulberrysail::telemetry {

namespace {

constexpr std::uint64_t kStart = 1'700'000'000'125ULL << 16U;

TimelineEvent
EntryEvent(std::uint64_t aOffset,
           core::EventCode aCode,
           std::uint64_t aSubject,
           const std::string& aDetail)
{
  return { kStart + aOffset, "entry-1", 5, aCode, aSubject, aDetail };
}

TimelineEvent
AgentEvent(std::uint64_t aOffset, core::EventCode aCode, std::uint64_t aSubject)
{
  return { kStart + aOffset, "agent-1", 6, aCode, aSubject, "" };
}

const std::vector<TimelineEvent> kEntryEvents = {
  EntryEvent(0, core::EventCode::SubmissionAdmitted, 18, "photo-check"),
  EntryEvent(9, core::EventCode::SubmissionAnswered, 18, "complete"),
};

const std::vector<TimelineEvent> kAgentEvents = {
  AgentEvent(3, core::EventCode::AttemptStarted, 7),
  AgentEvent(5, core::EventCode::AttemptFinished, 7),
  AgentEvent(6, core::EventCode::AttemptFinished, 8),
};

class TimelineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(JsonRoundTripKeepsEvents);
  CPPUNIT_TEST(InvalidJsonIsRejected);
  CPPUNIT_TEST(MergeOrdersEventsAndDropsDuplicates);
  CPPUNIT_TEST(TextHasALineForEachEvent);
  CPPUNIT_TEST(TracePairsBeginAndEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void JsonRoundTripKeepsEvents()
  {
    const std::string json = TimelineToJson({ "entry-1", { 5 } }, kEntryEvents);
    const core::Result<std::vector<TimelineEvent>> events =
      TimelineFromJson(json);
    CPPUNIT_ASSERT(events);
    CPPUNIT_ASSERT_EQUAL(TimelineAsText(kEntryEvents),
                         TimelineAsText(events.value()));
  }

  void InvalidJsonIsRejected()
  {
    CPPUNIT_ASSERT(!TimelineFromJson(""));
    CPPUNIT_ASSERT(!TimelineFromJson("[]"));
    CPPUNIT_ASSERT(!TimelineFromJson(
      R"({"process": "a", "incarnation": "x", "events": []})"));
  }

  void MergeOrdersEventsAndDropsDuplicates()
  {
    const std::vector<TimelineEvent> merged =
      MergeTimelines(std::vector{ kEntryEvents, kAgentEvents, kEntryEvents });
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), merged.size());
    CPPUNIT_ASSERT_EQUAL(std::string("agent-1"), merged[1].m_process);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), merged[4].m_process);
  }

  void TextHasALineForEachEvent()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("2023-11-14 22:13:20.125+0 entry-1/5 200 "
                                     "submission-admitted 18 photo-check\n"
                                     "2023-11-14 22:13:20.125+9 entry-1/5 202 "
                                     "submission-answered 18 complete\n"),
                         TimelineAsText(kEntryEvents));
  }

  void TracePairsBeginAndEnd()
  {
    const nlohmann::json trace = nlohmann::json::parse(TimelineAsChromeTrace(
      MergeTimelines(std::vector{ kEntryEvents, kAgentEvents })));
    std::string phases;
    for (const nlohmann::json& event : trace.at("traceEvents")) {
      phases += event.at("ph").get<std::string>();
    }
    // Each process adds a name (M); an end without a begin is an instant (i).
    CPPUNIT_ASSERT_EQUAL(std::string("MbMbeie"), phases);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

} // namespace

} // namespace mulberrysail::telemetry
