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
  CPPUNIT_TEST(DeparturesReportedByAPeerCount);
  CPPUNIT_TEST(AgentThatEvictedKeysMakesTheAnswerUncertain);
  CPPUNIT_TEST(AgentKnownOnlyToAPeerMakesTheAnswerUncertain);
  CPPUNIT_TEST(AgentWithoutItsEndpointIsQueriedToo);
  CPPUNIT_TEST(AgentIsQueriedForServicesReportedByPeers);
  CPPUNIT_TEST(AllAgentsAreQueriedAndAllDeparturesCount);
  CPPUNIT_TEST(AgentThatJoinedLaterIsNotUsed);
  CPPUNIT_TEST(PeersAreNotifiedOfAgents);
  CPPUNIT_TEST_SUITE_END();

public:
  void FirstSubmissionSendsNoFenceQuery()
  {
    EntryFixture entry;
    entry.AddAgent("x", 1);
    entry.KeyedRequest("k", 1);
    CPPUNIT_ASSERT(entry.Sent<FenceQuery>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
  }

  void UnnumberedSubmissionRunsAfterAllAgentsReply()
  {
    EntryFixture entry;
    ReportNoDepartures(entry);
    entry.AddAgent("x", 1);
    entry.AddAgent("y", 1);
    entry.KeyedRequest("k", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.Sent<FenceQuery>().size());
    const auto queries = entry.Sent<FenceQuery>();
    entry.Receive(queries[0].first, NotSeenReply(queries[0].second));
    CPPUNIT_ASSERT(entry.Offers().empty());
    entry.Receive(queries[1].first, NotSeenReply(queries[1].second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
    CPPUNIT_ASSERT(entry.Offers().front().m_offer.m_key->m_claim != 0);
  }

  void UnnumberedSubmissionNeedsAKnownHistory()
  {
    EntryFixture entry;
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 0);
    entry.Receive(agent, NotSeenReply(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
  }

  void EmptyHistoryIsKnown()
  {
    EntryFixture entry;
    entry.HandleEvent(PastIsEmpty{});
    const ProcessId agent = entry.AddAgent("x", 1);
    entry.KeyedRequest("k", 0);
    entry.Receive(agent, NotSeenReply(entry.Sent<FenceQuery>().front().second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
  }

  void ResubmissionGetsTheAnswerOfTheFirstRun()
  {
    EntryFixture entry;
    ReportNoDepartures(entry);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    FenceReply reply = NotSeenReply(entry.Sent<FenceQuery>().front().second);
    reply.m_fate = AttemptFate::Running;
    entry.Receive(agent, reply);
    entry.Advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!entry.AnswerOf(caller));
    reply.m_fate = AttemptFate::Completed;
    reply.m_output = "receipt";
    entry.Receive(agent, reply);
    CPPUNIT_ASSERT_EQUAL(std::string("receipt"),
                         entry.AnswerOf(caller)->m_outputs.front());
    CPPUNIT_ASSERT(entry.Offers().empty());
  }

  void DepartedAgentMakesTheAnswerUncertain()
  {
    EntryFixture entry;
    ReportNoDepartures(entry);
    entry.AddAgent("x", 1);
    Announce restarted;
    restarted.m_leaseFor = std::chrono::hours(1);
    restarted.m_endpoint = EndpointInfo{ "photo", 1, 64, false };
    entry.Receive({ "x", { 2 } }, std::move(restarted));
    const CallerToken caller = entry.KeyedRequest("k", 2);
    const auto queries = entry.Sent<FenceQuery>();
    entry.Receive(queries.front().first, NotSeenReply(queries.front().second));
    ExpectUncertain(entry, caller);
  }

  void EntryWithoutHistoryAnswersUncertain()
  {
    EntryFixture entry;
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    entry.Receive(agent, NotSeenReply(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
  }

  void DeparturesReportedByAPeerCount()
  {
    EntryFixture entry;
    PeerHello hello;
    hello.m_remembersFor = std::chrono::hours(1);
    hello.m_departed.push_back({ { "gone", { 1 } },
                                 "photo",
                                 std::chrono::minutes(1),
                                 std::chrono::minutes(30) });
    entry.Receive({ "entry2", { 1 } }, hello);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    entry.Receive(agent, NotSeenReply(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
  }

  void AgentThatEvictedKeysMakesTheAnswerUncertain()
  {
    EntryFixture entry;
    ReportNoDepartures(entry);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    FenceReply reply = NotSeenReply(entry.Sent<FenceQuery>().front().second);
    reply.m_remembersFor = std::chrono::minutes(9);
    entry.Receive(agent, reply);
    ExpectUncertain(entry, caller);
  }

  void AgentKnownOnlyToAPeerMakesTheAnswerUncertain()
  {
    EntryFixture entry;
    PeerHello hello;
    hello.m_remembersFor = std::chrono::hours(1);
    hello.m_departed.push_back(
      { { "x", { 1 } }, "photo", {}, std::chrono::hours(1) });
    hello.m_departed.push_back(
      { { "unheard", { 1 } }, "photo", {}, std::chrono::hours(1) });
    entry.Receive({ "entry2", { 1 } }, hello);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    entry.Receive(agent, NotSeenReply(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
    // Once the agent has announced itself, it can be queried.
    const ProcessId announced = entry.AddAgent("unheard", 1);
    entry.ClearCommands();
    entry.KeyedRequest("l", 2);
    const auto queries = entry.Sent<FenceQuery>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), queries.size());
    entry.Receive(announced, NotSeenReply(queries[0].second));
    entry.Receive(agent, NotSeenReply(queries[0].second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
  }

  void AgentWithoutItsEndpointIsQueriedToo()
  {
    EntryFixture entry;
    ReportNoDepartures(entry);
    const ProcessId agent = entry.AddAgent("x", 1);
    Announce withoutEndpoint;
    withoutEndpoint.m_leaseFor = std::chrono::hours(1);
    entry.Receive(agent, std::move(withoutEndpoint));
    entry.AddAgent("y", 1);
    entry.KeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.Sent<FenceQuery>().size());
  }

  void AgentIsQueriedForServicesReportedByPeers()
  {
    EntryFixture entry;
    PeerHello hello;
    hello.m_remembersFor = std::chrono::hours(1);
    hello.m_departed.push_back({ { "x", { 1 } }, "photo", {}, {} });
    hello.m_departed.push_back({ { "y", { 1 } }, "photo", {}, {} });
    Announce bare;
    bare.m_leaseFor = std::chrono::hours(1);
    entry.Receive({ "x", { 1 } }, bare);
    entry.Receive({ "entry2", { 1 } }, hello);
    entry.Receive({ "y", { 1 } }, bare);
    entry.AddAgent("z", 1);
    entry.KeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), entry.Sent<FenceQuery>().size());
  }

  void AllAgentsAreQueriedAndAllDeparturesCount()
  {
    EntryPolicy policy;
    policy.m_keyCandidates = 1;
    EntryFixture entry(policy);
    ReportNoDepartures(entry);
    entry.AddAgent("x", 1);
    entry.AddAgent("y", 1);
    entry.AddAgent("z", 1);
    entry.KeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), entry.Sent<FenceQuery>().size());
    Announce restarted;
    restarted.m_leaseFor = std::chrono::hours(1);
    restarted.m_endpoint = EndpointInfo{ "photo", 1, 64, false };
    entry.Receive({ "z", { 2 } }, restarted);
    entry.ClearCommands();
    const CallerToken caller = entry.KeyedRequest("l", 2);
    for (const auto& [agent, query] : entry.Sent<FenceQuery>()) {
      entry.Receive(agent, NotSeenReply(query));
    }
    ExpectUncertain(entry, caller);
  }

  void AgentThatJoinedLaterIsNotUsed()
  {
    EntryFixture entry;
    const ProcessId full = entry.AddAgent("x", 1);
    entry.KeyedRequest("k", 1);
    const AttemptId first = entry.Offers().front().m_offer.m_attempt;
    entry.Advance(std::chrono::milliseconds(1));
    entry.AddAgent("y", 1);
    entry.ClearCommands();
    entry.Report(
      full, first, AttemptFate::Refused, 1, ErrorKind::ConnectFailed);
    entry.Advance(std::chrono::seconds(1));
    for (const EntryFixture::SentOffer& offer : entry.Offers()) {
      CPPUNIT_ASSERT_EQUAL(full.m_name, offer.m_agent.m_name);
    }
  }

  void PeersAreNotifiedOfAgents()
  {
    EntryFixture entry;
    entry.HandleEvent(PeersChanged{ { { "entry2", { 1 } } } });
    entry.AddAgent("x", 1);
    const auto hellos = entry.Sent<PeerHello>();
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
    reply.m_remembersFor = std::chrono::minutes(10);
    return reply;
  }

  /** Sends the entry a peer's history that covers the key retention and lists
   * no departed agent. */
  static void ReportNoDepartures(EntryFixture& aEntry)
  {
    PeerHello hello;
    hello.m_remembersFor = std::chrono::hours(1);
    aEntry.Receive({ "entry2", { 1 } }, hello);
  }

  static void ExpectUncertain(const EntryFixture& aEntry, CallerToken aCaller)
  {
    const std::optional<Answer> answer = aEntry.AnswerOf(aCaller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_kind == ErrorKind::RepeatUncertain);
    CPPUNIT_ASSERT(answer->m_execution == Execution::MayHaveRun);
    CPPUNIT_ASSERT(aEntry.Offers().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryClaimTest);

} // namespace

} // namespace mulberrysail::core
