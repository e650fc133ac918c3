#include "core/internal/configtransfer.h"
#include "core/tests/agentfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

/** The copy of the configuration that an agent keeps for entries. */
class AgentConfigTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentConfigTest);
  CPPUNIT_TEST(OlderConfigurationIsNeverApplied);
  CPPUNIT_TEST(TransferContinuesFromAnotherEntry);
  CPPUNIT_TEST(OnlyOneEntryIsSentRequestsAtATime);
  CPPUNIT_TEST(DamagedDocumentIsDiscarded);
  CPPUNIT_TEST(AgentWithoutCopyKnowsTheNewestVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  void OlderConfigurationIsNeverApplied()
  {
    AgentFixture fixture;
    SendConfig(fixture, fixture.m_entry, MakeConfigCopy({ 5 }, "five"));
    CPPUNIT_ASSERT(fixture.Announcements().back().m_load.m_config ==
                   ConfigVersion{ 5 });
    SendConfig(fixture, fixture.m_entry, MakeConfigCopy({ 4 }, "four"));
    CPPUNIT_ASSERT(CopyOf(fixture) == ConfigVersion{ 5 });
    fixture.ClearCommands();
    fixture.Receive(fixture.m_entry, ConfigRequest{ { 3 } });
    const SendMessage* send =
      std::get_if<SendMessage>(&fixture.m_commands.back());
    CPPUNIT_ASSERT(send != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("five"),
                         std::get<ConfigUpdate>(send->m_message).m_part);
  }

  void TransferContinuesFromAnotherEntry()
  {
    AgentFixture fixture;
    const ConfigCopy copy = MakeConfigCopy({ 5 }, std::string(30000, 'x'));
    fixture.Receive(fixture.m_entry, m_keepFive);
    fixture.Receive(fixture.m_entry,
                    *MakeConfigUpdate(copy, *LastRequest(fixture)));
    // The second part is lost.
    fixture.Advance(std::chrono::seconds(1));
    fixture.ClearCommands();
    SendConfig(fixture, m_otherEntry, copy);
    CPPUNIT_ASSERT(CopyOf(fixture) == ConfigVersion{ 5 });
    CPPUNIT_ASSERT(FirstRequest(fixture)->m_offset > 0);
  }

  void OnlyOneEntryIsSentRequestsAtATime()
  {
    AgentFixture fixture;
    fixture.Receive(fixture.m_entry, m_keepFive);
    fixture.ClearCommands();
    fixture.Receive(m_otherEntry, m_keepFive);
    CPPUNIT_ASSERT(!LastRequest(fixture));
  }

  void DamagedDocumentIsDiscarded()
  {
    AgentFixture fixture;
    ConfigCopy damaged = MakeConfigCopy({ 5 }, "five");
    damaged.m_digest ^= 1;
    SendConfig(fixture, fixture.m_entry, damaged);
    CPPUNIT_ASSERT(CopyOf(fixture) == ConfigVersion{});
    fixture.Advance(std::chrono::seconds(1));
    SendConfig(fixture, fixture.m_entry, MakeConfigCopy({ 5 }, "five"));
    CPPUNIT_ASSERT(CopyOf(fixture) == ConfigVersion{ 5 });
  }

  void AgentWithoutCopyKnowsTheNewestVersion()
  {
    AgentFixture fixture;
    fixture.Receive(fixture.m_entry, EntryHello{ { 5 } });
    CPPUNIT_ASSERT(fixture.m_agent->Status().m_load.m_newestConfig ==
                   ConfigVersion{ 5 });
    CPPUNIT_ASSERT(CopyOf(fixture) == ConfigVersion{});
    CPPUNIT_ASSERT(!LastRequest(fixture));
  }

private:
  static ConfigVersion CopyOf(const AgentFixture& aFixture)
  {
    return aFixture.m_agent->Status().m_load.m_config;
  }

  static std::vector<ConfigRequest> Requests(const AgentFixture& aFixture)
  {
    std::vector<ConfigRequest> requests;
    for (const AgentCommand& command : aFixture.m_commands) {
      const SendMessage* send = std::get_if<SendMessage>(&command);
      if (send != nullptr &&
          std::holds_alternative<ConfigRequest>(send->m_message)) {
        requests.push_back(std::get<ConfigRequest>(send->m_message));
      }
    }
    return requests;
  }

  static std::optional<ConfigRequest> FirstRequest(const AgentFixture& aFixture)
  {
    const std::vector<ConfigRequest> requests = Requests(aFixture);
    return requests.empty() ? std::nullopt : std::optional(requests.front());
  }

  static std::optional<ConfigRequest> LastRequest(const AgentFixture& aFixture)
  {
    const std::vector<ConfigRequest> requests = Requests(aFixture);
    return requests.empty() ? std::nullopt : std::optional(requests.back());
  }

  /** Requests the agent to keep a copy, and answers its requests. */
  static void SendConfig(AgentFixture& aFixture,
                         const ProcessId& aEntry,
                         const ConfigCopy& aCopy)
  {
    aFixture.Receive(aEntry, EntryHello{ aCopy.m_version, false, {}, true });
    std::size_t answered = 0;
    while (answered < Requests(aFixture).size()) {
      answered = Requests(aFixture).size();
      if (std::optional<ConfigUpdate> update =
            MakeConfigUpdate(aCopy, *LastRequest(aFixture))) {
        aFixture.Receive(aEntry, std::move(*update));
      }
    }
  }

  const EntryHello m_keepFive{ { 5 }, false, {}, true };
  const ProcessId m_otherEntry{ "entry2", Incarnation{ 1 } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentConfigTest);

} // namespace

} // namespace mulberrysail::core
