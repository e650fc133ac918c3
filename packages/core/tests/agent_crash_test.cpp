#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** @return the details of all recorded events of one kind. */
std::vector<std::string>
EventsOf(const AgentFixture& aFixture, EventCode aCode)
{
  std::vector<std::string> details;
  for (const AgentCommand& command : aFixture.m_commands) {
    const RecordEvent* const event = std::get_if<RecordEvent>(&command);
    if (event != nullptr && event->m_code == aCode) {
      details.push_back(event->m_detail.Text());
    }
  }
  return details;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** Advances the clock until the run leases of a silent worker have expired. */
void
LoseWorker(LeaseFixture& aFixture)
{
  aFixture.AnswerObservation({}, {}, ObserveResult::NoAnswer);
  aFixture.Advance(milliseconds(700));
}

} // namespace

/** What an agent records of a worker that is lost with its runs. */
class AgentCrashTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentCrashTest);
  CPPUNIT_TEST(CrashIsRecordedWithTheAgeOfEachRun);
  CPPUNIT_TEST(EndOfALeavingWorkerIsNoCrash);
  CPPUNIT_TEST_SUITE_END();

public:
  void CrashIsRecordedWithTheAgeOfEachRun()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "old");
    fixture.Advance(milliseconds(30));
    fixture.RunTask(2, "young");
    LoseWorker(fixture);
    const std::vector<std::string> crashes =
      EventsOf(fixture, EventCode::WorkerCrashed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, crashes.size());
    CPPUNIT_ASSERT(Contains(crashes[0], "task_queue_age=young//0,old//30"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         fixture.m_agent->Counters().m_workerCrashes);
  }

  void EndOfALeavingWorkerIsNoCrash()
  {
    LeaseFixture fixture;
    fixture.RunTask(1, "a");
    fixture.AnnounceLeasedWorker(kFirstIncarnation, true);
    LoseWorker(fixture);
    CPPUNIT_ASSERT(fixture.ReportOn(1)->m_fate == AttemptFate::Interrupted);
    CPPUNIT_ASSERT(EventsOf(fixture, EventCode::WorkerCrashed).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentCrashTest);

} // namespace mulberrysail::core
