#include "network/tests/recordingpeer.h"
#include "protocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

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

/** A socket that says whatever the test wants. */
class RawDialer
{
public:
  RawDialer(const std::string& aUrl, int aHighWaterMark)
    : m_socket(m_context, zmq::socket_type::dealer)
  {
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::rcvhwm, aHighWaterMark);
    m_socket.set(zmq::sockopt::rcvbuf, 4096);
    m_socket.connect(aUrl);
  }

  void Say(const std::string& aBytes, bool aMore = false)
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
  CPPUNIT_TEST(RestartedListenerIsAnotherPeer);
  CPPUNIT_TEST(RestartedDialerIsAnotherPeer);
  CPPUNIT_TEST(PeersThatDialEachOtherNeedOneLink);
  CPPUNIT_TEST(ForgottenPeersAreNotReached);
  CPPUNIT_TEST(GarbageIsRejected);
  CPPUNIT_TEST(MessagesForAnotherLifeAreRejected);
  CPPUNIT_TEST(PeerThatReadsNothingHoldsUpNobody);
  CPPUNIT_TEST(TakenPortIsAnError);
  CPPUNIT_TEST_SUITE_END();

public:
  void ExchangesBothWays()
  {
    RecordingPeer entry(kEntry, true);
    RecordingPeer agent(kAgent, false);
    agent.Dial(entry);
    CPPUNIT_ASSERT(agent.WaitForLinks(kEntry));
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    agent.Transport().Send(kEntry, Numbered(1));
    entry.Transport().Send(kAgent, Numbered(2));
    CPPUNIT_ASSERT(entry.WaitForMessages(1));
    CPPUNIT_ASSERT(agent.WaitForMessages(1));
    const RecordingPeer::Record record = entry.Copy();
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
    agent.Dial(entry);
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    for (std::uint64_t i = 0; i < kCount; ++i) {
      entry.Transport().Send(kAgent, Numbered(i));
    }
    CPPUNIT_ASSERT(agent.WaitForMessages(kCount));
    const RecordingPeer::Record record = agent.Copy();
    for (std::uint64_t i = 0; i < kCount; ++i) {
      CPPUNIT_ASSERT_EQUAL(i, NumberOf(record.m_messages[i].second));
    }
  }

  void SendingToAnUnknownPeerFails()
  {
    RecordingPeer entry(kEntry, true);
    entry.Transport().Send(kAgent, Numbered(1));
    CPPUNIT_ASSERT(entry.WaitFor([](const RecordingPeer::Record& aRecord) {
      return aRecord.m_failed == std::vector{ kAgent };
    }));
  }

  void RestartedListenerIsAnotherPeer()
  {
    const core::ProcessId nextLife{ kEntry.m_name, { 11 } };
    RecordingPeer agent(kAgent, false);
    std::uint16_t port = 0;
    {
      RecordingPeer entry(kEntry, true);
      port = entry.Transport().Port();
      agent.Dial(entry);
      CPPUNIT_ASSERT(agent.WaitForLinks(kEntry));
    }
    RecordingPeer entry(nextLife, true, port);
    CPPUNIT_ASSERT(agent.WaitForLinks(nextLife));
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    agent.Transport().Send(kEntry, Numbered(1));
    agent.Transport().Send(nextLife, Numbered(2));
    CPPUNIT_ASSERT(entry.WaitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         NumberOf(entry.Copy().m_messages.front().second));
    CPPUNIT_ASSERT(agent.Copy().m_failed == std::vector{ kEntry });
  }

  void RestartedDialerIsAnotherPeer()
  {
    const core::ProcessId nextLife{ kAgent.m_name, { 31 } };
    RecordingPeer entry(kEntry, true);
    {
      RecordingPeer agent(kAgent, false);
      agent.Dial(entry);
      CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    }
    RecordingPeer agent(nextLife, false);
    agent.Dial(entry);
    CPPUNIT_ASSERT(entry.WaitForLinks(nextLife));
    entry.Transport().Send(kAgent, Numbered(1));
    entry.Transport().Send(nextLife, Numbered(2));
    CPPUNIT_ASSERT(agent.WaitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         NumberOf(agent.Copy().m_messages.front().second));
    CPPUNIT_ASSERT(entry.Copy().m_failed == std::vector{ kAgent });
  }

  void PeersThatDialEachOtherNeedOneLink()
  {
    RecordingPeer one(kEntry, true);
    RecordingPeer other(kOtherEntry, true);
    one.Dial(other);
    other.Dial(one);
    CPPUNIT_ASSERT(one.WaitForLinks(kOtherEntry));
    CPPUNIT_ASSERT(other.WaitForLinks(kEntry));
    one.Transport().Send(kOtherEntry, Numbered(1));
    other.Transport().Send(kEntry, Numbered(2));
    CPPUNIT_ASSERT(one.WaitForMessages(1));
    CPPUNIT_ASSERT(other.WaitForMessages(1));
    one.Transport().SetPeers({});
    // Sends over a link that is just being lost may fail; the other link
    // takes over.
    CPPUNIT_ASSERT(EventuallyDelivers(one, other));
    CPPUNIT_ASSERT(EventuallyDelivers(other, one));
  }

  void ForgottenPeersAreNotReached()
  {
    RecordingPeer entry(kEntry, true);
    RecordingPeer agent(kAgent, false);
    agent.Dial(entry);
    CPPUNIT_ASSERT(agent.WaitForLinks(kEntry));
    agent.Transport().SetPeers({});
    agent.Transport().Send(kEntry, Numbered(1));
    CPPUNIT_ASSERT(agent.WaitFor([](const RecordingPeer::Record& aRecord) {
      return aRecord.m_failed.size() == 1;
    }));
    agent.Dial(entry);
    CPPUNIT_ASSERT(agent.WaitForLinks(kEntry, 2));
  }

  void GarbageIsRejected()
  {
    RecordingPeer entry(kEntry, true);
    RawDialer dialer(entry.Url(), 10);
    dialer.Say("no envelope");
    dialer.Say("");
    dialer.Say("two", true);
    dialer.Say("parts");
    CPPUNIT_ASSERT(entry.WaitFor([](const RecordingPeer::Record& aRecord) {
      return aRecord.m_rejected.size() == 3;
    }));
    CPPUNIT_ASSERT(entry.Copy().m_messages.empty());
    CPPUNIT_ASSERT(entry.Copy().m_links.empty());
  }

  void MessagesForAnotherLifeAreRejected()
  {
    RecordingPeer entry(kEntry, true);
    RawDialer dialer(entry.Url(), 10);
    dialer.Say(protocol::Encode({ kAgent, 1 }, Numbered(1), { 9 }));
    dialer.Say(protocol::Encode({ kAgent, 1 }, Numbered(2), { 10 }));
    CPPUNIT_ASSERT(entry.WaitForMessages(1));
    const RecordingPeer::Record record = entry.Copy();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), record.m_rejected.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         NumberOf(record.m_messages.front().second));
    CPPUNIT_ASSERT(record.m_links == std::vector{ kAgent });
  }

  void PeerThatReadsNothingHoldsUpNobody()
  {
    const core::ProcessId silent{ "silent", { 1 } };
    RecordingPeer entry(kEntry, true, 0, 16);
    RecordingPeer agent(kAgent, false);
    agent.Dial(entry);
    RawDialer dialer(entry.Url(), 1);
    dialer.Say(protocol::EncodeGreeting({ silent, 1 }, {}));
    CPPUNIT_ASSERT(entry.WaitForLinks(silent));
    CPPUNIT_ASSERT(entry.WaitForLinks(kAgent));
    const core::Message large =
      core::ConfigUpdate{ { 1 }, std::string(1U << 20U, 'x') };
    for (int i = 0; i < 64; ++i) {
      entry.Transport().Send(silent, large);
    }
    entry.Transport().Send(kAgent, Numbered(1));
    CPPUNIT_ASSERT(agent.WaitForMessages(1));
    CPPUNIT_ASSERT(entry.WaitFor([&](const RecordingPeer::Record& aRecord) {
      return !aRecord.m_failed.empty() && aRecord.m_failed.front() == silent;
    }));
  }

  void TakenPortIsAnError()
  {
    RecordingPeer entry(kEntry, true);
    const core::Result<std::unique_ptr<IMessageTransport>> second =
      StartMessageTransport(
        { kOtherEntry, "127.0.0.1", entry.Transport().Port() }, {});
    CPPUNIT_ASSERT(!second);
    CPPUNIT_ASSERT(second.error().m_kind == core::ErrorKind::InvalidSettings);
  }

private:
  /** Sends until one message came through. */
  static bool EventuallyDelivers(RecordingPeer& aFrom, RecordingPeer& aTo)
  {
    constexpr int kRounds = 200;
    constexpr std::chrono::milliseconds kPatience(50);
    for (int round = 0; round < kRounds; ++round) {
      aFrom.Transport().Send(aTo.Self(), Numbered(3));
      const bool arrived = aTo.WaitFor(
        [](const RecordingPeer::Record& aRecord) {
          return NumberOf(aRecord.m_messages.back().second) == 3;
        },
        kPatience);
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
