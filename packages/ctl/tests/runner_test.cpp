#include "ctl/internal/arguments.h"
#include "ctl/internal/runner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <sstream>

namespace mulberrysail::ctl {

namespace {

using network::HttpDelivery;
using network::HttpOutcome;

/** Answers each URL as the test says, and can't connect to others. */
class FakeClient : public network::IHttpClient
{
public:
  void Call(network::HttpCall aCall, network::HttpCallback aCallback) override
  {
    const auto answer = m_answers.find(aCall.m_url);
    aCallback(answer == m_answers.end()
                ? HttpOutcome{ HttpDelivery::NeverSent, 0, "", "refused" }
                : answer->second);
  }

  void Stream(network::HttpCall /*aCall*/,
              network::HttpChunkHandler /*aOnChunk*/,
              network::HttpCallback /*aCallback*/) override
  {
  }

  void Stop() override {}

  std::map<std::string, HttpOutcome> m_answers;
};

HttpOutcome
Answered(int aStatus, const std::string& aBody)
{
  return { HttpDelivery::Answered, aStatus, aBody, "" };
}

HttpOutcome
ErrorAnswer(int aStatus,
            const std::string& aKind,
            const std::string& aExecution)
{
  return Answered(aStatus,
                  R"({"error": {"kind": ")" + aKind + R"(", "execution": ")" +
                    aExecution +
                    R"(", "retry": "later", "retry_after_ms": 740,)"
                    R"( "detail": "why"}})");
}

const std::string kA = "http://a:1";
const std::string kB = "http://b:2";
const std::vector<std::string> kSubmit = { "submit",
                                           "request",
                                           "s",
                                           "--payload",
                                           "p" };

class RunnerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RunnerTest);
  CPPUNIT_TEST(PrintsTheOutput);
  CPPUNIT_TEST(PrintsTables);
  CPPUNIT_TEST(PrintsDrains);
  CPPUNIT_TEST(PrintsJsonAsItIs);
  CPPUNIT_TEST(TriesTheNextEntryOnlyIfNothingWasSent);
  CPPUNIT_TEST(ExitCodesTellWhetherItRan);
  CPPUNIT_TEST(FindsTheEntryThatHoldsASubmission);
  CPPUNIT_TEST(DrainsAll);
  CPPUNIT_TEST(MergesTimelinesOfEntriesAndAgents);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_client = FakeClient();
    m_out.str("");
    m_errors.str("");
  }

  void PrintsTheOutput()
  {
    m_client.m_answers[kA + "/v1/services/s/requests"] =
      Answered(200, R"({"submission": "1", "output": "done"})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt(kSubmit));
    CPPUNIT_ASSERT_EQUAL(std::string("done\n"), m_out.str());
    m_client.m_answers[kA + "/v1/services/s/jobs"] =
      Answered(200, R"({"submission": "1", "outputs": ["x", "y"]})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "submit", "job", "s", "--tasks", "2" }));
    CPPUNIT_ASSERT_EQUAL(std::string("done\nx\ny\n"), m_out.str());
  }

  void PrintsTables()
  {
    m_client.m_answers[kA + "/v1/agents"] = Answered(
      200,
      R"({"agents": [{"name": "agent-1", "zone": "z1", "leaving": false,
          "endpoint": {"service": "s", "slots": 8, "connections": 64,
                       "leaving": true},
          "load": {"free_slots": 3, "queued_requests": 0}},
         {"name": "a2", "zone": "z2", "endpoint": null}]})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "endpoints" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        "agent    zone  service  slots  free  connections  queued  leaving\n"
        "agent-1  z1    s        8      3     64           0       yes\n"
        "a2       z2    -        -      -     -            -       no\n"),
      m_out.str());
  }

  void PrintsDrains()
  {
    m_client.m_answers[kA + "/v1/drains"] =
      Answered(200,
               R"({"revision": 9, "unacknowledged_agents": 1, "zones": [
          {"zone": "z1", "since_ms": 1790000000000, "agents": 3,
           "acknowledged": 2, "not_acknowledged": ["a2"], "open_attempts": 4},
          {"zone": "z2", "since_ms": null, "agents": 0, "acknowledged": 0,
           "not_acknowledged": [], "open_attempts": 0}]})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "drains" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string("zone  since_ms       agents  acknowledged  open_attempts\n"
                  "z1    1790000000000  3       2             4\n"
                  "z2    -              0       0             0\n"
                  "agents in touch that have not acknowledged: 1\n"),
      m_out.str());
    m_client.m_answers[kA + "/v1/drains/z1"] =
      Answered(200, R"({"zone": "z1", "drained": true})");
    m_out.str("");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "drain-zone", "z1" }));
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "undrain-zone", "z1" }));
    CPPUNIT_ASSERT_EQUAL(std::string("z1: drained\nz1: no longer drained\n"),
                         m_out.str());
  }

  void PrintsJsonAsItIs()
  {
    m_client.m_answers[kA + "/v1/config"] =
      Answered(200, R"({"version":7,"document":{}})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "config", "get", "--json" }));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"version\":7,\"document\":{}}\n"),
                         m_out.str());
  }

  void TriesTheNextEntryOnlyIfNothingWasSent()
  {
    m_client.m_answers[kB + "/v1/services/s/requests"] =
      Answered(200, R"({"output": "b"})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt(kSubmit));
    m_client.m_answers[kA + "/v1/services/s/requests"] =
      HttpOutcome{ HttpDelivery::Lost, 0, "", "timeout" };
    CPPUNIT_ASSERT_EQUAL(3, RunIt(kSubmit));
    m_client.m_answers.clear();
    CPPUNIT_ASSERT_EQUAL(4, RunIt(kSubmit));
  }

  void ExitCodesTellWhetherItRan()
  {
    HttpOutcome& answer = m_client.m_answers[kA + "/v1/services/s/requests"];
    answer = ErrorAnswer(503, "overloaded", "not-run");
    CPPUNIT_ASSERT_EQUAL(1, RunIt(kSubmit));
    CPPUNIT_ASSERT_EQUAL(std::string("mulberryctl: http://a:1: overloaded: "
                                     "why (not-run, retry later after 740 "
                                     "ms)\n"),
                         m_errors.str());
    answer = ErrorAnswer(502, "run-lost", "may-have-run");
    CPPUNIT_ASSERT_EQUAL(3, RunIt(kSubmit));
    answer = ErrorAnswer(502, "task-failed", "ran");
    CPPUNIT_ASSERT_EQUAL(3, RunIt(kSubmit));
    answer = Answered(502, "<html>");
    CPPUNIT_ASSERT_EQUAL(3, RunIt(kSubmit));
    answer = ErrorAnswer(409, "version-conflict", "not-run");
    CPPUNIT_ASSERT_EQUAL(5, RunIt(kSubmit));
    m_client.m_answers[kA + "/v1/status"] = ErrorAnswer(500, "internal", "x");
    CPPUNIT_ASSERT_EQUAL(1, RunIt({ "status" }));
  }

  void FindsTheEntryThatHoldsASubmission()
  {
    m_client.m_answers[kA + "/v1/submissions/5"] =
      ErrorAnswer(404, "unknown-submission", "may-have-run");
    m_client.m_answers[kB + "/v1/submissions/5"] =
      Answered(200, R"({"submission": "5", "state": "open"})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "status", "5" }));
    CPPUNIT_ASSERT_EQUAL(std::string("state: open\nsubmission: 5\n"),
                         m_out.str());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_errors.str());
    m_client.m_answers[kB + "/v1/submissions/5"] =
      m_client.m_answers[kA + "/v1/submissions/5"];
    CPPUNIT_ASSERT_EQUAL(1, RunIt({ "cancel", "5" }));
    m_client.m_answers.erase(kB + "/v1/submissions/5");
    CPPUNIT_ASSERT_EQUAL(4, RunIt({ "cancel", "5" }));
  }

  void DrainsAll()
  {
    m_client.m_answers[kA + "/v1/drain"] = Answered(202, "");
    m_client.m_answers[kB + "/v1/drain"] = Answered(202, "");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "drain" }));
    CPPUNIT_ASSERT_EQUAL(std::string("draining\ndraining\n"), m_out.str());
  }

  void MergesTimelinesOfEntriesAndAgents()
  {
    const std::string query = "/v1/timeline?since=0";
    m_client.m_answers[kA + query] = Timeline("entry-1", 20, 202);
    m_client.m_answers[kB + query] = Timeline("entry-2", 5, 100);
    m_client.m_answers["http://c:3" + query] = Timeline("agent-1", 10, 303);
    m_client.m_answers[kA + "/v1/agents"] =
      Answered(200, R"({"agents": [{"http_url": "http://c:3"}]})");
    m_client.m_answers[kB + "/v1/agents"] = Answered(200, R"({"agents": []})");
    CPPUNIT_ASSERT_EQUAL(0, RunIt({ "timeline" }));
    const std::string text = m_out.str();
    CPPUNIT_ASSERT(text.find("entry-2") < text.find("agent-1"));
    CPPUNIT_ASSERT(text.find("agent-1") < text.find("entry-1"));
    m_client.m_answers.erase("http://c:3" + query);
    CPPUNIT_ASSERT_EQUAL(4, RunIt({ "timeline" }));
  }

private:
  static HttpOutcome Timeline(const std::string& aProcess,
                              int aStamp,
                              int aCode)
  {
    return Answered(200,
                    R"({"process": ")" + aProcess +
                      R"(", "incarnation": 1, "events": [{"stamp": )" +
                      std::to_string(aStamp) + R"(, "code": )" +
                      std::to_string(aCode) +
                      R"(, "name": "", "subject": 7, "detail": ""}]})");
  }

  int RunIt(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.end(), { "--entry", kA + "," + kB });
    const core::Result<Invocation> invocation = ParseArguments(aArguments);
    CPPUNIT_ASSERT(invocation);
    return static_cast<int>(Run(invocation.value(), m_client, m_out, m_errors));
  }

  FakeClient m_client;
  std::ostringstream m_out;
  std::ostringstream m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerTest);

} // namespace

} // namespace mulberrysail::ctl
