#include "network/internal/messageoutbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberrysail::network {

namespace {

const core::ProcessId kAgent{ "agent-1", { 1 } };
const core::ProcessId kNextIncarnation{ "agent-1", { 2 } };

core::Message
RevocationOf(std::uint64_t aAttempt)
{
  return core::RevokeBatch{ { { aAttempt } } };
}

std::size_t
RevokedIn(const OutgoingMessage& aMessage)
{
  return std::get<core::RevokeBatch>(aMessage.m_message).m_attempts.size();
}

class MessageOutboxTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageOutboxTest);
  CPPUNIT_TEST(ABacklogCostsOneMessagePerRecipient);
  CPPUNIT_TEST(MessagesToOneRecipientKeepTheirOrder);
  CPPUNIT_TEST(IncarnationsAreOtherRecipients);
  CPPUNIT_TEST_SUITE_END();

public:
  void ABacklogCostsOneMessagePerRecipient()
  {
    constexpr std::size_t kRecipients = 10;
    constexpr std::size_t kRounds = 20;
    MessageOutbox outbox;
    for (std::size_t round = 0; round < kRounds; ++round) {
      for (std::size_t agent = 0; agent < kRecipients; ++agent) {
        outbox.Push(
          { { "agent-" + std::to_string(agent), { 1 } }, RevocationOf(round) });
      }
    }
    const MessageOutbox::Contents contents = outbox.TakeAll();
    CPPUNIT_ASSERT_EQUAL(kRecipients, contents.m_messages.size());
    for (const OutgoingMessage& message : contents.m_messages) {
      CPPUNIT_ASSERT_EQUAL(kRounds, RevokedIn(message));
    }
  }

  void MessagesToOneRecipientKeepTheirOrder()
  {
    MessageOutbox outbox;
    outbox.Push({ kAgent, RevocationOf(1) });
    outbox.Push({ kAgent, core::EntryHello{} });
    outbox.Push({ { "agent-2", { 1 } }, RevocationOf(2) });
    outbox.Push({ kAgent, RevocationOf(3) });
    outbox.Push({ kAgent, RevocationOf(4) });
    const std::vector<OutgoingMessage> messages = outbox.TakeAll().m_messages;
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), messages.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), RevokedIn(messages[0]));
    CPPUNIT_ASSERT(
      std::holds_alternative<core::EntryHello>(messages[1].m_message));
    CPPUNIT_ASSERT_EQUAL(std::string("agent-2"), messages[2].m_to.m_name);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), RevokedIn(messages[3]));
  }

  void IncarnationsAreOtherRecipients()
  {
    MessageOutbox outbox;
    outbox.Push({ kAgent, RevocationOf(1) });
    outbox.Push({ kNextIncarnation, RevocationOf(2) });
    outbox.Push({ kNextIncarnation, RevocationOf(3) });
    const std::vector<OutgoingMessage> messages = outbox.TakeAll().m_messages;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), messages.size());
    CPPUNIT_ASSERT(messages[0].m_to == kAgent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), RevokedIn(messages[0]));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), RevokedIn(messages[1]));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageOutboxTest);

} // namespace

} // namespace mulberrysail::network
