#include "telemetry/internal/eventlog.h"
#include "telemetry/internal/hybridclock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <thread>

namespace mulberrysail::telemetry {

namespace {

constexpr std::uint64_t kWallMs = 1'700'000'000'000;
constexpr std::uint64_t kWallStamp = kWallMs << 16U;

/** Stores the lines written to it. */
class FakeOutput : public ILogOutput
{
public:
  bool IsEnabled(EventLevel aLevel) const override
  {
    return aLevel >= m_minLevel;
  }
  void SetMinLevel(EventLevel aLevel) override { m_minLevel = aLevel; }
  void Write(EventLevel aLevel, std::string_view aFields) override
  {
    m_lines.emplace_back(aLevel, std::string(aFields));
  }
  LogCounters Counters() const override { return {}; }

  EventLevel m_minLevel = EventLevel::Info;
  std::vector<std::pair<EventLevel, std::string>> m_lines;
};

core::RecordEvent
Event(core::EventCode aCode, std::uint64_t aSubject, const std::string& aWhy)
{
  return { aCode, aSubject, core::EventDetail().Add("why", aWhy) };
}

class EventLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(ClockIncreasesAndFollowsWallTime);
  CPPUNIT_TEST(ClockMergesRemoteStampsWithinBounds);
  CPPUNIT_TEST(RingKeepsNewestEvents);
  CPPUNIT_TEST(LogsEventsAtTheirLevel);
  CPPUNIT_TEST(LimitsEachKindAndReportsSuppressedLines);
  CPPUNIT_TEST(SuppressedLinesAreReportedOnDestruction);
  CPPUNIT_TEST(ConcurrentEventsAreStoredInStampOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void ClockIncreasesAndFollowsWallTime()
  {
    HybridClock clock;
    CPPUNIT_ASSERT_EQUAL(kWallStamp, clock.Next(kWallMs));
    CPPUNIT_ASSERT_EQUAL(kWallStamp + 1, clock.Next(kWallMs));
    CPPUNIT_ASSERT_EQUAL(kWallStamp + 2, clock.Next(kWallMs - 5));
    CPPUNIT_ASSERT_EQUAL((kWallMs + 1) << 16U, clock.Next(kWallMs + 1));
  }

  void ClockMergesRemoteStampsWithinBounds()
  {
    HybridClock clock;
    const std::uint64_t ahead = (kWallMs + 1000) << 16U;
    clock.Merge(ahead, kWallMs);
    CPPUNIT_ASSERT_EQUAL(ahead + 1, clock.Next(kWallMs));
    clock.Merge((kWallMs + 3'600'000) << 16U, kWallMs);
    CPPUNIT_ASSERT_EQUAL(ahead + 2, clock.Next(kWallMs));
  }

  void RingKeepsNewestEvents()
  {
    EventLog log({ "entry-1", { 5 } }, { 2, 0 }, nullptr);
    log.Record(Event(core::EventCode::SubmissionAdmitted, 1, "one"));
    log.Record(Event(core::EventCode::SubmissionAdmitted, 2, "two"));
    log.Record(
      Event(core::EventCode::SubmissionAnswered, 3, std::string(5000, 'x')));
    const std::vector<TimelineEvent> events = log.Events(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), events[0].m_subject);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), events[0].m_process);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), events[0].m_incarnation);
    CPPUNIT_ASSERT(events[1].m_detail.size() < 5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.Events(events[1].m_stamp).size());
  }

  void LogsEventsAtTheirLevel()
  {
    FakeOutput output;
    EventLog log({ "entry-1", { 5 } }, { 10, 0 }, &output);
    log.Record(Event(core::EventCode::AttemptQueued, 7, ""));
    log.Record({ core::EventCode::AgentJoined,
                 0,
                 core::EventDetail().Add("agent", "a \"b\"\nnext"),
                 "job-1" });
    log.Record(Event(core::EventCode::StoreUnavailable, 0, ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), output.m_lines.size());
    CPPUNIT_ASSERT_EQUAL(
      std::string("event=agent-joined code=400 process=entry-1 incarnation=5 "
                  "id=job-1 agent=\"a \\\"b\\\" next\""),
      output.m_lines[0].second);
    CPPUNIT_ASSERT(EventLevel::Warning == output.m_lines[1].first);
    output.SetMinLevel(EventLevel::Warning);
    log.Record(Event(core::EventCode::AgentJoined, 0, ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), output.m_lines.size());
  }

  void LimitsEachKindAndReportsSuppressedLines()
  {
    LogRateLimiter limiter(2);
    CPPUNIT_ASSERT(limiter.TryAcquire(core::EventCode::AttemptStarted, 10));
    CPPUNIT_ASSERT(limiter.TryAcquire(core::EventCode::AttemptStarted, 10));
    CPPUNIT_ASSERT(!limiter.TryAcquire(core::EventCode::AttemptStarted, 10));
    CPPUNIT_ASSERT(!limiter.TryAcquire(core::EventCode::AttemptStarted, 10));
    CPPUNIT_ASSERT(limiter.TryAcquire(core::EventCode::AttemptLost, 10));
    CPPUNIT_ASSERT(limiter.TakeSuppressedBefore(10).empty());
    const std::vector<SuppressedLines> ended = limiter.TakeSuppressedBefore(11);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ended.size());
    CPPUNIT_ASSERT(core::EventCode::AttemptStarted == ended[0].m_code);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ended[0].m_lines);
    CPPUNIT_ASSERT(limiter.TakeSuppressedBefore(11).empty());
    CPPUNIT_ASSERT(limiter.TryAcquire(core::EventCode::AttemptStarted, 11));
  }

  void SuppressedLinesAreReportedOnDestruction()
  {
    FakeOutput output;
    constexpr int kLines = 1000;
    {
      EventLog log({ "entry-1", { 5 } }, { 10, 5 }, &output);
      for (int i = 0; i < kLines; ++i) {
        log.Record(Event(core::EventCode::AttemptLost, 1, ""));
      }
      CPPUNIT_ASSERT(log.Log().m_suppressed > kLines / 2);
    }
    const std::string last = output.m_lines.back().second;
    CPPUNIT_ASSERT(last.find("event=log-limited") == 0);
    CPPUNIT_ASSERT(last.find("kind=attempt-lost left_out=") !=
                   std::string::npos);
  }

  void ConcurrentEventsAreStoredInStampOrder()
  {
    constexpr int kThreads = 4;
    constexpr std::size_t kEvents = 1000;
    EventLog log({ "entry-1", { 5 } }, { kThreads * kEvents, 0 }, nullptr);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&log] {
        for (std::size_t event = 0; event < kEvents; ++event) {
          log.Record(Event(core::EventCode::AttemptQueued, event, ""));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const std::vector<TimelineEvent> events = log.Events(0);
    CPPUNIT_ASSERT_EQUAL(kThreads * kEvents, events.size());
    for (std::size_t i = 1; i < events.size(); ++i) {
      CPPUNIT_ASSERT(events[i - 1].m_stamp < events[i].m_stamp);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace

} // namespace mulberrysail::telemetry
