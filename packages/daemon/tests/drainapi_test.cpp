#include "daemon/internal/drainapi.h"

#include "daemon/tests/fakes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace mulberrysail::daemon {

namespace {

using network::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;

/** Records drains and answers them as the test says. */
class FakeDrainService : public store::IConfigService
{
public:
  std::optional<core::ConfigChanged> Current() const override { return {}; }
  void Patch(store::ConfigPatch /*aPatch*/,
             store::PatchCallback /*aCallback*/) override
  {
  }
  void ApplyPeerConfig(core::ConfigVersion /*aVersion*/,
                       std::string /*aDocument*/) override
  {
  }
  void DrainZone(const std::string& aZone,
                 milliseconds aSince,
                 store::DrainCallback aCallback) override
  {
    m_times[aZone] = aSince;
    aCallback(m_result);
  }
  void UndrainZone(const std::string& aZone,
                   store::DrainCallback aCallback) override
  {
    m_times.erase(aZone);
    aCallback(m_result);
  }
  std::map<std::string, milliseconds> DrainTimes() const override
  {
    return m_times;
  }
  void Stop() override {}

  std::map<std::string, milliseconds> m_times;
  core::Result<void> m_result = BOOST_OUTCOME_V2_NAMESPACE::success();
};

class DrainApiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainApiTest);
  CPPUNIT_TEST(ChangesDrains);
  CPPUNIT_TEST(RejectsInvalidZonesBeforeTheStore);
  CPPUNIT_TEST(MapsErrors);
  CPPUNIT_TEST(ListsZonesWithTheirAgents);
  CPPUNIT_TEST(WritesMetrics);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_log = std::make_unique<FakeEventLog>();
    m_service = std::make_unique<FakeDrainService>();
    m_shards = std::make_unique<ShardSet>(
      core::ProcessId{ "entry", { 1 } },
      2,
      *m_log,
      [this](const core::ProcessId&, std::uint8_t aShard) {
        std::unique_ptr<FakeEntry> entry = std::make_unique<FakeEntry>();
        m_cores.at(aShard) = entry.get();
        return entry;
      });
    m_api = std::make_unique<DrainApi>(*m_service, *m_shards, *m_log);
    m_router = std::make_unique<Router>();
    m_api->AddRoutes(*m_router);
  }

  void ChangesDrains()
  {
    const HttpResponse drained = Call("PUT", "/v1/drains/z1");
    CPPUNIT_ASSERT_EQUAL(200, drained.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"drained":true,"zone":"z1"})"),
                         drained.m_body);
    CPPUNIT_ASSERT(m_service->m_times.at("z1").count() > 1700000000000);
    CPPUNIT_ASSERT_EQUAL(200, Call("DELETE", "/v1/drains/z1").m_status);
    CPPUNIT_ASSERT(m_service->m_times.empty());
    CPPUNIT_ASSERT_EQUAL(405, Call("POST", "/v1/drains/z1").m_status);
    const std::vector<telemetry::TimelineEvent> events = m_log->Events(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, events.size());
    CPPUNIT_ASSERT(events[1].m_code == core::EventCode::ZoneDrainAccepted);
    CPPUNIT_ASSERT_EQUAL(std::string("zone=z1 drained=0"), events[1].m_detail);
  }

  void RejectsInvalidZonesBeforeTheStore()
  {
    CPPUNIT_ASSERT_EQUAL(400, Call("PUT", "/v1/drains/a%20b").m_status);
    CPPUNIT_ASSERT_EQUAL(
      400, Call("PUT", "/v1/drains/" + std::string(65, 'z')).m_status);
    CPPUNIT_ASSERT_EQUAL(404, Call("PUT", "/v1/drains/").m_status);
    CPPUNIT_ASSERT(m_service->m_times.empty());
  }

  void MapsErrors()
  {
    const std::vector<std::pair<core::ErrorKind, int>> failures = {
      { core::ErrorKind::InvalidPatch, 422 },
      { core::ErrorKind::StoreUnavailable, 503 },
      { core::ErrorKind::PatchUncertain, 504 },
    };
    for (const auto& [kind, status] : failures) {
      m_service->m_result = core::Error{ kind, "why" };
      CPPUNIT_ASSERT_EQUAL(status, Call("PUT", "/v1/drains/z1").m_status);
      CPPUNIT_ASSERT_EQUAL(status, Call("DELETE", "/v1/drains/z1").m_status);
      CPPUNIT_ASSERT(m_log->Events(0).back().m_code ==
                     core::EventCode::ZoneDrainRejected);
    }
  }

  void ListsZonesWithTheirAgents()
  {
    SetUpDrain();
    const json body = json::parse(Call("GET", "/v1/drains").m_body);
    const json expected = json::parse(R"({
      "revision": 9, "unacknowledged_agents": 1, "zones": [
        {"zone": "z1", "since_ms": 1790000000000, "agents": 2,
         "acknowledged": 1, "not_acknowledged": ["a2"], "open_attempts": 7},
        {"zone": "z2", "since_ms": null, "agents": 0, "acknowledged": 0,
         "not_acknowledged": [], "open_attempts": 0}]})");
    CPPUNIT_ASSERT_EQUAL(expected, body);
  }

  void WritesMetrics()
  {
    SetUpDrain();
    MetricList metrics;
    m_api->AddMetrics(metrics);
    const std::string text = metrics.Text();
    CPPUNIT_ASSERT(text.find("\nmulberrysail_drained_zones 2\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(
      text.find("\nmulberrysail_drains_unacknowledged_agents 1\n") !=
      std::string::npos);
  }

private:
  /** Drains z1, with one agent of two that has acknowledged, and z2. The second
   * shard has an older list. */
  void SetUpDrain()
  {
    m_cores[0]->m_drains = { 9, { "z1", "z2" } };
    m_cores[1]->m_drains = { 8, { "z2" } };
    m_service->m_times["z1"] = milliseconds(1790000000000);
    const std::uint64_t digest = m_cores[0]->m_drains.Digest();
    m_cores[0]->m_agents = { MakeAgent("a1", "z1", digest, 3),
                             MakeAgent("a2", "z1", 0, 4),
                             MakeAgent("a3", "z3", digest, 5),
                             MakeAgent("a4", "z3", 0, 0) };
    m_cores[0]->m_agents.back().m_reachable = false;
  }

  static core::AgentStatus MakeAgent(const std::string& aName,
                                     const std::string& aZone,
                                     std::uint64_t aDigest,
                                     std::uint32_t aOpenAttempts)
  {
    core::AgentStatus agent;
    agent.m_agent = { aName, { 1 } };
    agent.m_zone = aZone;
    agent.m_load.m_drainsDigest = aDigest;
    agent.m_openAttempts = aOpenAttempts;
    return agent;
  }

  HttpResponse Call(std::string aMethod, std::string aPath)
  {
    network::HttpRequest request;
    request.m_method = std::move(aMethod);
    request.m_path = std::move(aPath);
    HttpResponse response;
    m_router->Handle(request, [&response](HttpResponse aResponse) {
      response = std::move(aResponse);
    });
    return response;
  }

  std::array<FakeEntry*, 2> m_cores{};
  std::unique_ptr<FakeEventLog> m_log;
  std::unique_ptr<FakeDrainService> m_service;
  std::unique_ptr<ShardSet> m_shards;
  std::unique_ptr<DrainApi> m_api;
  std::unique_ptr<Router> m_router;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainApiTest);

} // namespace

} // namespace mulberrysail::daemon
