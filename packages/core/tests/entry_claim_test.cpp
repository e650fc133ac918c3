#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

class EntryClaimTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryClaimTest);
  CPPUNIT_TEST(AFirstSubmissionAsksNobody);
  CPPUNIT_TEST(AnUnnumberedOneRunsAfterAllSayNo);
  CPPUNIT_TEST(AnUnnumberedOneNeedsAKnownPast);
  CPPUNIT_TEST(AnEmptyPastIsKnown);
  CPPUNIT_TEST(AResubmissionGetsTheHeldAnswer);
  CPPUNIT_TEST(AnAgentThatLeftMakesItUncertain);
  CPPUNIT_TEST(AnEntryThatKnowsTooLittleSaysSo);
  CPPUNIT_TEST(APeerTellsOfDepartures);
  CPPUNIT_TEST(AnAgentThatForgotKeysMakesItUncertain);
  CPPUNIT_TEST(AnAgentThatOnlyAPeerKnowsMakesItUncertain);
  CPPUNIT_TEST(AnAgentWithoutItsEndpointIsAskedToo);
  CPPUNIT_TEST(AnAgentIsAskedForWhatPeersSayItServed);
  CPPUNIT_TEST(AllAgentsAreAskedAndAllDeparturesCount);
  CPPUNIT_TEST(AnAgentThatCameLaterIsNotUsed);
  CPPUNIT_TEST(PeersAreToldOfAgents);
  CPPUNIT_TEST_SUITE_END();

