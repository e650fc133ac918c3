#include "daemon/internal/runner.h"

#include "daemon/internal/announcementcodec.h"
#include "daemon/tests/fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::daemon {

namespace {

const core::ProcessId kSelf{ "agent-1", { 42 } };

core::StartRun
MakeStart(core::WorkKind aKind)
{
  core::StartRun start;
  start.m_run = { 9 };
  start.m_target = { aKind, "photo-check", "http://127.0.0.1:9" };
  start.m_need = { 1500, 64, 0 };
  start.m_lease = std::chrono::milliseconds(750);
  start.m_payload = "p";
  return start;
}

class RunnerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RunnerTest);
  CPPUNIT_TEST(CallsEndpoint);
  CPPUNIT_TEST(CallsWorkerAndStopsTask);
  CPPUNIT_TEST(ReportsRunOutcomes);
  CPPUNIT_TEST(ReadsAnnouncements);
  CPPUNIT_TEST(RejectsMalformedAnnouncements);
  CPPUNIT_TEST_SUITE_END();

public:
  void CallsEndpoint()
  {
    FakeHttpClient client;
    HttpRunner runner(client, kSelf, [](const core::RunFinished&) {});
    runner.Start(MakeStart(core::WorkKind::Request));
    const network::HttpCall& call = client.m_pendingCalls.at(0).m_call;
    CPPUNIT_ASSERT_EQUAL(std::string("http://127.0.0.1:9/v1/run"), call.m_url);
    CPPUNIT_ASSERT_EQUAL(std::string("agent-1-42-9"),
                         call.m_headers.at("X-Run"));
    CPPUNIT_ASSERT_EQUAL(std::string("750"),
                         call.m_headers.at("X-Deadline-Ms"));
    CPPUNIT_ASSERT(call.m_timeout == std::chrono::milliseconds(750));
    CPPUNIT_ASSERT_EQUAL(std::string("p"), call.m_body);
  }

  void CallsWorkerAndStopsTask()
  {
    FakeHttpClient client;
    HttpRunner runner(client, kSelf, [](const core::RunFinished&) {});
    runner.Start(MakeStart(core::WorkKind::Task));
    const network::HttpCall& call = client.m_pendingCalls.at(0).m_call;
    const std::string url = "http://127.0.0.1:9/v1/tasks/agent-1-42-9";
    CPPUNIT_ASSERT_EQUAL(url, call.m_url);
    CPPUNIT_ASSERT_EQUAL(std::string("1.5"), call.m_headers.at("X-Cores"));
    CPPUNIT_ASSERT_EQUAL(std::string("64"), call.m_headers.at("X-Memory-Mb"));
    runner.Stop({ { 9 }, MakeStart(core::WorkKind::Task).m_target });
    CPPUNIT_ASSERT_EQUAL(url + "/stop",
                         client.m_pendingCalls.at(1).m_call.m_url);
    runner.Stop({ { 9 }, MakeStart(core::WorkKind::Request).m_target });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, client.m_pendingCalls.size());
  }

  void ReportsRunOutcomes()
  {
    using core::RunOutcome;
    using network::HttpDelivery;
    const std::vector<std::pair<network::HttpOutcome, RunOutcome>> cases = {
      { { HttpDelivery::Answered, 200, "out", "" }, RunOutcome::Completed },
      { { HttpDelivery::Answered, 204, "", "" }, RunOutcome::Completed },
      { { HttpDelivery::Answered, 500, "why", "" }, RunOutcome::Failed },
      { { HttpDelivery::Answered, 302, "", "" }, RunOutcome::Failed },
      { { HttpDelivery::Answered, 200, "\xff", "" }, RunOutcome::Failed },
      { { HttpDelivery::NeverSent, 0, "", "refused" }, RunOutcome::NeverSent },
      { { HttpDelivery::Lost, 0, "", "reset" }, RunOutcome::Lost },
    };
    for (const auto& [outcome, expected] : cases) {
      FakeHttpClient client;
      std::vector<core::RunFinished> finished;
      HttpRunner runner(client, kSelf, [&](core::RunFinished aFinished) {
        finished.push_back(std::move(aFinished));
      });
      runner.Start(MakeStart(core::WorkKind::Request));
      client.m_pendingCalls.at(0).m_callback(outcome);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, finished.size());
      CPPUNIT_ASSERT(finished[0].m_run == core::RunId{ 9 });
      CPPUNIT_ASSERT(finished[0].m_outcome == expected);
    }
  }

  void ReadsAnnouncements()
  {
    const core::Result<core::EndpointAnnounced> endpoint = ParseEndpointBody(
      R"({"service": "s", "slots": 8, "connections": 64,
          "url": "http://127.0.0.1:9"})");
    CPPUNIT_ASSERT(endpoint);
    CPPUNIT_ASSERT_EQUAL(8U, endpoint.value().m_info.m_slots);
    CPPUNIT_ASSERT(!endpoint.value().m_info.m_leaving);
    const core::Result<core::WorkerAnnounced> worker = ParseWorkerBody(
      R"({"name": "w", "rack": "r", "cores": 16, "memory_mb": 32000,
          "accelerators": 1, "url": "http://127.0.0.1:9", "leaving": true,
          "warm_up_remaining_ms": 2500,
          "usage": [{"run": "agent-2-7-77", "cores": 0.5, "memory_mb": 5},
                    {"run": "other", "cores": 1, "memory_mb": 1}]})");
    CPPUNIT_ASSERT(worker);
    CPPUNIT_ASSERT_EQUAL(16000U, worker.value().m_info.m_capacity.m_milliCores);
    CPPUNIT_ASSERT(worker.value().m_leaving);
    CPPUNIT_ASSERT(worker.value().m_warmUpRemaining ==
                   std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.value().m_usage.size());
    CPPUNIT_ASSERT(worker.value().m_usage[0].m_run == core::RunId{ 77 });
  }

  void RejectsMalformedAnnouncements()
  {
    for (const char* body :
         { "",
           "{}",
           R"({"service": "s", "slots": 8, "connections": 64})",
           R"({"service": "s", "slots": -8, "connections": 64,
               "url": "http://127.0.0.1:9"})",
           R"({"service": "s", "slots": 8, "connections": 64,
               "url": "ftp://127.0.0.1:9"})",
           R"({"service": "s", "slots": 8, "connections": 64, "extra": 1,
               "url": "http://127.0.0.1:9"})" }) {
      CPPUNIT_ASSERT(!ParseEndpointBody(body));
      CPPUNIT_ASSERT(!ParseWorkerBody(body));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerTest);

} // namespace

} // namespace mulberrysail::daemon
