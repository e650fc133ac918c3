#include "ctl/internal/apicall.h"
#include "ctl/internal/arguments.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <stdlib.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace mulberrysail::ctl {

namespace {

using Json = nlohmann::json;

/** A file that is there as long as the object. */
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
  {
    const int descriptor = mkstemp(m_path.data());
    CPPUNIT_ASSERT(descriptor >= 0);
    close(descriptor);
    std::ofstream(m_path) << aText;
  }
  ~TemporaryFile() { static_cast<void>(std::remove(m_path.c_str())); }

  const std::string& Path() const { return m_path; }

private:
  std::string m_path = "/tmp/ctl_testXXXXXX";
};

Invocation
Parsed(const std::vector<std::string>& aArguments)
{
  core::Result<Invocation> invocation = ParseArguments(aArguments);
  CPPUNIT_ASSERT_MESSAGE(invocation ? "" : invocation.error().m_detail,
                         bool(invocation));
  return std::move(invocation).value();
}

ApiCall
CallOf(const std::vector<std::string>& aArguments)
{
  return *MakeApiCall(Parsed(aArguments).m_command);
}

class ArgumentsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ArgumentsTest);
  CPPUNIT_TEST(RequestBecomesACall);
  CPPUNIT_TEST(JobOfEqualTasksBecomesACall);
  CPPUNIT_TEST(JobComesFromAFile);
  CPPUNIT_TEST(PatchBecomesACall);
  CPPUNIT_TEST(OtherCommandsBecomeCalls);
  CPPUNIT_TEST(CommonOptionsAreRead);
  CPPUNIT_TEST(EveryCommandHasHelp);
  CPPUNIT_TEST(FaultsAreFound);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestBecomesACall()
  {
    const ApiCall call = CallOf({ "submit",
                                  "request",
                                  "photo check",
                                  "--payload",
                                  "a",
                                  "--deadline",
                                  "5000",
                                  "--key",
                                  "k",
                                  "--submission",
                                  "2",
                                  "--team",
                                  "tasdira",
                                  "--repeatable" });
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), call.m_method);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/services/photo%20check/requests"),
                         call.m_path);
    CPPUNIT_ASSERT(Json::parse(call.m_body) ==
                   Json({ { "payload", "a" },
                          { "deadline_ms", 5000 },
                          { "key", "k" },
                          { "submission", 2 },
                          { "team", "tasdira" },
                          { "repeatable", true } }));
    CPPUNIT_ASSERT(call.m_changes);
  }

  void JobOfEqualTasksBecomesACall()
  {
    const ApiCall call = CallOf({ "submit",
                                  "job",
                                  "stock",
                                  "--tasks",
                                  "2",
                                  "--payload",
                                  "p",
                                  "--cores",
                                  "0.5",
                                  "--memory",
                                  "32",
                                  "--no-wait" });
    const Json body = Json::parse(call.m_body);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), body.at("tasks").size());
    CPPUNIT_ASSERT(body.at("tasks")[1] == Json({ { "payload", "p" },
                                                 { "cores", 0.5 },
                                                 { "memory_mb", 32 },
                                                 { "accelerators", 0 } }));
    CPPUNIT_ASSERT(body.at("wait") == false);
  }

  void JobComesFromAFile()
  {
    const TemporaryFile file(R"(// two
      {"tasks": [{"payload": "a"}, {"payload": "b"}]})");
    const ApiCall call =
      CallOf({ "submit", "job", "stock", "--file", file.Path() });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         Json::parse(call.m_body).at("tasks").size());
  }

  void PatchBecomesACall()
  {
    const TemporaryFile file(R"({"services": {"a": null}})");
    const ApiCall call =
      CallOf({ "patch", "--base", "7", "--id", "p1", file.Path() });
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/config/patches"), call.m_path);
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"({"base":7,"id":"p1","patch":{"services":{"a":null}}})"),
      call.m_body);
  }

  void OtherCommandsBecomeCalls()
  {
    const std::vector<std::pair<std::vector<std::string>, std::string>>
      cases = { { { "cancel", "12" }, "DELETE /v1/submissions/12" },
                { { "status", "12" }, "GET /v1/submissions/12" },
                { { "status" }, "GET /v1/status" },
                { { "services" }, "GET /v1/services" },
                { { "config", "get" }, "GET /v1/config" },
                { { "drain" }, "POST /v1/drain" },
                { { "endpoints" }, "GET /v1/agents" },
                { { "workers" }, "GET /v1/workers" },
                { { "drains" }, "GET /v1/drains" },
                { { "drain-zone", "z1" }, "PUT /v1/drains/z1" },
                { { "drain-zone", "a/b" }, "PUT /v1/drains/a%2Fb" },
                { { "undrain-zone", "z1" }, "DELETE /v1/drains/z1" },
                { { "timeline", "--since", "9" },
                  "GET /v1/timeline?since=9" } };
    for (const auto& [arguments, expected] : cases) {
      const ApiCall call = CallOf(arguments);
      CPPUNIT_ASSERT_EQUAL(expected, call.m_method + " " + call.m_path);
    }
  }

  void CommonOptionsAreRead()
  {
    const Invocation invocation = Parsed({ "status",
                                           "--entry",
                                           "http://a:1/,http://b:2",
                                           "--json",
                                           "--timeout",
                                           "250" });
    CPPUNIT_ASSERT(invocation.m_entries ==
                   (std::vector<std::string>{ "http://a:1", "http://b:2" }));
    CPPUNIT_ASSERT(invocation.m_json);
    CPPUNIT_ASSERT(invocation.m_timeout == std::chrono::milliseconds(250));
  }

  void EveryCommandHasHelp()
  {
    const Invocation whole = Parsed({ "--help" });
    const std::string text = std::get<HelpCommand>(whole.m_command).m_text;
    CPPUNIT_ASSERT(text.find("submit request SERVICE") != std::string::npos);
    const Invocation one = Parsed({ "submit", "job", "--help" });
    const std::string help = std::get<HelpCommand>(one.m_command).m_text;
    CPPUNIT_ASSERT(help.find("--no-wait") != std::string::npos);
    CPPUNIT_ASSERT(help.find("--entry") != std::string::npos);
  }

  void FaultsAreFound()
  {
    const std::vector<std::vector<std::string>> faulty = {
      {},
      { "nothing" },
      { "submit" },
      { "submit", "request" },
      { "submit", "request", "s" },
      { "submit", "request", "s", "--payload", "p", "--submission", "1" },
      { "submit", "request", "s", "--payload", "p", "--deadline", "soon" },
      { "submit", "job", "s" },
      { "submit", "job", "s", "--tasks", "0" },
      { "cancel" },
      { "cancel", "1/../2" },
      { "status", "1", "2" },
      { "drain-zone" },
      { "undrain-zone", "z1", "z2" },
      { "status", "--unknown" },
      { "status", "--entry", "nowhere" },
      { "patch", "--base", "1", "--id", "a", "/nonexistent" },
      { "patch", "--base", "-1", "--id", "a", "/dev/null" },
    };
    for (const std::vector<std::string>& arguments : faulty) {
      const core::Result<Invocation> invocation = ParseArguments(arguments);
      CPPUNIT_ASSERT(!invocation);
      CPPUNIT_ASSERT(!invocation.error().m_detail.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArgumentsTest);

} // namespace

} // namespace mulberrysail::ctl
