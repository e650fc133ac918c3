#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxLostRuns = 3;

/** Adds agents "a1" to "aN" with one worker each. */
std::vector<ProcessId>
AddWorkerAgents(EntryFixture& aFixture, std::size_t aCount)
{
  std::vector<ProcessId> agents;
  for (std::size_t i = 1; i <= aCount; ++i) {
    agents.push_back(
      aFixture.AddWorkerAgent("a" + std::to_string(i), kWorkerCapacity));
  }
  return agents;
}

} // namespace

/** Work that takes workers and endpoints with it. */
class EntryCrashTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryCrashTest);
  CPPUNIT_TEST(TaskIsNotStartedAfterItsThirdCrash);
  CPPUNIT_TEST(RequestIsNotRetriedAfterItsThirdLostRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void TaskIsNotStartedAfterItsThirdCrash()
  {
    QueueFixture fixture;
    AddWorkerAgents(fixture, 8);
    const CallerToken caller = fixture.Submit("job", 1, seconds(60));
    for (int i = 0; i < 6; ++i) {
      fixture.ReportFate(fixture.Offers().back(), AttemptFate::Interrupted);
      fixture.Advance(seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(kMaxLostRuns, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo(caller).has_value());
  }

  void RequestIsNotRetriedAfterItsThirdLostRun()
  {
    EntryPolicy policy;
    policy.m_retryBudgetPercent = 1000;
    EntryFixture fixture(policy);
    for (int i = 1; i <= 8; ++i) {
      fixture.AddAgent("a" + std::to_string(i), 4);
    }
    SubmitRequest request;
    request.m_caller = { 77 };
    request.m_service = "photo";
    request.m_team = "b";
    request.m_repeatable = true;
    request.m_deadline = seconds(60);
    fixture.HandleEvent(request);
    for (int i = 0; i < 6; ++i) {
      const EntryFixture::SentOffer last = fixture.Offers().back();
      fixture.Report(
        last.m_agent, last.m_offer.m_attempt, AttemptFate::Lost, 4);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxLostRuns, fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.AnswerTo({ 77 }).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCrashTest);

} // namespace mulberrysail::core
