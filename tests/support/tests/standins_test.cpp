#include "support/blockinghttp.h"
#include "support/portpicker.h"
#include "support/process.h"
#include "support/waituntil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>

namespace mulberrysail::testsupport {

namespace {

using namespace std::chrono_literals;
using network::HttpDelivery;
using network::HttpOutcome;

/** The stand-ins as processes: an endpoint behind the proxy. */
class StandinsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StandinsTest);
  CPPUNIT_TEST(ProxyPassesAndDelays);
  CPPUNIT_TEST(CutRefusesNewConnections);
  CPPUNIT_TEST(DroppedReplyHasItsEffect);
  CPPUNIT_TEST(FrozenLinkGoesOnWhenItPasses);
  CPPUNIT_TEST(EndpointEndsWhatRunsBeforeItLeaves);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    const std::string address = m_ports.Address();
    const std::string port = std::to_string(m_ports.Pick());
    const std::string link = std::to_string(m_ports.Pick());
    const std::string control = std::to_string(m_ports.Pick());
    m_endpointUrl = "http://" + address + ":" + port;
    m_linkUrl = "http://" + address + ":" + link;
    m_proxyUrl = "http://" + address + ":" + control;
    m_endpoint = Start("standin_endpoint",
                       { "--listen-address=" + address,
                         "--listen-port=" + port,
                         "--agent=" + m_endpointUrl });
    m_proxy = Start("standin_proxy",
                    { "--listen-address=" + address,
                      "--listen=" + link,
                      "--target=" + address + ":" + port,
                      "--control-port=" + control });
    CPPUNIT_ASSERT(WaitUntil(10s, [this] {
      return m_http.Get(m_endpointUrl + "/healthz").m_status == 200 &&
             m_http.Get(m_proxyUrl + "/control").m_status == 200;
    }));
  }

  void tearDown() override
  {
    m_proxy.reset();
    m_endpoint.reset();
  }

  void ProxyPassesAndDelays()
  {
    SetLink({ { "delay_ms", 30 }, { "jitter_ms", 10 } });
    const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
    const HttpOutcome outcome = Run("hello", 5s).get();
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), outcome.m_body);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 60ms);
  }

  void CutRefusesNewConnections()
  {
    SetLink({ { "mode", "cut" } });
    CPPUNIT_ASSERT(Run("a", 5s).get().m_delivery == HttpDelivery::NeverSent);
    SetLink({ { "mode", "pass" } });
    CPPUNIT_ASSERT(Run("b", 5s).get().m_delivery == HttpDelivery::Answered);
  }

  void DroppedReplyHasItsEffect()
  {
    SetLink({ { "mode", "drop_reply" } });
    const std::string payload = R"({"id":"x"})";
    CPPUNIT_ASSERT(Run(payload, 5s).get().m_delivery == HttpDelivery::Lost);
    CPPUNIT_ASSERT(Journal().find(R"("event":"end","id":"x")") !=
                   std::string::npos);
  }

  void FrozenLinkGoesOnWhenItPasses()
  {
    SetLink({ { "mode", "freeze" } });
    std::future<HttpOutcome> call = Run("late", 20s);
    CPPUNIT_ASSERT(WaitUntil(5s, [this] { return OpenConnections() == 1; }));
    CPPUNIT_ASSERT(Journal().empty());
    SetLink({ { "mode", "pass" } });
    CPPUNIT_ASSERT_EQUAL(std::string("late"), call.get().m_body);
  }

  void EndpointEndsWhatRunsBeforeItLeaves()
  {
    std::future<HttpOutcome> call = Run(R"({"run_ms":300})", 5s);
    CPPUNIT_ASSERT(WaitUntil(5s, [this] { return !Journal().empty(); }));
    m_endpoint->Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(200, call.get().m_status);
    const std::optional<int> code = m_endpoint->Wait(10s);
    CPPUNIT_ASSERT(code == 0);
  }

private:
  static std::unique_ptr<Process> Start(const std::string& aProgram,
                                        std::vector<std::string> aArguments)
  {
    return std::make_unique<Process>(
      ProcessSpec{ std::string(MULBERRYSAIL_PROGRAMS) + "/" + aProgram,
                   std::move(aArguments),
                   "" });
  }

  std::future<HttpOutcome> Run(const std::string& aPayload,
                               std::chrono::milliseconds aTimeout)
  {
    network::HttpCall call;
    call.m_url = m_linkUrl + "/v1/run";
    call.m_body = aPayload;
    call.m_timeout = aTimeout;
    return m_http.Start(std::move(call));
  }

  void SetLink(const nlohmann::json& aFaults)
  {
    CPPUNIT_ASSERT_EQUAL(
      200, m_http.Post(m_proxyUrl + "/control", aFaults).m_status);
  }

  std::size_t OpenConnections()
  {
    const nlohmann::json state = m_http.GetJson(m_proxyUrl + "/control");
    return state.at("links").at(0).at("open").get<std::size_t>();
  }

  std::string Journal()
  {
    return m_http.Get(m_endpointUrl + "/journal").m_body;
  }

  PortPicker m_ports;
  BlockingHttp m_http;
  std::string m_endpointUrl;
  std::string m_linkUrl;
  std::string m_proxyUrl;
  std::unique_ptr<Process> m_endpoint;
  std::unique_ptr<Process> m_proxy;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinsTest);

} // namespace

} // namespace mulberrysail::testsupport
