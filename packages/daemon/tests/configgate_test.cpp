#include "daemon/internal/configgate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace mulberrysail::daemon {

namespace {

class ConfigGateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigGateTest);
  CPPUNIT_TEST(FirstReadIsHeldUntilAnAgentConfirmsIt);
  CPPUNIT_TEST(StaleReadIsNeverReleased);
  CPPUNIT_TEST(OpenReleasesHeldReadWithoutAgents);
  CPPUNIT_TEST_SUITE_END();

public:
  void FirstReadIsHeldUntilAnAgentConfirmsIt()
  {
    m_gate.Receive(Config(2));
    CPPUNIT_ASSERT(m_released.empty());
    m_gate.OnAgentVersion({ 2 });
    m_gate.Receive(Config(3));
    CPPUNIT_ASSERT((m_released == std::vector<std::uint64_t>{ 2, 3 }));
  }

  void StaleReadIsNeverReleased()
  {
    m_gate.Receive(Config(2));
    m_gate.OnAgentVersion({ 3 });
    CPPUNIT_ASSERT(m_released.empty());
    m_gate.Receive(Config(3));
    m_gate.Confirm();
    CPPUNIT_ASSERT((m_released == std::vector<std::uint64_t>{ 3 }));
  }

  void OpenReleasesHeldReadWithoutAgents()
  {
    m_gate.Receive(Config(2));
    m_gate.Confirm();
    m_gate.OnAgentVersion({ 1 });
    CPPUNIT_ASSERT((m_released == std::vector<std::uint64_t>{ 2 }));
  }

private:
  static core::ConfigChanged Config(std::uint64_t aVersion)
  {
    core::ConfigChanged config;
    config.m_configuration.m_version = { aVersion };
    return config;
  }

  std::vector<std::uint64_t> m_released;
  ConfigGate m_gate{ [this](const core::ConfigChanged& aConfig) {
    m_released.push_back(aConfig.m_configuration.m_version.m_value);
  } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigGateTest);

} // namespace

} // namespace mulberrysail::daemon
