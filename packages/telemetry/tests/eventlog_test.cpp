#include "telemetry/internal/eventlog.h"
#include "telemetry/internal/hybridclock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

#include <mutex>
#include <thread>

namespace mulberrysail::telemetry {

namespace {

constexpr std::uint64_t kWallMs = 1'700'000'000'000;
constexpr std::uint64_t kStampOfWall = kWallMs << 16U;

/** Takes the lines that are logged while it exists. */
class LogSink : public google::LogSink
{
public:
  LogSink() { google::AddLogSink(this); }
  ~LogSink() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity aSeverity,
            const char* /*aFullName*/,
            const char* /*aFile*/,
            int /*aLine*/,
            const google::LogMessageTime& /*aTime*/,
            const char* aMessage,
            std::size_t aSize) override
  {
    m_lines.emplace_back(aSeverity, std::string(aMessage, aSize));
  }

  std::vector<std::pair<google::LogSeverity, std::string>> m_lines;
};

class EventLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(ClockRisesAndFollowsTheWall);
  CPPUNIT_TEST(ClockTakesInOtherClocksWithinBounds);
  CPPUNIT_TEST(RingKeepsTheNewest);
  CPPUNIT_TEST(LogsAtTheLevelOfTheCode);
  CPPUNIT_TEST(ThreadsRecordInTheOrderOfStamps);
  CPPUNIT_TEST_SUITE_END();

public:
  void ClockRisesAndFollowsTheWall()
  {
    HybridClock clock;
    CPPUNIT_ASSERT_EQUAL(kStampOfWall, clock.Next(kWallMs));
    CPPUNIT_ASSERT_EQUAL(kStampOfWall + 1, clock.Next(kWallMs));
    CPPUNIT_ASSERT_EQUAL(kStampOfWall + 2, clock.Next(kWallMs - 5));
    CPPUNIT_ASSERT_EQUAL((kWallMs + 1) << 16U, clock.Next(kWallMs + 1));
  }

  void ClockTakesInOtherClocksWithinBounds()
  {
    HybridClock clock;
    const std::uint64_t ahead = (kWallMs + 1000) << 16U;
    clock.Merge(ahead, kWallMs);
    CPPUNIT_ASSERT_EQUAL(ahead + 1, clock.Next(kWallMs));
    clock.Merge((kWallMs + 3'600'000) << 16U, kWallMs);
    CPPUNIT_ASSERT_EQUAL(ahead + 2, clock.Next(kWallMs));
  }

  void RingKeepsTheNewest()
  {
    EventLog log({ "entry-1", { 5 } }, 2);
    log.Record(core::EventCode::SubmissionAdmitted, 1, "one");
    log.Record(core::EventCode::SubmissionAdmitted, 2, "two");
    log.Record(core::EventCode::SubmissionAnswered, 3, std::string(5000, 'x'));
    const std::vector<TimelineEvent> events = log.Events(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), events[0].m_subject);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), events[0].m_process);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), events[0].m_incarnation);
    CPPUNIT_ASSERT(events[1].m_detail.size() < 5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.Events(events[1].m_stamp).size());
  }

  void LogsAtTheLevelOfTheCode()
  {
    const LogSink sink;
    EventLog log({ "entry-1", { 5 } }, 10);
    log.Record(core::EventCode::AttemptRefused, 7, "");
    log.Record(core::EventCode::AgentJoined, 0, "agent \"a\"\nnext");
    log.Record(core::EventCode::StoreUnavailable, 0, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), sink.m_lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("event=400 name=agent-joined subject=0 "
                                     "detail=\"agent \\\"a\\\" next\""),
                         sink.m_lines[0].second);
    CPPUNIT_ASSERT_EQUAL(google::GLOG_WARNING, sink.m_lines[1].first);
  }

  void ThreadsRecordInTheOrderOfStamps()
  {
    constexpr int kThreads = 4;
    constexpr std::size_t kEvents = 1000;
    EventLog log({ "entry-1", { 5 } }, kThreads * kEvents);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&log] {
        for (std::size_t event = 0; event < kEvents; ++event) {
          log.Record(core::EventCode::AttemptQueued, event, "");
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
