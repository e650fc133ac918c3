#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

/** @return every "Suite::Case" that a test file of the project registers. */
std::set<std::string>
RegisteredTests()
{
  const std::regex suite(R"(CPPUNIT_TEST_SUITE\((\w+)\))");
  const std::regex entry(R"(CPPUNIT_TEST\((\w+)\))");
  std::set<std::string> tests;
  for (const char* root :
       { "packages", "platform", "tests", "bench", "standins" }) {
    for (const std::filesystem::directory_entry& file :
         std::filesystem::recursive_directory_iterator(root)) {
      if (file.path().extension() != ".cpp") {
        continue;
      }
      const std::string text = ReadFile(file.path());
      std::smatch name;
      if (!std::regex_search(text, name, suite)) {
        continue;
      }
      for (std::sregex_iterator match(text.begin(), text.end(), entry), end;
           match != end;
           ++match) {
        tests.insert(name[1].str() + "::" + (*match)[1].str());
      }
    }
  }
  return tests;
}

/** Holds docs/GUARANTEES.md to the tests that exist. */
class GuaranteesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GuaranteesTest);
  CPPUNIT_TEST(EveryNamedTestExists);
  CPPUNIT_TEST(EveryRowNamesATest);
  CPPUNIT_TEST(EveryPlatformRuleNamesATest);
  CPPUNIT_TEST_SUITE_END();

public:
  void EveryNamedTestExists()
  {
    const std::set<std::string> tests = RegisteredTests();
    const std::string page = ReadFile("docs/GUARANTEES.md");
    const std::regex named(R"(`(\w+::\w+)`)");
    int count = 0;
    for (std::sregex_iterator match(page.begin(), page.end(), named), end;
         match != end;
         ++match, ++count) {
      CPPUNIT_ASSERT_MESSAGE((*match)[1].str(),
                             tests.contains((*match)[1].str()));
    }
    CPPUNIT_ASSERT(count > 0);
  }

  void EveryRowNamesATest() { CheckRows(std::regex(R"(^\| \*\*.*)"), 10); }

  void EveryPlatformRuleNamesATest()
  {
    CheckRows(std::regex(R"(^\| [A-Z]+ \|.*)"), 12);
  }

private:
  /** Checks that the page has @p aCount rows that match @p aRow, each of which
   * names a test. */
  static void CheckRows(const std::regex& aRow, int aCount)
  {
    std::ifstream page("docs/GUARANTEES.md");
    const std::regex named(R"(`\w+::\w+`)");
    int rows = 0;
    for (std::string line; std::getline(page, line);) {
      if (std::regex_match(line, aRow)) {
        ++rows;
        CPPUNIT_ASSERT_MESSAGE(line, std::regex_search(line, named));
      }
    }
    CPPUNIT_ASSERT_EQUAL(aCount, rows);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteesTest);

} // namespace
