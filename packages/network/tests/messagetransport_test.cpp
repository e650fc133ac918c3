#include "network/tests/recordingpeer.h"
#include "protocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sched.h>
#include <sys/resource.h>
#include <zmq.hpp>

#include <algorithm>
#include <limits>
#include <memory>

namespace mulberrysail::network {

namespace {

const core::ProcessId kEntry{ "entry-1", { 10 } };
const core::ProcessId kOtherEntry{ "entry-2", { 20 } };
const core::ProcessId kAgent{ "agent-1", { 30 } };

core::Message
Numbered(std::uint64_t aNumber)
{
  return core::ConfigRequest{ { aNumber } };
}

std::uint64_t
NumberOf(const core::Message& aMessage)
{
  return std::get<core::ConfigRequest>(aMessage).m_knownVersion.m_value;
}

/** A DEALER socket that sends arbitrary bytes. */
class RawDealer
{
public:
  RawDealer(const std::string& aUrl, int aHighWaterMark)
    : m_socket(m_context, zmq::socket_type::dealer)
  {
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::rcvhwm, aHighWaterMark);
    m_socket.set(zmq::sockopt::rcvbuf, 4096);
    m_socket.connect(aUrl);
  }

  void Send(const std::string& aBytes, bool aMore = false)
  {
    m_socket.send(zmq::buffer(aBytes),
                  aMore ? zmq::send_flags::sndmore : zmq::send_flags::none);
  }

private:
  zmq::context_t m_context;
  zmq::socket_t m_socket;
};

class MessageTransportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageTransportTest);
  CPPUNIT_TEST(ExchangesBothWays);
  CPPUNIT_TEST(KeepsTheOrder);
  CPPUNIT_TEST(SendingToAnUnknownPeerFails);
  CPPUNIT_TEST(RestartedListenerIsANewPeer);
  CPPUNIT_TEST(RestartedConnectorIsANewPeer);
  CPPUNIT_TEST(LossOfOneOfTwoLinksIsSurvived);
  CPPUNIT_TEST(RemovedPeersAreUnreachable);
  CPPUNIT_TEST(MalformedMessagesAreRejected);
  CPPUNIT_TEST(MessagesForAnotherIncarnationAreRejected);
  CPPUNIT_TEST(PeerThatDoesNotReadDelaysNoOther);
  CPPUNIT_TEST(PortInUseIsAnError);
  CPPUNIT_TEST(IdlePeersDoNotRaiseTheCostOfAMessage);
  CPPUNIT_TEST_SUITE_END();

