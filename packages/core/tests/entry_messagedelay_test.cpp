#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** An entry whose own messages are behind. */
class EntryMessageDelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryMessageDelayTest);
  CPPUNIT_TEST(JobIsRefusedWhileItsOffersWouldLeaveTooLate);
  CPPUNIT_TEST(JobIsAdmittedOnceTheMessagesHaveLeft);
  CPPUNIT_TEST(AgentIsNotSilentWhileTheEntryIsBehind);
  CPPUNIT_TEST(AgentIsNotSilentAfterTheEntryStoodStill);
  CPPUNIT_TEST(SilentAgentIsNoticedByAnEntryThatIsNotBehind);
  CPPUNIT_TEST(SilenceCountsOnceTheHeartbeatHasLeft);
  CPPUNIT_TEST(RevocationThatMayNotHaveLeftIsNotRepeated);
  CPPUNIT_TEST(RepeatedRevocationsAreBoundedAndReachAllAgentsInTurn);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobIsRefusedWhileItsOffersWouldLeaveTooLate()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.HandleEvent(MessagesHandled{ fixture.m_now - milliseconds(100) });
    const CallerToken caller = fixture.Submit("job", 1);
    CPPUNIT_ASSERT(fixture.Offers().empty());
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
    CPPUNIT_ASSERT(*answer->m_retryAfter >= milliseconds(100));
  }

  void JobIsAdmittedOnceTheMessagesHaveLeft()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.HandleEvent(MessagesHandled{ fixture.m_now - milliseconds(100) });
    fixture.HandleEvent(MessagesHandled{ fixture.m_now - milliseconds(5) });
    fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }

  void AgentIsNotSilentWhileTheEntryIsBehind()
  {
    QueueFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1900));
    const Instant handledUntil = fixture.m_now;
    AdvanceInSteps(fixture, milliseconds(800), [&] { return handledUntil; });
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller));
    fixture.ReportFate(fixture.Offers().at(0), AttemptFate::Completed);
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::None);
  }

  void AgentIsNotSilentAfterTheEntryStoodStill()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1900));
    AdvanceInSteps(fixture, milliseconds(250), [&] { return fixture.m_now; });
    fixture.m_now += milliseconds(1300);
    // The timer fires before the answers that arrived meanwhile are read.
    fixture.HandleEvent(MessagesHandled{ fixture.m_now });
    fixture.HandleEvent(TimerFired{});
    fixture.ReportFate(fixture.Offers().at(0), AttemptFate::Completed);
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::None);
  }

  void SilentAgentIsNoticedByAnEntryThatIsNotBehind()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1200));
    AdvanceInSteps(fixture, milliseconds(800), [&] { return fixture.m_now; });
    CPPUNIT_ASSERT(fixture.AnswerTo(caller));
  }

  void SilenceCountsOnceTheHeartbeatHasLeft()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1, milliseconds(1900));
    const Instant handledUntil = fixture.m_now;
    AdvanceInSteps(fixture, milliseconds(600), [&] { return handledUntil; });
    AdvanceInSteps(fixture, milliseconds(300), [&] { return fixture.m_now; });
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller));
    AdvanceInSteps(fixture, milliseconds(600), [&] { return fixture.m_now; });
    CPPUNIT_ASSERT(fixture.AnswerTo(caller));
  }

  void RevocationThatMayNotHaveLeftIsNotRepeated()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    const CallerToken caller = fixture.Submit("job", 1);
    fixture.HandleEvent(CallerGone{ caller });
    fixture.ClearCommands();
    const Instant handledUntil = fixture.m_now;
    AdvanceInSteps(fixture, milliseconds(500), [&] { return handledUntil; });
    CPPUNIT_ASSERT(fixture.Sent<RevokeBatch>().empty());
    AdvanceInSteps(fixture, milliseconds(110), [&] { return fixture.m_now; });
    CPPUNIT_ASSERT(!fixture.Sent<RevokeBatch>().empty());
  }

  void RepeatedRevocationsAreBoundedAndReachAllAgentsInTurn()
  {
    constexpr std::size_t kAgents = 20;
    constexpr std::size_t kMostInOneInterval = 8;
    QueueFixture fixture;
    for (std::size_t i = 0; i < kAgents; ++i) {
      fixture.AddWorkerAgent("a" + std::to_string(i), kTaskNeed);
    }
    const CallerToken caller = fixture.Submit("job", kAgents);
    CPPUNIT_ASSERT_EQUAL(kAgents, fixture.Offers().size());
    fixture.HandleEvent(CallerGone{ caller });
    std::set<ProcessId> reached;
    for (int i = 0; i < 3; ++i) {
      fixture.ClearCommands();
      fixture.Advance(milliseconds(100));
      const auto revokes = fixture.Sent<RevokeBatch>();
      CPPUNIT_ASSERT(revokes.size() <= kMostInOneInterval);
      for (const auto& [to, batch] : revokes) {
        reached.insert(to);
      }
    }
    CPPUNIT_ASSERT_EQUAL(kAgents, reached.size());
  }

private:
  /** Advances the clock; every 10 ms the transport states its progress. */
  template<typename HandledUntil>
  static void AdvanceInSteps(QueueFixture& aFixture,
                             Duration aBy,
                             HandledUntil aHandledUntil)
  {
    constexpr Duration kStep = milliseconds(10);
    for (Duration passed{}; passed < aBy; passed += kStep) {
      aFixture.Advance(kStep);
      aFixture.HandleEvent(MessagesHandled{ aHandledUntil() });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryMessageDelayTest);

} // namespace

} // namespace mulberrysail::core
