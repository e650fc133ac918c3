#include "core/tests/forwardfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Link = ForwardFixture::Link;

/** Silence after which an entry is given up, and the interval of the checks;
 * part of the bound of 1,200 ms in docs/GUARANTEES.md. */
constexpr Duration kGivenUpAfter = milliseconds(550);

/** Guards against jobs that run twice, callers that are told "not run" of a job
 * that ran, and callers without an answer, when one of two entries dies, stalls
 * or is cut off. */
class EntryForwardFailureTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryForwardFailureTest);
  CPPUNIT_TEST(JobAtAPeerThatDiesMayHaveRun);
  CPPUNIT_TEST(JobAtAPeerThatStallsBeforeItArrivesIsNotRunLater);
  CPPUNIT_TEST(JobsOfAnEntryThatDiesAreCancelled);
  CPPUNIT_TEST(EntryThatStallsIsToldThatItsJobWasCancelled);
  CPPUNIT_TEST(LongJobsSurviveWhileHeartbeatsArrive);
  CPPUNIT_TEST(JobAtAPeerThatRestartsMayHaveRun);
  CPPUNIT_TEST(JobsOfAnEarlierIncarnationAreCancelled);
  CPPUNIT_TEST(JobAtAPeerThatLeavesTheListMayHaveRun);
  CPPUNIT_TEST(AnswerOfAPeerThatEndsIsPassedOn);
  CPPUNIT_TEST(JobLostWithItsLinkMayHaveRunAlthoughThePeerIsHeard);
  CPPUNIT_TEST(AnswerLostWithItsLinkMeansMayHaveRun);
  CPPUNIT_TEST(SilentPeerGetsNoFurtherJobs);
  CPPUNIT_TEST(CopyOfAJobIsNotRun);
  CPPUNIT_TEST(JobThatArrivesAfterItsCancelIsNotRun);
  CPPUNIT_TEST(CallerIsAnsweredAtTheDeadline);
  CPPUNIT_TEST(RestartedEntryAcceptsNoJobsAtFirst);
  CPPUNIT_TEST(LateJobOfAnEarlierIncarnationIsNotRun);
  CPPUNIT_TEST(JobThatIsLongInTransitIsNotRun);
  CPPUNIT_TEST(JobThatWaitedInAStoppedProcessIsNotRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobAtAPeerThatDiesMayHaveRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Kill(1);
    entries.Advance(milliseconds(430));
    CPPUNIT_ASSERT(entries.AnswersTo(caller).empty());
    entries.Advance(kGivenUpAfter - milliseconds(430));
    AssertLost(entries, caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    CPPUNIT_ASSERT(entries.m_nodes[0].m_core->Counters().m_forwardsUnanswered ==
                   1);
  }

  void JobAtAPeerThatStallsBeforeItArrivesIsNotRunLater()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.Stop(1);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Advance(kGivenUpAfter);
    AssertLost(entries, caller);
    entries.Continue(1);
    entries.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
    AssertLost(entries, caller);
  }

  void JobsOfAnEntryThatDiesAreCancelled()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SubmitForwarded(0);
    entries.Advance(seconds(1));
    CPPUNIT_ASSERT(!entries.IsRevoked(entries.m_lastName));
    entries.Kill(0);
    entries.Advance(kGivenUpAfter);
    CPPUNIT_ASSERT(entries.IsRevoked(entries.m_lastName));
    CPPUNIT_ASSERT(entries.m_nodes[1].m_core->Idle());
  }

  void EntryThatStallsIsToldThatItsJobWasCancelled()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Stop(0);
    entries.Advance(seconds(1));
    CPPUNIT_ASSERT(entries.IsRevoked(entries.m_lastName));
    entries.Continue(0);
    entries.Advance(milliseconds(20));
    AssertLost(entries, caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
  }

  void LongJobsSurviveWhileHeartbeatsArrive()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Advance(seconds(4));
    CPPUNIT_ASSERT(entries.AnswersTo(caller).empty());
    entries.Complete(entries.m_lastName);
    CPPUNIT_ASSERT(entries.AnswersTo(caller).at(0).m_kind == ErrorKind::None);
  }

  void JobAtAPeerThatRestartsMayHaveRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Kill(1);
    entries.Restart(1);
    AssertLost(entries, caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
  }

  void JobsOfAnEarlierIncarnationAreCancelled()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SubmitForwarded(0);
    entries.Kill(0);
    entries.Restart(0);
    CPPUNIT_ASSERT(entries.IsRevoked(entries.m_lastName));
  }

  void JobAtAPeerThatLeavesTheListMayHaveRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Handle(0, PeersChanged{ { entries.m_nodes[0].m_id } });
    entries.Advance(kGivenUpAfter);
    AssertLost(entries, caller);
    CPPUNIT_ASSERT(entries.IsRevoked(entries.m_lastName));
  }

  void AnswerOfAPeerThatEndsIsPassedOn()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.SetLink(1, 0, Link::Held);
    entries.Complete(entries.m_lastName);
    entries.Kill(1);
    entries.ListEntries();
    entries.Advance(milliseconds(100));
    entries.SetLink(1, 0, Link::Open);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries.AnswersTo(caller).size());
    CPPUNIT_ASSERT(entries.AnswersTo(caller)[0].m_kind == ErrorKind::None);
  }

  void JobLostWithItsLinkMayHaveRunAlthoughThePeerIsHeard()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken other = entries.SubmitForwarded(0);
    const std::string otherName = entries.m_lastName;
    entries.SetLink(0, 1, Link::Lost);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.SetLink(0, 1, Link::Open);
    entries.ResetLink(0, 1);
    entries.Advance(milliseconds(200));
    entries.Complete(otherName);
    CPPUNIT_ASSERT(entries.AnswersTo(other).at(0).m_kind == ErrorKind::None);
    entries.Advance(kGivenUpAfter - milliseconds(200));
    AssertLost(entries, caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
  }

  void AnswerLostWithItsLinkMeansMayHaveRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.SetLink(1, 0, Link::Lost);
    entries.Complete(entries.m_lastName);
    entries.SetLink(1, 0, Link::Open);
    entries.ResetLink(0, 1);
    entries.Advance(kGivenUpAfter);
    AssertLost(entries, caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
  }

  void SilentPeerGetsNoFurtherJobs()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SetLink(1, 0, Link::Lost);
    entries.SubmitForwarded(0);
    entries.Advance(kGivenUpAfter);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
  }

  void CopyOfAJobIsNotRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.m_namesJobs = false;
    entries.SubmitForwarded(0);
    const ForwardJob copy = entries.m_lastForward;
    entries.Handle(1, MessageReceived{ entries.m_nodes[0].m_id, copy });
    entries.Complete(entries.m_lastName);
    entries.Handle(1, MessageReceived{ entries.m_nodes[0].m_id, copy });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    CPPUNIT_ASSERT(entries.m_nodes[1].m_core->Idle());
  }

  void JobThatArrivesAfterItsCancelIsNotRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SetLink(0, 1, Link::Lost);
    entries.SubmitForwarded(0);
    entries.SetLink(0, 1, Link::Open);
    const ForwardJob job = entries.m_lastForward;
    entries.Handle(1,
                   MessageReceived{ entries.m_nodes[0].m_id,
                                    ForwardCancel{ { job.m_forward } } });
    entries.Handle(1, MessageReceived{ entries.m_nodes[0].m_id, job });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
  }

  void CallerIsAnsweredAtTheDeadline()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Advance(seconds(5) + milliseconds(30));
    const std::vector<Answer> answers = entries.AnswersTo(caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answers.size());
    CPPUNIT_ASSERT(answers[0].m_kind == ErrorKind::DeadlinePassedRunning);
    CPPUNIT_ASSERT(answers[0].m_execution == Execution::MayHaveRun);
  }

  void RestartedEntryAcceptsNoJobsAtFirst()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.Kill(1);
    entries.Restart(1);
    entries.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
    entries.Advance(seconds(2));
    CPPUNIT_ASSERT(entries.SubmitForwarded(0).m_value != 0);
  }

  void LateJobOfAnEarlierIncarnationIsNotRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SetLink(0, 1, Link::Lost);
    entries.SubmitForwarded(0);
    const ForwardJob job = entries.m_lastForward;
    const ProcessId earlier = entries.m_nodes[0].m_id;
    entries.SetLink(0, 1, Link::Open);
    entries.Kill(0);
    entries.Restart(0);
    entries.Handle(1, MessageReceived{ earlier, job });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
  }

  void JobThatIsLongInTransitIsNotRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SetLink(0, 1, Link::Held);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Advance(kGivenUpAfter);
    AssertLost(entries, caller);
    entries.SetLink(0, 1, Link::Open);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
  }

  void JobThatWaitedInAStoppedProcessIsNotRun()
  {
    ForwardFixture entries(2);
    entries.MakeBusy(0);
    entries.SetLink(0, 1, Link::Lost);
    entries.SubmitForwarded(0);
    entries.Stop(1);
    entries.Advance(milliseconds(500));
    entries.Continue(1);
    // The time of sending is unknown.
    entries.Handle(
      1, MessageReceived{ entries.m_nodes[0].m_id, entries.m_lastForward });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
  }

private:
  static void AssertLost(const ForwardFixture& aFixture, CallerToken aCaller)
  {
    const std::vector<Answer> answers = aFixture.AnswersTo(aCaller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answers.size());
    CPPUNIT_ASSERT(answers[0].m_kind == ErrorKind::RunLost);
    CPPUNIT_ASSERT(answers[0].m_execution == Execution::MayHaveRun);
    CPPUNIT_ASSERT(answers[0].m_retryAfter.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryForwardFailureTest);

} // namespace

} // namespace mulberrysail::core
