#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

/** Claims of caller keys: fence queries and uncertain answers. */
class EntryClaimTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryClaimTest);
  CPPUNIT_TEST(FirstSubmissionSendsNoFenceQuery);
  CPPUNIT_TEST(UnnumberedSubmissionRunsAfterAllAgentsReply);
  CPPUNIT_TEST(UnnumberedSubmissionNeedsAKnownHistory);
  CPPUNIT_TEST(EmptyHistoryIsKnown);
  CPPUNIT_TEST(ResubmissionGetsTheAnswerOfTheFirstRun);
  CPPUNIT_TEST(DepartedAgentMakesTheAnswerUncertain);
  CPPUNIT_TEST(EntryWithoutHistoryAnswersUncertain);
  CPPUNIT_TEST(DepartureReportedByAPeerMakesTheAnswerUncertain);
  CPPUNIT_TEST(AgentThatEvictedKeysMakesTheAnswerUncertain);
  CPPUNIT_TEST(AgentKnownOnlyToAPeerMakesTheAnswerUncertain);
  CPPUNIT_TEST(AgentWithoutItsEndpointIsQueriedToo);
  CPPUNIT_TEST(AgentIsQueriedForServicesReportedByPeers);
  CPPUNIT_TEST(AllAgentsAreQueriedAndADepartureMakesTheAnswerUncertain);
  CPPUNIT_TEST(KeyedRequestIsNotRetriedOnAnAgentThatJoinedLater);
  CPPUNIT_TEST(PeersAreNotifiedOfAgents);
  CPPUNIT_TEST_SUITE_END();

