#include "daemon/settings/settingsfile.h"

#include "support/temporarydirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>

namespace mulberrysail::daemon {

namespace {

void
Write(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

class SettingsFileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsFileTest);
  CPPUNIT_TEST(ChangeIsReportedOnce);
  CPPUNIT_TEST(ReplacementIsReported);
  CPPUNIT_TEST(MissingFileIsNotReported);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Write(m_path, "{}"); }

  void ChangeIsReportedOnce()
  {
    SettingsFile file(m_path);
    CPPUNIT_ASSERT(!file.HasChanged());
    Write(m_path, "{ }");
    CPPUNIT_ASSERT(file.HasChanged());
    CPPUNIT_ASSERT(!file.HasChanged());
  }

  void ReplacementIsReported()
  {
    SettingsFile file(m_path);
    Write(m_path + ".new", "{}");
    CPPUNIT_ASSERT_EQUAL(
      0, std::rename((m_path + ".new").c_str(), m_path.c_str()));
    CPPUNIT_ASSERT(file.HasChanged());
  }

  void MissingFileIsNotReported()
  {
    SettingsFile file(m_path);
    std::remove(m_path.c_str());
    CPPUNIT_ASSERT(!file.HasChanged());
    Write(m_path, "{  }");
    CPPUNIT_ASSERT(file.HasChanged());
  }

private:
  const testsupport::TemporaryDirectory m_directory;
  const std::string m_path = m_directory.Path() + "/settings.json";
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileTest);

} // namespace

} // namespace mulberrysail::daemon
