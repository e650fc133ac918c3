#include "support/cluster.h"
#include "support/requestcrowd.h"
#include "support/waituntil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

namespace mulberrysail::testsupport {

namespace {

using namespace std::chrono_literals;

/** Faults that were found once. */
class RegressionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RegressionsTest);
  CPPUNIT_TEST(IdleAgentOfListedEntriesStaysReachable);
  CPPUNIT_TEST(DeadAgentIsNoLongerCounted);
  CPPUNIT_TEST(BurstWithinItsDeadlineIsTaken);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { m_cluster.reset(); }

  /** With proxies, agents have the entries from their settings alone. */
  void IdleAgentOfListedEntriesStaysReachable()
  {
    ClusterOptions options;
    options.m_proxies = true;
    Start(options);
    CPPUNIT_ASSERT(!WaitUntil(15s, [this] { return AnyAgentUnreachable(); }));
  }

  void DeadAgentIsNoLongerCounted()
  {
    Start({});
    m_cluster->Member("agent-1").Kill();
    CPPUNIT_ASSERT(m_cluster->WaitKnown(2, 3, 20s));
  }

  /** At the declared 300 ms the crowd is 2.5 s of work for 24 slots. */
  void BurstWithinItsDeadlineIsTaken()
  {
    Start({});
    RequestCrowd crowd(*m_cluster, 2, 20ms, 30s);
    crowd.Submit("request", 200);
    const std::size_t complete = crowd.Collect();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      crowd.FirstFailure(), std::size_t{ 200 }, complete);
  }

private:
  void Start(const ClusterOptions& aOptions)
  {
    m_cluster = std::make_unique<Cluster>(aOptions);
    m_cluster->Start();
  }

  bool AnyAgentUnreachable()
  {
    const nlohmann::json body = m_cluster->Http().GetJson(
      m_cluster->Layout().DirectUrl("entry-1") + "/v1/agents");
    const nlohmann::json& agents = body.at("agents");
    return std::any_of(
      agents.begin(), agents.end(), [](const nlohmann::json& aAgent) {
        return !aAgent.at("reachable").get<bool>();
      });
  }

  std::unique_ptr<Cluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegressionsTest);

} // namespace

} // namespace mulberrysail::testsupport
