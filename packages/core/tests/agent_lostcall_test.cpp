#include "core/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** Calls to workers that get no answer, and what they say about the worker. */
class AgentLostCallTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentLostCallTest);
  CPPUNIT_TEST(WorkerThatAnswersHalfOfTheStartsStaysInUse);
  CPPUNIT_TEST_SUITE_END();

  static RunId OfferTask(LeaseFixture& aFixture, std::uint64_t aAttempt)
  {
    aFixture.SendOffers(
      { aFixture.NamedOffer(aAttempt, "task" + std::to_string(aAttempt)) });
    return aFixture.Starts().back().m_run;
  }

  static void ProveNotStarted(LeaseFixture& aFixture, RunId aRun)
  {
    aFixture.Advance(milliseconds(1));
    aFixture.HandleEvent(StopAnswered{ aRun, true });
    aFixture.AnswerObservation({});
  }

public:
  void WorkerThatAnswersHalfOfTheStartsStaysInUse()
  {
    LeaseFixture fixture;
    fixture.AnswerObservation({});
    for (std::uint64_t i = 1; i <= 20; ++i) {
      const RunId run = OfferTask(fixture, i);
      const std::size_t startsBefore = fixture.Starts().size();
      fixture.HandleEvent(
        StartAnswered{ run, StartResult::NoAnswer, "timeout" });
      if (fixture.Starts().size() > startsBefore) {
        fixture.HandleEvent(StartAnswered{ run, StartResult::Started, {} });
        fixture.AnswerObservation(
          {},
          { { i, { "task" + std::to_string(i), 1 }, RunEnd::Interrupted } });
      } else {
        ProveNotStarted(fixture, run);
      }
      CPPUNIT_ASSERT(!fixture.IsQuarantined());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLostCallTest);

} // namespace

} // namespace mulberrysail::core
