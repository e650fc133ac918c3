#include "daemon/internal/entryapi.h"

#include "daemon/internal/metriclist.h"
#include "daemon/tests/fakes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace mulberrysail::daemon {

namespace {

using network::HttpResponse;
using nlohmann::json;

constexpr core::SubmissionId kSubmission{ 7 };
constexpr core::Incarnation kIncarnation{ 1234567890123456 };

/** The routes of an entry, with one shard that runs a FakeEntry. */
class EntryApiFixture
{
public:
  EntryApiFixture()
    : m_shards({ "entry", kIncarnation },
               1,
               m_log,
               [this](const core::ProcessId&, std::uint8_t) {
                 std::unique_ptr<FakeEntry> core =
                   std::make_unique<FakeEntry>();
                 m_core = core.get();
                 return core;
               })
    , m_api(m_shards, m_config, m_metrics, m_limits)
  {
    m_shards.Start(
      [this](const core::ProcessId&, std::size_t, EntryShard&)
        -> core::Result<std::unique_ptr<network::IMessageTransport>> {
        return std::make_unique<FakeTransport>(m_sent);
      });
    m_api.AddRoutes(m_router);
    m_config.Set({});
  }

  void Call(std::string aMethod, std::string aPath, std::string aBody)
  {
    m_response.reset();
    network::HttpRequest request;
    request.m_method = std::move(aMethod);
    request.m_path = std::move(aPath);
    request.m_body = std::move(aBody);
    m_disconnectHook = m_router.Handle(request, [this](HttpResponse aResponse) {
      CPPUNIT_ASSERT(!m_response);
      m_response = std::move(aResponse);
    });
  }

  int Status() const
  {
    CPPUNIT_ASSERT(m_response);
    return m_response->m_status;
  }
  json Body() const
  {
    CPPUNIT_ASSERT(m_response);
    return json::parse(m_response->m_body);
  }
  std::string ErrorKind() const { return Body()["error"]["kind"]; }

  /** Makes the core answer each submission immediately with @p aAnswer. */
  void AnswerWith(const core::Answer& aAnswer)
  {
    m_core->m_onEvent = [aAnswer](core::EntryEvent& aEvent,
                                  core::EntryCommands& aCommands) {
      if (const auto* request = std::get_if<core::SubmitRequest>(&aEvent)) {
        aCommands.emplace_back(
          core::AnswerCaller{ request->m_caller, aAnswer });
      }
      if (const auto* job = std::get_if<core::SubmitJob>(&aEvent)) {
        aCommands.emplace_back(core::AnswerCaller{ job->m_caller, aAnswer });
      }
    };
  }

