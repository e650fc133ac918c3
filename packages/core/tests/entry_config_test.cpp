#include "core/internal/configtransfer.h"
#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 20;
constexpr std::size_t kDocumentBytes = 300000;
/** At 2 Mbit/s, the slowest link of the users' sites, a message of this size
 * delays an offer behind it by 50 ms. */
constexpr std::size_t kMaxMessageBytes = 12500;

/** Distribution of the configuration by an entry. */
class EntryConfigTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryConfigTest);
  CPPUNIT_TEST(GrownConfigurationDoesNotDelayOffersToAgents);
  CPPUNIT_TEST(FewAgentsKeepACopyAndAllLearnTheVersion);
  CPPUNIT_TEST(PartsOfTheDocumentAreSmall);
  CPPUNIT_TEST(EntryWithoutStoreReceivesTheConfigurationFromAnAgent);
  CPPUNIT_TEST(StalledTransferContinuesFromAnotherAgent);
  CPPUNIT_TEST(NothingIsRequestedIfTheStoreIsFaster);
  CPPUNIT_TEST(NewHolderIsRequestedToKeepACopy);
  CPPUNIT_TEST_SUITE_END();

public:
  void GrownConfigurationDoesNotDelayOffersToAgents()
  {
    EntryFixture fixture;
    AddAgents(fixture);
    fixture.HandleEvent(LargeConfig());
    std::size_t bytes = 0;
    for (const auto& [to, update] : fixture.Sent<ConfigUpdate>()) {
      bytes += update.m_part.size();
    }
    CPPUNIT_ASSERT(bytes <= kMaxMessageBytes);
  }

  void FewAgentsKeepACopyAndAllLearnTheVersion()
  {
    EntryFixture fixture;
    AddAgents(fixture);
    fixture.HandleEvent(LargeConfig());
    std::size_t copies = 0;
    for (const auto& [to, hello] : fixture.Sent<EntryHello>()) {
      CPPUNIT_ASSERT(hello.m_config == ConfigVersion{ 2 });
      copies += hello.m_keepConfig ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(kAgents, fixture.Sent<EntryHello>().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, copies);
  }

  void PartsOfTheDocumentAreSmall()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("agent", kCapacity);
    fixture.HandleEvent(LargeConfig());
    std::string document;
    while (document.size() < kDocumentBytes) {
      fixture.ClearCommands();
      const ConfigCopy copy =
        MakeConfigCopy({ 2 }, std::string(kDocumentBytes, 'x'));
      fixture.Receive(
        agent, ConfigRequest{ { 1 }, { 2 }, copy.m_digest, document.size() });
      const std::string part = fixture.Sent<ConfigUpdate>().at(0).second.m_part;
      CPPUNIT_ASSERT(!part.empty() && part.size() <= kMaxMessageBytes);
      document += part;
    }
    CPPUNIT_ASSERT_EQUAL(kDocumentBytes, document.size());
  }

  void EntryWithoutStoreReceivesTheConfigurationFromAnAgent()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("agent", kCapacity);
    const ConfigCopy copy = MakeConfigCopy({ 7 }, std::string(30000, 'y'));
    ReportCopy(fixture, agent, copy.m_version);
    fixture.Advance(seconds(2));
    AnswerRequests(fixture, copy);
    const ApplyConfig* const received = Received(fixture);
    CPPUNIT_ASSERT(received != nullptr);
    CPPUNIT_ASSERT(received->m_version == copy.m_version);
    CPPUNIT_ASSERT_EQUAL(copy.m_document, received->m_document);
    fixture.ClearCommands();
    fixture.Advance(seconds(5));
    CPPUNIT_ASSERT(fixture.Sent<ConfigRequest>().empty());
  }

  void StalledTransferContinuesFromAnotherAgent()
  {
    EntryFixture fixture;
    const ConfigCopy copy = MakeConfigCopy({ 7 }, std::string(30000, 'y'));
    for (const char* name : { "agent1", "agent2", "agent3" }) {
      ReportCopy(
        fixture, fixture.AddWorkerAgent(name, kCapacity), copy.m_version);
    }
    fixture.Advance(seconds(2));
    const auto [first, request] = fixture.Sent<ConfigRequest>().back();
    fixture.Receive(first, *MakeConfigUpdate(copy, request));
    const ConfigRequest next = fixture.Sent<ConfigRequest>().back().second;
    CPPUNIT_ASSERT(next.m_offset > 0);
    // The second part never arrives.
    fixture.ClearCommands();
    fixture.Advance(seconds(2));
    CPPUNIT_ASSERT(fixture.Sent<ConfigRequest>().back().second.m_offset ==
                   next.m_offset);
    AnswerRequests(fixture, copy);
    CPPUNIT_ASSERT(Received(fixture) != nullptr);
  }

  void NothingIsRequestedIfTheStoreIsFaster()
  {
    EntryFixture fixture;
    const ProcessId agent = fixture.AddWorkerAgent("agent", kCapacity);
    ReportCopy(fixture, agent, { 2 });
    fixture.Advance(milliseconds(500));
    fixture.HandleEvent(LargeConfig());
    fixture.Advance(seconds(5));
    CPPUNIT_ASSERT(fixture.Sent<ConfigRequest>().empty());
  }

  void NewHolderIsRequestedToKeepACopy()
  {
    EntryFixture fixture;
    fixture.HandleEvent(LargeConfig());
    fixture.ClearCommands();
    fixture.AddWorkerAgent("agent", kCapacity);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Sent<EntryHello>().size());
    CPPUNIT_ASSERT(fixture.Sent<EntryHello>().at(0).second.m_keepConfig);
  }

private:
  static constexpr Resources kCapacity{ 8000, 8000, 0 };

  static void AddAgents(EntryFixture& aFixture)
  {
    for (std::size_t i = 0; i < kAgents; ++i) {
      aFixture.AddWorkerAgent("agent" + std::to_string(i), kCapacity);
    }
    aFixture.ClearCommands();
  }

  static ConfigChanged LargeConfig()
  {
    ConfigChanged changed;
    changed.m_configuration.m_version = { 2 };
    changed.m_document = std::string(kDocumentBytes, 'x');
    return changed;
  }

  static void ReportCopy(EntryFixture& aFixture,
                         const ProcessId& aAgent,
                         ConfigVersion aVersion)
  {
    ReportBatch batch;
    batch.m_load.m_sequence = 1000;
    batch.m_load.m_config = aVersion;
    aFixture.Receive(aAgent, batch);
  }

  /** Answers the entry's requests until it sends no more. */
  static void AnswerRequests(EntryFixture& aFixture, const ConfigCopy& aCopy)
  {
    while (!aFixture.Sent<ConfigRequest>().empty()) {
      const auto [to, request] = aFixture.Sent<ConfigRequest>().back();
      aFixture.ClearCommands();
      if (std::optional<ConfigUpdate> update =
            MakeConfigUpdate(aCopy, request)) {
        aFixture.Receive(to, std::move(*update));
      }
    }
  }

  static const ApplyConfig* Received(const EntryFixture& aFixture)
  {
    for (const EntryCommand& command : aFixture.Commands()) {
      if (const ApplyConfig* received = std::get_if<ApplyConfig>(&command)) {
        return received;
      }
    }
    return nullptr;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryConfigTest);

} // namespace

} // namespace mulberrysail::core
