#include "core/tests/forwardfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Link = ForwardFixture::Link;

/** Two entries, the first of which has too little processor time. */
class BusyPair : public ForwardFixture
{
public:
  explicit BusyPair(std::size_t aEntries = 2)
    : ForwardFixture(aEntries)
  {
    MakeBusy(0);
  }
};

void
AssertOnlyAnswer(const ForwardFixture& aFixture,
                 CallerToken aCaller,
                 ErrorKind aKind,
                 Execution aExecution)
{
  const std::vector<Answer> answers = aFixture.AnswersTo(aCaller);
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, answers.size());
  CPPUNIT_ASSERT_EQUAL(std::string(DescribeError(aKind).m_name),
                       std::string(DescribeError(answers[0].m_kind).m_name));
  CPPUNIT_ASSERT_EQUAL(std::string(ExecutionName(aExecution)),
                       std::string(ExecutionName(answers[0].m_execution)));
}

/** Guards the choice of forwarded jobs and peers, and what callers get. */
class EntryForwardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryForwardTest);
  CPPUNIT_TEST(JobOfABusyEntryIsAnsweredThroughItsPeer);
  CPPUNIT_TEST(EntryThatIsNotBusyKeepsItsJobs);
  CPPUNIT_TEST(BusyPeersGetNoJobs);
  CPPUNIT_TEST(PeerOfAnOlderBuildGetsNoJobs);
  CPPUNIT_TEST(NothingIsForwardedByDefault);
  CPPUNIT_TEST(ForwardedJobIsNotForwardedAgain);
  CPPUNIT_TEST(PeersAreChosenByFreeProcessor);
  CPPUNIT_TEST(SecondSubmissionOfANameGetsTheSameAnswer);
  CPPUNIT_TEST(RefusalBecauseOfLoadIsPassedOn);
  CPPUNIT_TEST(JobThatThePeerRefusesAsDrainingIsHandledHere);
  CPPUNIT_TEST(JobOfAQueueUnknownToThePeerIsHandledHere);
  CPPUNIT_TEST(JobThatCouldNotBeSentIsHandledHere);
  CPPUNIT_TEST(JoinedCallersAreAnsweredAfterAJobIsTakenBack);
  CPPUNIT_TEST(CallerThatLeavesCancelsTheJobAtThePeer);
  CPPUNIT_TEST(OneOfTwoCallersThatLeavesDoesNotCancel);
  CPPUNIT_TEST(AnswerThatCrossesACancelIsDropped);
  CPPUNIT_TEST(DrainingEntriesForwardAndAcceptNothing);
  CPPUNIT_TEST(DrainingEntryEndsAfterAllForwardedJobs);
  CPPUNIT_TEST(StatusOfAForwardedJobIsKnown);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobOfABusyEntryIsAnsweredThroughItsPeer()
  {
    BusyPair entries;
    const CallerToken caller = entries.SubmitForwarded(0);
    CPPUNIT_ASSERT(caller.m_value != 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    const auto& [agent, offer] = entries.m_nodes[1].m_offers.back();
    CPPUNIT_ASSERT_EQUAL("payload of " + entries.m_lastName, offer.m_payload);
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, caller, ErrorKind::None, Execution::Ran);
    CPPUNIT_ASSERT_EQUAL("output of " + entries.m_lastName,
                         entries.AnswersTo(caller)[0].m_outputs.at(0));
    CPPUNIT_ASSERT(entries.m_nodes[1].m_core->Idle());
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      entries.m_nodes[1].m_core->Counters().m_forwardsAccepted);
  }

  void EntryThatIsNotBusyKeepsItsJobs()
  {
    ForwardFixture entries(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
  }

  void BusyPeersGetNoJobs()
  {
    BusyPair entries;
    entries.m_nodes[1].m_used = 0.55;
    entries.Advance(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
  }

  void PeerOfAnOlderBuildGetsNoJobs()
  {
    ForwardFixture entries(2);
    entries.m_nodes[1].m_policy.m_forwardJobs = false;
    entries.Restart(1);
    entries.MakeBusy(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
  }

  void NothingIsForwardedByDefault()
  {
    EntryPolicy policy = ForwardFixture::Policy();
    policy.m_processorShare = 0;
    ForwardFixture entries(2, policy);
    entries.MakeBusy(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
    CPPUNIT_ASSERT(!EntryPolicy().m_forwardJobs);
  }

  void ForwardedJobIsNotForwardedAgain()
  {
    BusyPair entries(3);
    // The load of entry 1 rises after entry 0 was told of free capacity.
    entries.SetLink(1, 0, Link::Lost);
    entries.m_nodes[2].m_used = 0.55;
    entries.Advance(milliseconds(400));
    entries.MakeBusy(1);
    entries.SetLink(2, 1, Link::Open);
    entries.m_nodes[2].m_used = 0.1;
    entries.SetLink(2, 0, Link::Lost);
    entries.Advance(milliseconds(400));
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(entries.SubmitForwarded(0).m_value != 0);
    }
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 20 },
      entries.m_nodes[1].m_core->Counters().m_forwardsAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.m_nodes[1].m_core->Counters().m_forwarded);
  }

  void PeersAreChosenByFreeProcessor()
  {
    BusyPair entries(3);
    entries.m_nodes[1].m_used = 0.45;
    entries.Advance(milliseconds(400));
    for (int i = 0; i < 200; ++i) {
      entries.SubmitForwarded(0);
      entries.Complete(entries.m_lastName);
    }
    // Free processor is 0.5 * 0.15 and 0.5 * 0.5.
    const std::uint64_t first =
      entries.m_nodes[1].m_core->Counters().m_forwardsAccepted;
    const std::uint64_t second =
      entries.m_nodes[2].m_core->Counters().m_forwardsAccepted;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 200 }, first + second);
    CPPUNIT_ASSERT(first > 20 && first < 80);
  }

  void SecondSubmissionOfANameGetsTheSameAnswer()
  {
    BusyPair entries;
    const CallerToken first = entries.SubmitForwarded(0);
    const CallerToken second = entries.Submit(0, entries.m_lastName);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, first, ErrorKind::None, Execution::Ran);
    AssertOnlyAnswer(entries, second, ErrorKind::None, Execution::Ran);
    const CallerToken third = entries.Submit(0, entries.m_lastName);
    AssertOnlyAnswer(entries, third, ErrorKind::None, Execution::Ran);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
  }

  void RefusalBecauseOfLoadIsPassedOn()
  {
    BusyPair entries;
    entries.SetLink(1, 0, Link::Held);
    const CallerToken caller = entries.SubmitForwarded(0);
    const ForwardId id{
      entries.m_nodes[0].m_core->Find(entries.m_lastName)->m_submission.m_value
    };
    Answer refusal;
    refusal.m_kind = ErrorKind::DeadlineUnreachable;
    refusal.m_execution = Execution::NotRun;
    refusal.m_retryAfter = milliseconds(777);
    entries.Handle(
      0,
      MessageReceived{ entries.m_nodes[1].m_id, ForwardResult{ id, refusal } });
    AssertOnlyAnswer(
      entries, caller, ErrorKind::DeadlineUnreachable, Execution::NotRun);
    CPPUNIT_ASSERT(entries.AnswersTo(caller)[0].m_retryAfter ==
                   milliseconds(777));
  }

  void JobThatThePeerRefusesAsDrainingIsHandledHere()
  {
    BusyPair entries;
    entries.SetLink(1, 0, Link::Held);
    entries.Handle(1, DrainRequested{});
    const CallerToken caller = entries.SubmitForwarded(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         entries.OffersOf(entries.m_lastName));
    entries.SetLink(1, 0, Link::Open);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, caller, ErrorKind::None, Execution::Ran);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      entries.m_nodes[0].m_core->Counters().m_forwardsTakenBack);
  }

  void JobOfAQueueUnknownToThePeerIsHandledHere()
  {
    ForwardFixture entries(2);
    ConfigChanged config;
    config.m_configuration.m_version = { 3 };
    config.m_configuration.m_services["photo"] = {};
    entries.Handle(1, std::move(config));
    entries.MakeBusy(0);
    const CallerToken caller = entries.SubmitForwarded(0);
    CPPUNIT_ASSERT(caller.m_value != 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, caller, ErrorKind::None, Execution::Ran);
  }

  void JobThatCouldNotBeSentIsHandledHere()
  {
    BusyPair entries;
    entries.SetLink(0, 1, Link::NotSent);
    const CallerToken caller = entries.SubmitForwarded(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         entries.OffersOf(entries.m_lastName));
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, caller, ErrorKind::None, Execution::Ran);
    // The peer gets no further jobs until it is heard again.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
  }

  void JoinedCallersAreAnsweredAfterAJobIsTakenBack()
  {
    BusyPair entries;
    entries.SetLink(1, 0, Link::Held);
    entries.Handle(1, DrainRequested{});
    const CallerToken first = entries.SubmitForwarded(0);
    const CallerToken second = entries.Submit(0, entries.m_lastName);
    entries.SetLink(1, 0, Link::Open);
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, first, ErrorKind::None, Execution::Ran);
    AssertOnlyAnswer(entries, second, ErrorKind::None, Execution::Ran);
  }

  void CallerThatLeavesCancelsTheJobAtThePeer()
  {
    BusyPair entries;
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Handle(0, CallerGone{ caller });
    CPPUNIT_ASSERT(entries.IsRevoked(entries.m_lastName));
    CPPUNIT_ASSERT(entries.m_nodes[1].m_core->Idle());
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      entries.m_nodes[0].m_core->Counters().m_forwardsCancelled);
  }

  void OneOfTwoCallersThatLeavesDoesNotCancel()
  {
    BusyPair entries;
    const CallerToken first = entries.SubmitForwarded(0);
    const CallerToken second = entries.Submit(0, entries.m_lastName);
    entries.Handle(0, CallerGone{ first });
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, second, ErrorKind::None, Execution::Ran);
    CPPUNIT_ASSERT(entries.AnswersTo(first).empty());
  }

  void AnswerThatCrossesACancelIsDropped()
  {
    BusyPair entries;
    entries.SetLink(0, 1, Link::Held);
    entries.SetLink(1, 0, Link::Held);
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.SetLink(0, 1, Link::Open);
    entries.SetLink(0, 1, Link::Held);
    entries.Complete(entries.m_lastName);
    entries.Handle(0, CallerGone{ caller });
    entries.SetLink(0, 1, Link::Open);
    entries.SetLink(1, 0, Link::Open);
    AssertOnlyAnswer(
      entries, caller, ErrorKind::CancelledRunning, Execution::MayHaveRun);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      entries.m_nodes[0].m_core->Counters().m_repliesDropped);
    CPPUNIT_ASSERT(entries.m_nodes[1].m_core->Idle());
  }

  void DrainingEntriesForwardAndAcceptNothing()
  {
    BusyPair entries(3);
    entries.Handle(1, DrainRequested{});
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(entries.SubmitForwarded(0).m_value != 0);
    }
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 0 },
      entries.m_nodes[1].m_core->Counters().m_forwardsAccepted);
    entries.Handle(0, DrainRequested{});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         entries.SubmitForwarded(0).m_value);
  }

  void DrainingEntryEndsAfterAllForwardedJobs()
  {
    BusyPair entries;
    const CallerToken caller = entries.SubmitForwarded(0);
    entries.Handle(0, DrainRequested{});
    entries.Handle(1, DrainRequested{});
    entries.Advance(seconds(1));
    CPPUNIT_ASSERT(!entries.m_nodes[0].m_core->Idle());
    CPPUNIT_ASSERT(!entries.m_nodes[1].m_core->Idle());
    entries.Complete(entries.m_lastName);
    AssertOnlyAnswer(entries, caller, ErrorKind::None, Execution::Ran);
    CPPUNIT_ASSERT(entries.m_nodes[1].m_core->Idle());
  }

  void StatusOfAForwardedJobIsKnown()
  {
    BusyPair entries;
    const CallerToken caller = entries.SubmitForwarded(0);
    const IEntry& entry = *entries.m_nodes[0].m_core;
    const SubmissionStatus open = entry.Find(entries.m_lastName).value();
    CPPUNIT_ASSERT_EQUAL(1U, open.m_waiting);
    CPPUNIT_ASSERT(!open.m_answer);
    entries.Handle(0, CancelSubmission{ open.m_submission });
    AssertOnlyAnswer(
      entries, caller, ErrorKind::CancelledRunning, Execution::MayHaveRun);
    CPPUNIT_ASSERT(entry.Status(open.m_submission)->m_answer.has_value());
    CPPUNIT_ASSERT(entries.IsRevoked(entries.m_lastName));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryForwardTest);

} // namespace

} // namespace mulberrysail::core