  FakeEventLog m_log;
  FakeEntry* m_core = nullptr;
  FakeTransport::Sent m_sent;
  ShardSet m_shards;
  ConfigHolder m_config;
  ResponseMetrics m_metrics;
  LimitSettings m_limits;
  EntryApi m_api;
  Router m_router;
  std::optional<HttpResponse> m_response;
  network::DisconnectHook m_disconnectHook;
};

core::Answer
Complete(std::vector<std::string> aOutputs)
{
  core::Answer answer;
  answer.m_submission = kSubmission;
  answer.m_outputs = std::move(aOutputs);
  return answer;
}

core::Answer
Refusal(core::ErrorKind aKind)
{
  core::Answer answer;
  answer.m_kind = aKind;
  answer.m_execution = core::Execution::NotRun;
  answer.m_retryAfter = std::chrono::milliseconds(1200);
  return answer;
}

const std::string kRequests = "/v1/services/photo-check/requests";
const std::string kJobs = "/v1/services/photo-check/jobs";

class EntryApiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryApiTest);
  CPPUNIT_TEST(AnswersRequestWithOutput);
  CPPUNIT_TEST(PassesRequestFieldsToCore);
  CPPUNIT_TEST(RejectsMalformedRequestsBeforeCore);
  CPPUNIT_TEST(RejectsMalformedJobsBeforeCore);
  CPPUNIT_TEST(MapsRefusalToHttpError);
  CPPUNIT_TEST(RefusesWithoutConfiguration);
  CPPUNIT_TEST(NotifiesCoreOnceOfDisconnectedCaller);
  CPPUNIT_TEST(AnswersJobInOrder);
  CPPUNIT_TEST(AcceptsJobWithoutWaiting);
  CPPUNIT_TEST(AnswersRefusedJobWithoutWaiting);
  CPPUNIT_TEST(AnswersStatusOfRetainedSubmissions);
  CPPUNIT_TEST(CancelMayBeRepeated);
  CPPUNIT_TEST(LocatesAgentsOfWorker);
  CPPUNIT_TEST(MeasuresAddedTime);
  CPPUNIT_TEST(AnswersUnknownPaths);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersRequestWithOutput()
  {
    EntryApiFixture fixture;
    fixture.AnswerWith(Complete({ "ok \"quoted\"" }));
    fixture.Call("POST", kRequests, R"({"payload": "p"})");
    CPPUNIT_ASSERT_EQUAL(200, fixture.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("ok \"quoted\""),
                         fixture.Body()["output"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("7"),
                         fixture.Body()["submission"].get<std::string>());
  }

  void PassesRequestFieldsToCore()
  {
    EntryApiFixture fixture;
    fixture.Call("POST",
                 kRequests,
                 R"({"payload": "p", "repeatable": true, "key": "k",
                   "submission": 2, "deadline_ms": 5000,
                   "expected_run_ms": 40, "team": "t"})");
    const core::SubmitRequest request =
      fixture.m_core->EventsOfType<core::SubmitRequest>().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("photo-check"), request.m_service);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), request.m_payload);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), request.m_team);
    CPPUNIT_ASSERT(request.m_repeatable);
    CPPUNIT_ASSERT(request.m_key->m_key == "k");
    CPPUNIT_ASSERT_EQUAL(2U, request.m_key->m_submission);
    CPPUNIT_ASSERT(request.m_deadline == std::chrono::seconds(5));
    CPPUNIT_ASSERT(request.m_declaredRun == std::chrono::milliseconds(40));
    CPPUNIT_ASSERT(!fixture.m_response);
  }

  void RejectsMalformedRequestsBeforeCore()
  {
    EntryApiFixture fixture;
    for (const char* body :
         { "",
           "{",
           "[]",
           "{}",
           R"({"payload": 1})",
           "{\"payload\": \"\xff\"}",
           R"({"payload": "p", "deadline_ms": 0})",
           R"({"payload": "p", "deadline_ms": 1.5})",
           R"({"payload": "p", "deadline_ms": 600001})",
           R"({"payload": "p", "submission": 1})",
           R"({"payload": "p", "key": "", "submission": 1})",
           R"({"payload": "p", "key": "k", "submission": 0})",
           R"({"payload": "p", "team": ""})",
           R"({"payload": "p", "repeatable": "yes"})",
           R"({"payload": "p", "expected_run_ms": -1})",
           R"({"payload": "p", "pri": 1})" }) {
      fixture.Call("POST", kRequests, body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, fixture.Status());
      CPPUNIT_ASSERT_EQUAL(std::string("malformed-request"),
                           fixture.ErrorKind());
    }
    CPPUNIT_ASSERT(fixture.m_core->m_events.empty());
  }

  void RejectsMalformedJobsBeforeCore()
  {
    EntryApiFixture fixture;
    for (const char* body :
         { R"({"tasks": []})",
           R"({"tasks": {}})",
           R"({"tasks": [1]})",
           R"({"tasks": [{"cores": 1}]})",
           R"({"tasks": [{"payload": 1}]})",
           R"({"tasks": [{"payload": "a", "cores": -1}]})",
           R"({"tasks": [{"payload": "a", "memory_mb": 4294967296}]})",
           R"({"tasks": [{"payload": "a", "gpu": 1}]})",
           R"({"tasks": [{"payload": "a"}], "key": "k"})",
           R"({"tasks": [{"payload": "a"}], "wait": 1})" }) {
      fixture.Call("POST", kJobs, body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, fixture.Status());
    }
    fixture.m_limits.m_tasksPerJob = 290;
    json tasks = json::array();
    for (int i = 0; i < 291; ++i) {
      tasks.push_back({ { "payload", "a" } });
    }
    fixture.Call("POST", kJobs, json({ { "tasks", tasks } }).dump());
    CPPUNIT_ASSERT_EQUAL(413, fixture.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("too-many-tasks"), fixture.ErrorKind());
    CPPUNIT_ASSERT(fixture.m_core->m_events.empty());
  }

  void MapsRefusalToHttpError()
  {
    EntryApiFixture fixture;
    fixture.AnswerWith(Refusal(core::ErrorKind::Overloaded));
    fixture.Call("POST", kRequests, R"({"payload": "p"})");
    CPPUNIT_ASSERT_EQUAL(503, fixture.Status());
    const json error = fixture.Body()["error"];
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         error["execution"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1200, error["retry_after_ms"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         fixture.m_response->m_headers["Retry-After"]);
  }

  void RefusesWithoutConfiguration()
  {
    EntryApiFixture fixture;
    ConfigHolder none;
    EntryApi api(fixture.m_shards, none, fixture.m_metrics, fixture.m_limits);
    fixture.m_router = Router();
    api.AddRoutes(fixture.m_router);
    fixture.Call("POST", kRequests, R"({"payload": "p"})");
    CPPUNIT_ASSERT_EQUAL(503, fixture.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("store-unavailable"), fixture.ErrorKind());
    CPPUNIT_ASSERT(fixture.m_core->m_events.empty());
  }

  void NotifiesCoreOnceOfDisconnectedCaller()
  {
    EntryApiFixture fixture;
    fixture.Call("POST", kRequests, R"({"payload": "p"})");
    const core::CallerToken caller =
      fixture.m_core->EventsOfType<core::SubmitRequest>().at(0).m_caller;
    fixture.m_disconnectHook();
    fixture.m_disconnectHook();
    const std::vector<core::CallerGone> gone =
      fixture.m_core->EventsOfType<core::CallerGone>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, gone.size());
    CPPUNIT_ASSERT(gone[0].m_caller == caller);
  }

  void AnswersJobInOrder()
  {
    EntryApiFixture fixture;
    fixture.AnswerWith(Complete({ "1", "2" }));
    fixture.Call("POST",
                 kJobs,
                 R"({"tasks": [{"payload": "a", "cores": 0.25, "memory_mb": 64},
                    {"payload": "b", "accelerators": 1}]})");
    CPPUNIT_ASSERT_EQUAL(200, fixture.Status());
    CPPUNIT_ASSERT(fixture.Body()["outputs"] == json({ "1", "2" }));
    const core::SubmitJob job =
      fixture.m_core->EventsOfType<core::SubmitJob>().at(0);
    CPPUNIT_ASSERT((job.m_tasks.at(0).m_need == core::Resources{ 250, 64, 0 }));
    CPPUNIT_ASSERT((job.m_tasks.at(1).m_need == core::Resources{ 1000, 0, 1 }));
    CPPUNIT_ASSERT_EQUAL(std::string("default"), job.m_team);
  }

  void AcceptsJobWithoutWaiting()
  {
    EntryApiFixture fixture;
    fixture.m_core->m_onEvent = [](core::EntryEvent& aEvent,
                                   core::EntryCommands& aCommands) {
      if (std::holds_alternative<core::SubmitJob>(aEvent)) {
        aCommands.emplace_back(core::SendSubmissionId{
          std::get<core::SubmitJob>(aEvent).m_caller, kSubmission });
      }
    };
    fixture.Call(
      "POST", kJobs, R"({"tasks": [{"payload": "a"}], "wait": false})");
    CPPUNIT_ASSERT_EQUAL(202, fixture.Status());
    CPPUNIT_ASSERT_EQUAL(FormatSubmission(kSubmission),
                         fixture.Body()["submission"].get<std::string>());
    CPPUNIT_ASSERT(!fixture.m_disconnectHook);
  }

  void AnswersRefusedJobWithoutWaiting()
  {
    EntryApiFixture fixture;
    fixture.AnswerWith(Refusal(core::ErrorKind::Unsatisfiable));
    fixture.Call(
      "POST", kJobs, R"({"tasks": [{"payload": "a"}], "wait": false})");
    CPPUNIT_ASSERT_EQUAL(422, fixture.Status());
  }

  void AnswersStatusOfRetainedSubmissions()
  {
    EntryApiFixture fixture;
    core::SubmissionStatus status;
    status.m_submission = kSubmission;
    status.m_waiting = 3;
    fixture.m_core->m_status = status;
    const std::string path = "/v1/submissions/";
    fixture.Call("GET", path + FormatSubmission(kSubmission), "");
    CPPUNIT_ASSERT_EQUAL(200, fixture.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("open"),
                         fixture.Body()["state"].get<std::string>());
    for (const std::string name : { "8", "1152921504606846976", "x", "-7" }) {
      fixture.Call("GET", path + name, "");
      CPPUNIT_ASSERT_EQUAL(404, fixture.Status());
      fixture.Call("DELETE", path + name, "");
      CPPUNIT_ASSERT_EQUAL(404, fixture.Status());
    }
    fixture.m_core->m_status->m_answer = Refusal(core::ErrorKind::Cancelled);
    fixture.Call("GET", path + FormatSubmission(kSubmission), "");
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), fixture.ErrorKind());
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         fixture.Body()["state"].get<std::string>());
  }

  void CancelMayBeRepeated()
  {
    EntryApiFixture fixture;
    fixture.m_core->m_status.emplace();
    fixture.m_core->m_status->m_submission = kSubmission;
    for (int i = 0; i < 2; ++i) {
      fixture.Call(
        "DELETE", "/v1/submissions/" + FormatSubmission(kSubmission), "");
      CPPUNIT_ASSERT_EQUAL(200, fixture.Status());
    }
    CPPUNIT_ASSERT(fixture.m_core->EventsOfType<core::CancelSubmission>()
                     .at(0)
                     .m_submission == kSubmission);
  }

  void LocatesAgentsOfWorker()
  {
    EntryApiFixture fixture;
    for (const char* name : { "a1", "a2", "a3" }) {
      core::AgentStatus agent;
      agent.m_agent.m_name = name;
      agent.m_httpAddress = std::string("http://") + name;
      agent.m_leaving = agent.m_agent.m_name == "a2";
      fixture.m_core->m_agents.push_back(agent);
    }
    fixture.Call("POST", "/v1/workers/locate", R"({"name": "w1"})");
    const json agents = fixture.Body()["agents"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, agents.size());
    CPPUNIT_ASSERT(agents[0] != agents[1]);
    CPPUNIT_ASSERT(agents[0] != "http://a2" && agents[1] != "http://a2");
    fixture.Call("POST", "/v1/workers/locate", R"({"nam": "w1"})");
    CPPUNIT_ASSERT_EQUAL(400, fixture.Status());
  }

  void MeasuresAddedTime()
  {
    EntryApiFixture fixture;
    fixture.AnswerWith(Complete({ "x" }));
    fixture.Call("POST", kRequests, R"({"payload": "p"})");
    core::Answer answer = Complete({ "x" });
    answer.m_ranFor = std::chrono::hours(1);
    fixture.AnswerWith(answer);
    fixture.Call("POST", kRequests, R"({"payload": "p"})");
    MetricList metrics;
    metrics.Append(fixture.m_metrics.Collect());
    const std::string text = metrics.Text();
    CPPUNIT_ASSERT(
      text.find(
        R"(_response_seconds_count{kind="request",outcome="complete"} 2)") !=
      std::string::npos);
    CPPUNIT_ASSERT(text.find(R"(_added_seconds_count{kind="request"} 1)") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find(R"(_added_seconds_sum{kind="request"} 0)") !=
                   std::string::npos);
  }

  void AnswersUnknownPaths()
  {
    EntryApiFixture fixture;
    fixture.Call("GET", "/v1/nothing", "");
    CPPUNIT_ASSERT_EQUAL(std::string("not-found"), fixture.ErrorKind());
    fixture.Call("GET", "/v1/services//requests", "");
    CPPUNIT_ASSERT_EQUAL(404, fixture.Status());
    fixture.Call("GET", kRequests, "");
    CPPUNIT_ASSERT_EQUAL(405, fixture.Status());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryApiTest);

} // namespace

} // namespace mulberrysail::daemon