public:
  void AFirstSubmissionAsksNobody()
  {
    EntryFixture entry;
    entry.AddAgent("x", 1);
    entry.KeyedRequest("k", 1);
    CPPUNIT_ASSERT(entry.Sent<FenceQuery>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
  }

  void AnUnnumberedOneRunsAfterAllSayNo()
  {
    EntryFixture entry;
    LearnThePast(entry);
    entry.AddAgent("x", 1);
    entry.AddAgent("y", 1);
    entry.KeyedRequest("k", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.Sent<FenceQuery>().size());
    const auto queries = entry.Sent<FenceQuery>();
    entry.Receive(queries[0].first, No(queries[0].second));
    CPPUNIT_ASSERT(entry.Offers().empty());
    entry.Receive(queries[1].first, No(queries[1].second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
    CPPUNIT_ASSERT(entry.Offers().front().m_offer.m_key->m_claim != 0);
  }

  void AnUnnumberedOneNeedsAKnownPast()
  {
    EntryFixture entry;
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 0);
    entry.Receive(agent, No(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
  }

  void AnEmptyPastIsKnown()
  {
    EntryFixture entry;
    entry.Give(NoPriorSubmissions{});
    const ProcessId agent = entry.AddAgent("x", 1);
    entry.KeyedRequest("k", 0);
    entry.Receive(agent, No(entry.Sent<FenceQuery>().front().second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
  }

  void AResubmissionGetsTheHeldAnswer()
  {
    EntryFixture entry;
    LearnThePast(entry);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    FenceReply reply = No(entry.Sent<FenceQuery>().front().second);
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

  void AnAgentThatLeftMakesItUncertain()
  {
    EntryFixture entry;
    LearnThePast(entry);
    entry.AddAgent("x", 1);
    Announce restarted;
    restarted.m_leaseFor = std::chrono::hours(1);
    restarted.m_endpoint = EndpointInfo{ "photo", 1, 64, false };
    entry.Receive({ "x", { 2 } }, std::move(restarted));
    const CallerToken caller = entry.KeyedRequest("k", 2);
    const auto queries = entry.Sent<FenceQuery>();
    entry.Receive(queries.front().first, No(queries.front().second));
    ExpectUncertain(entry, caller);
  }

  void AnEntryThatKnowsTooLittleSaysSo()
  {
    EntryFixture entry;
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    entry.Receive(agent, No(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
  }

  void APeerTellsOfDepartures()
  {
    EntryFixture entry;
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
    hello.m_departed.push_back({ { "gone", { 1 } },
                                 "photo",
                                 std::chrono::minutes(1),
                                 std::chrono::minutes(30) });
    entry.Receive({ "entry2", { 1 } }, hello);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    entry.Receive(agent, No(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
  }

  void AnAgentThatForgotKeysMakesItUncertain()
  {
    EntryFixture entry;
    LearnThePast(entry);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    FenceReply reply = No(entry.Sent<FenceQuery>().front().second);
    reply.m_recordsCover = std::chrono::minutes(9);
    entry.Receive(agent, reply);
    ExpectUncertain(entry, caller);
  }

  void AnAgentThatOnlyAPeerKnowsMakesItUncertain()
  {
    EntryFixture entry;
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
    hello.m_departed.push_back(
      { { "x", { 1 } }, "photo", {}, std::chrono::hours(1) });
    hello.m_departed.push_back(
      { { "unheard", { 1 } }, "photo", {}, std::chrono::hours(1) });
    entry.Receive({ "entry2", { 1 } }, hello);
    const ProcessId agent = entry.AddAgent("x", 1);
    const CallerToken caller = entry.KeyedRequest("k", 2);
    entry.Receive(agent, No(entry.Sent<FenceQuery>().front().second));
    ExpectUncertain(entry, caller);
    // Once it is heard it can be asked.
    const ProcessId heard = entry.AddAgent("unheard", 1);
    entry.Forget();
    entry.KeyedRequest("l", 2);
    const auto queries = entry.Sent<FenceQuery>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), queries.size());
    entry.Receive(heard, No(queries[0].second));
    entry.Receive(agent, No(queries[0].second));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.Offers().size());
  }

  void AnAgentWithoutItsEndpointIsAskedToo()
  {
    EntryFixture entry;
    LearnThePast(entry);
    const ProcessId agent = entry.AddAgent("x", 1);
    Announce lapsed;
    lapsed.m_leaseFor = std::chrono::hours(1);
    entry.Receive(agent, std::move(lapsed));
    entry.AddAgent("y", 1);
    entry.KeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.Sent<FenceQuery>().size());
  }

  void AnAgentIsAskedForWhatPeersSayItServed()
  {
    EntryFixture entry;
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
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

  void AllAgentsAreAskedAndAllDeparturesCount()
  {
    EntryPolicy policy;
    policy.m_keyCandidates = 1;
    EntryFixture entry(policy);
    LearnThePast(entry);
    entry.AddAgent("x", 1);
    entry.AddAgent("y", 1);
    entry.AddAgent("z", 1);
    entry.KeyedRequest("k", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), entry.Sent<FenceQuery>().size());
    Announce restarted;
    restarted.m_leaseFor = std::chrono::hours(1);
    restarted.m_endpoint = EndpointInfo{ "photo", 1, 64, false };
    entry.Receive({ "z", { 2 } }, restarted);
    entry.Forget();
    const CallerToken caller = entry.KeyedRequest("l", 2);
    for (const auto& [agent, query] : entry.Sent<FenceQuery>()) {
      entry.Receive(agent, No(query));
    }
    ExpectUncertain(entry, caller);
  }

  void AnAgentThatCameLaterIsNotUsed()
  {
    EntryFixture entry;
    const ProcessId full = entry.AddAgent("x", 1);
    entry.KeyedRequest("k", 1);
    const AttemptId first = entry.Offers().front().m_offer.m_attempt;
    entry.Advance(std::chrono::milliseconds(1));
    entry.AddAgent("y", 1);
    entry.Forget();
    entry.Report(
      full, first, AttemptFate::Refused, 1, ErrorKind::ConnectFailed);
    entry.Advance(std::chrono::seconds(1));
    for (const EntryFixture::SentOffer& offer : entry.Offers()) {
      CPPUNIT_ASSERT_EQUAL(full.m_name, offer.m_agent.m_name);
    }
  }

  void PeersAreToldOfAgents()
  {
    EntryFixture entry;
    entry.Give(PeersChanged{ { { "entry2", { 1 } } } });
    entry.AddAgent("x", 1);
    const auto hellos = entry.Sent<PeerHello>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), hellos.size());
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         hellos[0].second.m_departed.at(0).m_agent.m_name);
  }

private:
  static FenceReply No(const FenceQuery& aQuery)
  {
    FenceReply reply;
    reply.m_fence = aQuery.m_fence;
    reply.m_recordsCover = std::chrono::minutes(10);
    return reply;
  }

  /** Makes the entry know that nobody left in the time that counts. */
  static void LearnThePast(EntryFixture& aEntry)
  {
    PeerHello hello;
    hello.m_recordsCover = std::chrono::hours(1);
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
