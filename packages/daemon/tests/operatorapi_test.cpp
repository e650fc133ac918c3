#include "daemon/internal/operatorapi.h"

#include "daemon/internal/configapi.h"
#include "daemon/tests/fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::daemon {

namespace {

using network::HttpResponse;
using nlohmann::json;

/** Records patches and answers each with m_result. */
class FakeConfigService : public store::IConfigService
{
public:
  std::optional<core::ConfigChanged> Current() const override { return {}; }
  void Patch(store::ConfigPatch aPatch, store::PatchCallback aCallback) override
  {
    m_patches.push_back(std::move(aPatch));
    aCallback(m_result);
  }
  void ApplyPeerConfig(core::ConfigVersion /*aVersion*/,
                       std::string /*aDocument*/) override
  {
  }
  void DrainZone(const std::string& /*aZone*/,
                 std::chrono::milliseconds /*aSince*/,
                 store::DrainCallback /*aCallback*/) override
  {
  }
  void UndrainZone(const std::string& /*aZone*/,
                   store::DrainCallback /*aCallback*/) override
  {
  }
  std::map<std::string, std::chrono::milliseconds> DrainTimes() const override
  {
    return {};
  }
  void Stop() override {}

  std::vector<store::ConfigPatch> m_patches;
  core::Result<core::ConfigVersion> m_result = core::ConfigVersion{ 8 };
};

class OperatorApiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(ReportsReadiness);
  CPPUNIT_TEST(WritesMetrics);
  CPPUNIT_TEST(AnswersTimelineAndStatus);
  CPPUNIT_TEST(DrainsOnRequest);
  CPPUNIT_TEST(ReadsConfiguration);
  CPPUNIT_TEST(PatchesConfiguration);
  CPPUNIT_TEST(RejectsMalformedPatchesBeforeStore);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_reason = {};
    m_drains = 0;
    m_config = std::make_unique<ConfigHolder>();
    m_service = std::make_unique<FakeConfigService>();
    m_log = std::make_unique<FakeEventLog>();
    m_router = std::make_unique<Router>();
    OperatorHooks hooks;
    hooks.m_notReadyReason = [this] { return m_reason; };
    hooks.m_status = [](json& aStatus) { aStatus["role"] = "entry"; };
    hooks.m_metrics = [](MetricList& aMetrics) {
      aMetrics.AddCounter("offers", "Offers.", 3);
    };
    hooks.m_drain = [this] { ++m_drains; };
    AddOperatorRoutes(*m_router, { "e", { 5 } }, *m_log, std::move(hooks));
    m_api = std::make_unique<ConfigApi>(*m_service, *m_config, *m_log);
    m_api->AddRoutes(*m_router);
  }

  void ReportsReadiness()
  {
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/healthz").m_status);
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/readyz").m_status);
    m_reason = "draining";
    const HttpResponse response = Call("GET", "/readyz");
    CPPUNIT_ASSERT_EQUAL(503, response.m_status);
    CPPUNIT_ASSERT(response.m_body.find("draining") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/healthz").m_status);
  }

  void WritesMetrics()
  {
    const std::string text = Call("GET", "/metrics").m_body;
    CPPUNIT_ASSERT(text.find("\nmulberrysail_offers_total 3\n") !=
                   std::string::npos);
  }

  void AnswersTimelineAndStatus()
  {
    m_log->Record(core::RecordEvent{ core::EventCode::ProcessStarted,
                                     1,
                                     core::EventDetail().Add("why", "x") });
    const json timeline = json::parse(Call("GET", "/v1/timeline").m_body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, timeline["events"].size());
    CPPUNIT_ASSERT_EQUAL(
      400, Call("GET", "/v1/timeline", "", { { "since", "x" } }).m_status);
    const json status = json::parse(Call("GET", "/v1/status").m_body);
    CPPUNIT_ASSERT_EQUAL(std::string("e"), status["name"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("entry"),
                         status["role"].get<std::string>());
  }

  void DrainsOnRequest()
  {
    CPPUNIT_ASSERT_EQUAL(405, Call("GET", "/v1/drain").m_status);
    CPPUNIT_ASSERT_EQUAL(202, Call("POST", "/v1/drain").m_status);
    CPPUNIT_ASSERT_EQUAL(1, m_drains);
  }

  void ReadsConfiguration()
  {
    CPPUNIT_ASSERT_EQUAL(503, Call("GET", "/v1/config").m_status);
    core::ConfigChanged config;
    config.m_configuration.m_version = { 7 };
    config.m_document = R"({"services": {}} // none)";
    m_config->Set(config);
    config.m_configuration.m_version = { 6 };
    m_config->Set(config);
    const json body = json::parse(Call("GET", "/v1/config").m_body);
    CPPUNIT_ASSERT(
      body == json({ { "version", 7 },
                     { "document", { { "services", json::object() } } } }));
  }

  void PatchesConfiguration()
  {
    const std::string body =
      R"({"base": 7, "id": "p", "patch": {"teams": {"a": null}}})";
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"version":8})"),
                         Call("POST", "/v1/config/patches", body).m_body);
    const store::ConfigPatch& patch = m_service->m_patches.at(0);
    CPPUNIT_ASSERT(patch.m_baseVersion == core::ConfigVersion{ 7 });
    CPPUNIT_ASSERT_EQUAL(std::string("p"), patch.m_id);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"teams":{"a":null}})"), patch.m_patch);
    const std::vector<std::pair<core::ErrorKind, int>> failures = {
      { core::ErrorKind::VersionConflict, 409 },
      { core::ErrorKind::InvalidPatch, 422 },
      { core::ErrorKind::StoreUnavailable, 503 },
      { core::ErrorKind::PatchUncertain, 504 },
    };
    for (const auto& [kind, status] : failures) {
      m_service->m_result = core::Error{ kind, "why" };
      CPPUNIT_ASSERT_EQUAL(status,
                           Call("POST", "/v1/config/patches", body).m_status);
    }
  }

  void RejectsMalformedPatchesBeforeStore()
  {
    for (const char* body :
         { "",
           R"({"base": 7, "id": "p"})",
           R"({"base": 7, "id": "", "patch": {}})",
           R"({"base": -1, "id": "p", "patch": {}})",
           R"({"base": 7, "id": "p", "patch": []})",
           R"({"id": "p", "patch": {}})",
           R"({"base": 7, "id": "p", "patch": {}, "x": 1})" }) {
      CPPUNIT_ASSERT_EQUAL(400,
                           Call("POST", "/v1/config/patches", body).m_status);
    }
    CPPUNIT_ASSERT(m_service->m_patches.empty());
  }

private:
  HttpResponse Call(std::string aMethod,
                    std::string aPath,
                    std::string aBody = {},
                    std::map<std::string, std::string, std::less<>> aQuery = {})
  {
    network::HttpRequest request;
    request.m_method = std::move(aMethod);
    request.m_path = std::move(aPath);
    request.m_body = std::move(aBody);
    request.m_query = std::move(aQuery);
    HttpResponse response;
    m_router->Handle(request, [&response](HttpResponse aResponse) {
      response = std::move(aResponse);
    });
    return response;
  }

  std::string_view m_reason;
  int m_drains = 0;
  std::unique_ptr<ConfigHolder> m_config;
  std::unique_ptr<FakeConfigService> m_service;
  std::unique_ptr<FakeEventLog> m_log;
  std::unique_ptr<Router> m_router;
  std::unique_ptr<ConfigApi> m_api;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

} // namespace

} // namespace mulberrysail::daemon