public:
  void FirstSubmissionSendsNoFenceQuery()
  {
    EntryFixture fixture;
    fixture.AddAgent("x", 1);
    fixture.SubmitKeyedRequest("k", 1);
    CPPUNIT_ASSERT(fixture.Sent<FenceQuery>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.Offers().size());
  }

  void UnnumberedSubmissionRunsAfterAllAgentsReply()
  {
    EntryFixture fixture;
    ReportNoDepartures(fixture);
    fixture.AddAgent("x", 1);
    fixture.AddAgent("y", 1);
    fixture.SubmitKeyedRequest("k", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.Sent<FenceQuery>().size());
    const auto queries = fixture.Sent<FenceQuery>();
    fixture.Receive(queries[0].first, NotSeenReply(queries[0].second));
    CPPUNIT_ASSERT(fixture.Offers().empty());
    fixture.Receive(queries[1].first, NotSeenReply(queries[1].second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.Offers().size());
    CPPUNIT_ASSERT(fixture.Offers().front().m_offer.m_key->m_claim != 0);
  }

  void UnnumberedSubmissionNeedsAKnownHistory()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 0);
    fixture.Receive(agent,
                    NotSeenReply(fixture.Sent<FenceQuery>().front().second));
    ExpectUncertain(fixture, caller);
  }

  void EmptyHistoryIsKnown()
  {
    EntryFixture fixture;
    fixture.HandleEvent(NoPriorSubmissions{});
    const ProcessId agent = fixture.AddAgent("x", 1);
    fixture.SubmitKeyedRequest("k", 0);
    fixture.Receive(agent,
                    NotSeenReply(fixture.Sent<FenceQuery>().front().second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.Offers().size());
  }

  void ResubmissionGetsTheAnswerOfTheFirstRun()
  {
    EntryFixture fixture;
    ReportNoDepartures(fixture);
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 2);
    FenceReply reply = NotSeenReply(fixture.Sent<FenceQuery>().front().second);
    reply.m_fate = AttemptFate::Running;
    fixture.Receive(agent, reply);
    fixture.Advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!fixture.AnswerTo(caller));
    reply.m_fate = AttemptFate::Completed;
    reply.m_output = "receipt";
    fixture.Receive(agent, reply);
    CPPUNIT_ASSERT_EQUAL(std::string("receipt"),
                         fixture.AnswerTo(caller)->m_outputs.front());
    CPPUNIT_ASSERT(fixture.Offers().empty());
  }

  void DepartedAgentMakesTheAnswerUncertain()
  {
    EntryFixture fixture;
    ReportNoDepartures(fixture);
    fixture.AddAgent("x", 1);
    Announce restarted;
    restarted.m_leaseFor = std::chrono::hours(1);
    restarted.m_endpoint = EndpointInfo{ "photo", 1, 64, false };
    fixture.Receive({ "x", { 2 } }, std::move(restarted));
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 2);
    const auto queries = fixture.Sent<FenceQuery>();
    fixture.Receive(queries.front().first,
                    NotSeenReply(queries.front().second));
    ExpectUncertain(fixture, caller);
  }

  void EntryWithoutHistoryAnswersUncertain()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 2);
    fixture.Receive(agent,
                    NotSeenReply(fixture.Sent<FenceQuery>().front().second));
    ExpectUncertain(fixture, caller);
  }

  void DepartureReportedByAPeerMakesTheAnswerUncertain()
  {
    EntryFixture fixture;
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
    hello.m_departed.push_back({ { "departed", { 1 } },
                                 "photo",
                                 std::chrono::minutes(1),
                                 std::chrono::minutes(30) });
    fixture.Receive({ "entry2", { 1 } }, hello);
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 2);
    fixture.Receive(agent,
                    NotSeenReply(fixture.Sent<FenceQuery>().front().second));
    ExpectUncertain(fixture, caller);
  }

  void AgentThatEvictedKeysMakesTheAnswerUncertain()
  {
    EntryFixture fixture;
    ReportNoDepartures(fixture);
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 2);
    FenceReply reply = NotSeenReply(fixture.Sent<FenceQuery>().front().second);
    reply.m_recordsCover = std::chrono::minutes(9);
    fixture.Receive(agent, reply);
    ExpectUncertain(fixture, caller);
  }

  void AgentKnownOnlyToAPeerMakesTheAnswerUncertain()
  {
    EntryFixture fixture;
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
    hello.m_departed.push_back(
      { { "x", { 1 } }, "photo", {}, std::chrono::hours(1) });
    hello.m_departed.push_back(
      { { "peer-only", { 1 } }, "photo", {}, std::chrono::hours(1) });
    fixture.Receive({ "entry2", { 1 } }, hello);
    const ProcessId agent = fixture.AddAgent("x", 1);
    const CallerToken caller = fixture.SubmitKeyedRequest("k", 2);
    fixture.Receive(agent,
                    NotSeenReply(fixture.Sent<FenceQuery>().front().second));
    ExpectUncertain(fixture, caller);
    // Once the agent has announced itself, it can be queried.
    const ProcessId announced = fixture.AddAgent("peer-only", 1);
    fixture.ClearCommands();
    fixture.SubmitKeyedRequest("l", 2);
    const auto queries = fixture.Sent<FenceQuery>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), queries.size());
    fixture.Receive(announced, NotSeenReply(queries[0].second));
    fixture.Receive(agent, NotSeenReply(queries[0].second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.Offers().size());
  }

  void AgentWithoutItsEndpointIsQueriedToo()
  {
    EntryFixture fixture;
    ReportNoDepartures(fixture);
    const ProcessId agent = fixture.AddAgent("x", 1);
    Announce withoutEndpoint;
    withoutEndpoint.m_leaseFor = std::chrono::hours(1);
    fixture.Receive(agent, std::move(withoutEndpoint));
    fixture.AddAgent("y", 1);
    fixture.SubmitKeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.Sent<FenceQuery>().size());
  }

  void AgentIsQueriedForServicesReportedByPeers()
  {
    EntryFixture fixture;
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
    hello.m_departed.push_back({ { "x", { 1 } }, "photo", {}, {} });
    hello.m_departed.push_back({ { "y", { 1 } }, "photo", {}, {} });
    Announce bare;
    bare.m_leaseFor = std::chrono::hours(1);
    fixture.Receive({ "x", { 1 } }, bare);
    fixture.Receive({ "entry2", { 1 } }, hello);
    fixture.Receive({ "y", { 1 } }, bare);
    fixture.AddAgent("z", 1);
    fixture.SubmitKeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.Sent<FenceQuery>().size());
  }

  void AllAgentsAreQueriedAndADepartureMakesTheAnswerUncertain()
  {
    EntryPolicy policy;
    policy.m_keyCandidates = 1;
    EntryFixture fixture(policy);
    ReportNoDepartures(fixture);
    fixture.AddAgent("x", 1);
    fixture.AddAgent("y", 1);
    fixture.AddAgent("z", 1);
    fixture.SubmitKeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.Sent<FenceQuery>().size());
    Announce restarted;
    restarted.m_leaseFor = std::chrono::hours(1);
    restarted.m_endpoint = EndpointInfo{ "photo", 1, 64, false };
    fixture.Receive({ "z", { 2 } }, restarted);
    fixture.ClearCommands();
    const CallerToken caller = fixture.SubmitKeyedRequest("l", 2);
    for (const auto& [agent, query] : fixture.Sent<FenceQuery>()) {
      fixture.Receive(agent, NotSeenReply(query));
    }
    ExpectUncertain(fixture, caller);
  }

  void KeyedRequestIsNotRetriedOnAnAgentThatJoinedLater()
  {
    EntryFixture fixture;
    const ProcessId firstAgent = fixture.AddAgent("x", 1);
    fixture.SubmitKeyedRequest("k", 1);
    const AttemptId first = fixture.Offers().front().m_offer.m_attempt;
    fixture.Advance(std::chrono::milliseconds(1));
    fixture.AddAgent("y", 1);
    fixture.ClearCommands();
    fixture.Report(
      firstAgent, first, AttemptFate::Refused, 1, ErrorKind::ConnectFailed);
    fixture.Advance(std::chrono::seconds(1));
    for (const EntryFixture::SentOffer& offer : fixture.Offers()) {
      CPPUNIT_ASSERT_EQUAL(firstAgent.m_name, offer.m_agent.m_name);
    }
  }

  void PeersAreNotifiedOfAgents()
  {
    EntryFixture fixture;
    fixture.HandleEvent(PeersChanged{ { { "entry2", { 1 } } } });
    fixture.AddAgent("x", 1);
    const auto hellos = fixture.Sent<PeerHello>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), hellos.size());
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         hellos[0].second.m_departed.at(0).m_agent.m_name);
  }

private:
  /** @return the reply of an agent that has not seen the key. */
  static FenceReply NotSeenReply(const FenceQuery& aQuery)
  {
    FenceReply reply;
    reply.m_fence = aQuery.m_fence;
    reply.m_recordsCover = std::chrono::minutes(10);
    return reply;
  }

  /** Sends the entry a peer's history that covers the key retention and lists
   * no departed agent. */
  static void ReportNoDepartures(EntryFixture& aFixture)
  {
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
    aFixture.Receive({ "entry2", { 1 } }, hello);
  }

  static void ExpectUncertain(const EntryFixture& aFixture, CallerToken aCaller)
  {
    const std::optional<Answer> answer = aFixture.AnswerTo(aCaller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::RepeatUncertain);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
    CPPUNIT_ASSERT(aFixture.Offers().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryClaimTest);

} // namespace

} // namespace mulberrysail::core