public:
  void ExchangesBothWays()
  {
    RecordingPeer entry(kEntry, true);
    RecordingPeer agent(kAgent, false);
    agent.ConnectTo(entry);
    CPPUNIT_ASSERT(agent.WaitForLinks(kEntry));
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    agent.Transport().Send(kEntry, Numbered(1));
    entry.Transport().Send(kAgent, Numbered(2));
    CPPUNIT_ASSERT(entry.WaitForMessages(1));
    CPPUNIT_ASSERT(agent.WaitForMessages(1));
    const RecordingPeer::Record record = entry.Snapshot();
    CPPUNIT_ASSERT(record.m_messages.front().first == kAgent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(77), record.m_mergedStamp);
    agent.Transport().Stop();
    const TransportCounters counters = agent.Transport().Counters();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.m_messagesSent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.m_messagesReceived);
    CPPUNIT_ASSERT(counters.m_bytesSent > 0 && counters.m_bytesReceived > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), agent.Transport().Port());
  }

  void KeepsTheOrder()
  {
    constexpr std::uint64_t kCount = 5000;
    RecordingPeer entry(kEntry, true);
    RecordingPeer agent(kAgent, false);
    agent.ConnectTo(entry);
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    for (std::uint64_t i = 0; i < kCount; ++i) {
      entry.Transport().Send(kAgent, Numbered(i));
    }
    CPPUNIT_ASSERT(agent.WaitForMessages(kCount));
    const RecordingPeer::Record record = agent.Snapshot();
    for (std::uint64_t i = 0; i < kCount; ++i) {
      CPPUNIT_ASSERT_EQUAL(i, NumberOf(record.m_messages[i].second));
    }
  }

  void SendingToAnUnknownPeerFails()
  {
    RecordingPeer entry(kEntry, true);
    entry.Transport().Send(kAgent, Numbered(1));
    CPPUNIT_ASSERT(entry.WaitFor([](const RecordingPeer::Record& aRecord) {
      return aRecord.m_sendFailures == std::vector{ kAgent };
    }));
  }

  void RestartedListenerIsANewPeer()
  {
    const core::ProcessId nextIncarnation{ kEntry.m_name, { 11 } };
    RecordingPeer agent(kAgent, false);
    std::uint16_t port = 0;
    {
      RecordingPeer entry(kEntry, true);
      port = entry.Transport().Port();
      agent.ConnectTo(entry);
      CPPUNIT_ASSERT(agent.WaitForLinks(kEntry));
    }
    RecordingPeer entry(nextIncarnation, true, port);
    CPPUNIT_ASSERT(agent.WaitForLinks(nextIncarnation));
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    agent.Transport().Send(kEntry, Numbered(1));
    agent.Transport().Send(nextIncarnation, Numbered(2));
    CPPUNIT_ASSERT(entry.WaitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         NumberOf(entry.Snapshot().m_messages.front().second));
    CPPUNIT_ASSERT(agent.Snapshot().m_sendFailures == std::vector{ kEntry });
  }

  void RestartedConnectorIsANewPeer()
  {
    const core::ProcessId nextIncarnation{ kAgent.m_name, { 31 } };
    RecordingPeer entry(kEntry, true);
    {
      RecordingPeer agent(kAgent, false);
      agent.ConnectTo(entry);
      CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    }
    RecordingPeer agent(nextIncarnation, false);
    agent.ConnectTo(entry);
    CPPUNIT_ASSERT(entry.WaitForLinks(nextIncarnation));
    entry.Transport().Send(kAgent, Numbered(1));
    entry.Transport().Send(nextIncarnation, Numbered(2));
    CPPUNIT_ASSERT(agent.WaitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         NumberOf(agent.Snapshot().m_messages.front().second));
    CPPUNIT_ASSERT(entry.Snapshot().m_sendFailures == std::vector{ kAgent });
  }

  void LossOfOneOfTwoLinksIsSurvived()
  {
    RecordingPeer one(kEntry, true);
    RecordingPeer other(kOtherEntry, true);
    one.ConnectTo(other);
    other.ConnectTo(one);
    CPPUNIT_ASSERT(one.WaitForLinks(kOtherEntry));
    CPPUNIT_ASSERT(other.WaitForLinks(kEntry));
    one.Transport().Send(kOtherEntry, Numbered(1));
    other.Transport().Send(kEntry, Numbered(2));
    CPPUNIT_ASSERT(one.WaitForMessages(1));
    CPPUNIT_ASSERT(other.WaitForMessages(1));
    one.Transport().SetPeers({});
    // Sends over a link that is being closed may fail; then the other link is
    // used.
    CPPUNIT_ASSERT(EventuallyDelivers(one, other));
    CPPUNIT_ASSERT(EventuallyDelivers(other, one));
  }

  void RemovedPeersAreUnreachable()
  {
    RecordingPeer entry(kEntry, true);
    RecordingPeer agent(kAgent, false);
    agent.ConnectTo(entry);
    CPPUNIT_ASSERT(agent.WaitForLinks(kEntry));
    agent.Transport().SetPeers({});
    agent.Transport().Send(kEntry, Numbered(1));
    CPPUNIT_ASSERT(agent.WaitFor([](const RecordingPeer::Record& aRecord) {
      return aRecord.m_sendFailures.size() == 1;
    }));
    agent.ConnectTo(entry);
    CPPUNIT_ASSERT(agent.WaitForLinks(kEntry, 2));
  }

  void MalformedMessagesAreRejected()
  {
    RecordingPeer entry(kEntry, true);
    RawDealer peer(entry.Url(), 10);
    peer.Send("no envelope");
    peer.Send("");
    peer.Send("two", true);
    peer.Send("parts");
    CPPUNIT_ASSERT(entry.WaitFor([](const RecordingPeer::Record& aRecord) {
      return aRecord.m_rejected.size() == 3;
    }));
    CPPUNIT_ASSERT(entry.Snapshot().m_messages.empty());
    CPPUNIT_ASSERT(entry.Snapshot().m_links.empty());
  }

  void MessagesForAnotherIncarnationAreRejected()
  {
    RecordingPeer entry(kEntry, true);
    RawDealer peer(entry.Url(), 10);
    peer.Send(protocol::Encode({ kAgent, 1 }, Numbered(1), { 9 }));
    peer.Send(protocol::Encode({ kAgent, 1 }, Numbered(2), { 10 }));
    CPPUNIT_ASSERT(entry.WaitForMessages(1));
    const RecordingPeer::Record record = entry.Snapshot();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), record.m_rejected.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         NumberOf(record.m_messages.front().second));
    CPPUNIT_ASSERT(record.m_links == std::vector{ kAgent });
  }

  void PeerThatDoesNotReadDelaysNoOther()
  {
    const core::ProcessId notReading{ "silent", { 1 } };
    RecordingPeer entry(kEntry, true, 0, 16);
    RecordingPeer agent(kAgent, false);
    agent.ConnectTo(entry);
    RawDealer peer(entry.Url(), 1);
    peer.Send(protocol::EncodeGreeting({ notReading, 1 }, {}));
    CPPUNIT_ASSERT(entry.WaitForLinks(notReading));
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    const core::Message large =
      core::ConfigUpdate{ { 1 }, std::string(1U << 20U, 'x') };
    for (int i = 0; i < 64; ++i) {
      entry.Transport().Send(notReading, large);
    }
    entry.Transport().Send(kAgent, Numbered(1));
    CPPUNIT_ASSERT(agent.WaitForMessages(1));
    CPPUNIT_ASSERT(entry.WaitFor([&](const RecordingPeer::Record& aRecord) {
      return !aRecord.m_sendFailures.empty() &&
             aRecord.m_sendFailures.front() == notReading;
    }));
  }

  void PortInUseIsAnError()
  {
    RecordingPeer entry(kEntry, true);
    const core::Result<std::unique_ptr<IMessageTransport>> second =
      StartMessageTransport(
        { kOtherEntry, "127.0.0.1", entry.Transport().Port() }, {});
    CPPUNIT_ASSERT(!second);
    CPPUNIT_ASSERT(second.error().m_kind == core::ErrorKind::InvalidSettings);
  }

  /** The lowest figures count: the time depends on which threads share a core.
   */
  void IdlePeersDoNotRaiseTheCostOfAMessage()
  {
    constexpr double kMostTimes = 2;
    constexpr int kRounds = 8;
    const SingleCore singleCore;
    ExchangingPair alone("alone", 0);
    ExchangingPair amongMany("among-many", 100);
    double microsAlone = std::numeric_limits<double>::max();
    double microsAmongMany = std::numeric_limits<double>::max();
    for (int round = 0; round < kRounds; ++round) {
      microsAlone = std::min(microsAlone, alone.MicrosPerExchange());
      microsAmongMany =
        std::min(microsAmongMany, amongMany.MicrosPerExchange());
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(microsAlone) + " us alone, " +
                             std::to_string(microsAmongMany) +
                             " us beside 100 peers",
                           microsAmongMany < kMostTimes * microsAlone);
  }

