#include "daemon/settings/settingsreader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace mulberrysail::daemon {

namespace {

constexpr std::string_view kRequiredEntryFields =
  R"("role": "entry", "name": "e", "zone": "z",
     "store": {"urls": ["http://127.0.0.1:2379"]})";

std::string
Faults(std::string_view aText)
{
  const core::Result<Settings> settings = ParseSettings(aText);
  CPPUNIT_ASSERT(!settings);
  CPPUNIT_ASSERT(settings.error().m_kind == core::ErrorKind::InvalidSettings);
  return settings.error().m_detail;
}

std::string
EntryFaults(std::string_view aFields)
{
  return Faults("{" + std::string(kRequiredEntryFields) + ", " +
                std::string(aFields) + "}");
}

class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsSamples);
  CPPUNIT_TEST(AppliesPolicyFields);
  CPPUNIT_TEST(ReportsEveryInvalidField);
  CPPUNIT_TEST(RejectsFieldsOfOtherRole);
  CPPUNIT_TEST(RejectsInvalidValues);
  CPPUNIT_TEST(ChecksFieldCombinations);
  CPPUNIT_TEST(DocumentedSettingsMatchCode);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsSamples()
  {
    const core::Result<Settings> entry = LoadSettings("samples/entry.json");
    CPPUNIT_ASSERT(entry && entry.value().m_role == Role::Entry);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{ 8080 }, entry.value().m_http.m_port);
    const core::Result<Settings> agent = LoadSettings("samples/agent.json");
    CPPUNIT_ASSERT(agent && agent.value().m_role == Role::Agent);
    CPPUNIT_ASSERT(!LoadSettings("samples/no-such-file.json"));
  }

  void AppliesPolicyFields()
  {
    const core::Result<Settings> settings =
      ParseSettings(R"({"role": "entry", "name": "e", "zone": "z", // why
        "store": {"urls": ["http://127.0.0.1:2379"]},
        "policy": {"placement": "probe", "probes": 3, "zone_delay_us": 1500},
        "seed": 9})");
    CPPUNIT_ASSERT(settings);
    const core::EntryPolicy& policy = settings.value().m_entryPolicy;
    CPPUNIT_ASSERT_EQUAL(
      3U, std::get<core::ProbePlacement>(policy.m_placement).m_probes);
    CPPUNIT_ASSERT(policy.m_zoneDelay == std::chrono::microseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("z"), policy.m_zone);
    CPPUNIT_ASSERT(settings.value().m_seed == std::uint64_t{ 9 });
  }

  void ReportsEveryInvalidField()
  {
    const std::string faults = EntryFaults(
      R"("htp": {}, "http": {"port": 70000, "prot": 1}, "shards": "two")");
    CPPUNIT_ASSERT_EQUAL(
      std::string("htp: there is no such field for this role\n"
                  "http.prot: there is no such field for this role\n"
                  "http.port: expected a whole number from 0 to 65535\n"
                  "shards: expected a whole number from 1 to 16"),
      faults);
  }

  void RejectsFieldsOfOtherRole()
  {
    const std::string faults = EntryFaults(R"("policy": {"lease_ms": 6000})");
    CPPUNIT_ASSERT_EQUAL(
      std::string("policy.lease_ms: there is no such field for this role"),
      faults);
  }

  void RejectsInvalidValues()
  {
    for (const std::string_view fields :
         { R"("store": {"urls": ["127.0.0.1:2379"]})",
           R"("store": {"urls": "http://127.0.0.1:2379"})",
           R"("store": [])",
           R"("entries": ["tcp://entry:8081"])",
           R"("entries": ["tcp://127.0.0.1:0"])",
           R"("http": {"address": "localhost"})",
           R"("http": {"port": 1.5})",
           R"("http": {"port": -1})",
           R"("policy": {"placement": "best"})",
           R"("policy": {"learn_speed": 1})",
           R"("log": {"level": "debug"})",
           R"("processor_share": -0.1)",
           R"("processor_share": 1025)",
           R"("policy": {"forward_jobs": 1})",
           R"("limits": {"tasks_per_job": 0})" }) {
      CPPUNIT_ASSERT(EntryFaults(fields).find("expected") != std::string::npos);
    }
    Faults("[]");
    Faults("{");
    Faults("{}");
    Faults(R"({"role": "judge", "name": "e", "zone": "z"})");
    Faults(R"({"role": "entry", "name": "a b", "zone": "z"})");
    Faults(R"({"role": "entry", "zone": "z"})");
  }

  void ChecksFieldCombinations()
  {
    CPPUNIT_ASSERT(EntryFaults(R"("http": {"address": "0.0.0.0"})")
                     .starts_with("advertise.http_url: required"));
    CPPUNIT_ASSERT(
      EntryFaults(R"("store": {"urls": []})").starts_with("store.urls: "));
    CPPUNIT_ASSERT(Faults(R"({"role": "agent", "name": "a", "zone": "z"})")
                     .starts_with("entries: "));
    // Only the first shard exchanges messages with other entries, and a silent
    // entry has to be given up.
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        "policy.forward_jobs: requires `shards` 1, found 2\n"
        "policy.forward_jobs: requires `policy.agent_silence_ms` above 0, "
        "found 0"),
      EntryFaults(R"("shards": 2, "processor_share": 0.12,
                     "policy": {"forward_jobs": true})"));
  }

  void DocumentedSettingsMatchCode()
  {
    std::ifstream file("docs/SETTINGS.md");
    std::ostringstream page;
    page << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL(SettingsPage(), page.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace

} // namespace mulberrysail::daemon