private:
  /** Keeps this thread, and those that it starts, on one core of those that it
   * may use, until the end of the scope. */
  class SingleCore
  {
  public:
    SingleCore()
    {
      CPPUNIT_ASSERT_EQUAL(0,
                           sched_getaffinity(0, sizeof m_allowed, &m_allowed));
      cpu_set_t current;
      CPU_ZERO(&current);
      CPU_SET(static_cast<std::size_t>(sched_getcpu()), &current);
      CPPUNIT_ASSERT_EQUAL(0, sched_setaffinity(0, sizeof current, &current));
    }
    ~SingleCore()
    {
      static_cast<void>(sched_setaffinity(0, sizeof m_allowed, &m_allowed));
    }
    SingleCore(const SingleCore&) = delete;
    SingleCore& operator=(const SingleCore&) = delete;

  private:
    cpu_set_t m_allowed{};
  };

  /** An entry and an agent that exchange messages. */
  class ExchangingPair
  {
  public:
    /** @param aIdlePeers number of other entries that the agent is connected
     * to, and that send nothing. */
    ExchangingPair(const std::string& aName, std::uint64_t aIdlePeers)
      : m_entry({ aName + "-entry", { 1 } }, true)
      , m_agent({ aName + "-agent", { 1 } }, false)
    {
      std::vector<PeerAddress> peers{ { m_entry.Url() } };
      for (std::uint64_t i = 0; i < aIdlePeers; ++i) {
        const core::ProcessId self{ "idle-" + std::to_string(i), { 1 } };
        m_idle.push_back(std::make_unique<RecordingPeer>(self, true));
        peers.push_back({ m_idle.back()->Url() });
      }
      m_agent.Transport().SetPeers(peers);
      CPPUNIT_ASSERT(m_agent.WaitForLinks(m_entry.Self()));
      for (const std::unique_ptr<RecordingPeer>& peer : m_idle) {
        CPPUNIT_ASSERT(m_agent.WaitForLinks(peer->Self()));
      }
    }

    /** @return processor time of this process for one message each way, as the
     * mean of a round of exchanges. */
    double MicrosPerExchange()
    {
      constexpr std::uint64_t kExchanges = 100;
      const double before = ProcessorMicros();
      for (std::uint64_t i = 0; i < kExchanges; ++i) {
        ++m_exchanges;
        m_agent.Transport().Send(m_entry.Self(), Numbered(m_exchanges));
        CPPUNIT_ASSERT(m_entry.WaitForMessages(m_exchanges));
        m_entry.Transport().Send(m_agent.Self(), Numbered(m_exchanges));
        CPPUNIT_ASSERT(m_agent.WaitForMessages(m_exchanges));
      }
      return (ProcessorMicros() - before) / kExchanges;
    }

  private:
    RecordingPeer m_entry;
    RecordingPeer m_agent;
    std::vector<std::unique_ptr<RecordingPeer>> m_idle;
    std::uint64_t m_exchanges = 0;
  };

  static double ProcessorMicros()
  {
    constexpr double kMicrosPerSecond = 1e6;
    rusage usage{};
    CPPUNIT_ASSERT_EQUAL(0, getrusage(RUSAGE_SELF, &usage));
    return kMicrosPerSecond * static_cast<double>(usage.ru_utime.tv_sec +
                                                  usage.ru_stime.tv_sec) +
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
  }

  /** Sends repeatedly until one message is received. */
  static bool EventuallyDelivers(RecordingPeer& aFrom, RecordingPeer& aTo)
  {
    constexpr int kRounds = 200;
    constexpr std::chrono::milliseconds kRoundTimeout(50);
    for (int round = 0; round < kRounds; ++round) {
      aFrom.Transport().Send(aTo.Self(), Numbered(3));
      const bool arrived = aTo.WaitFor(
        [](const RecordingPeer::Record& aRecord) {
          return NumberOf(aRecord.m_messages.back().second) == 3;
        },
        kRoundTimeout);
      if (arrived) {
        return true;
      }
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTransportTest);

} // namespace

} // namespace mulberrysail::network
