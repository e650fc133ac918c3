#include "core/types/eventcode.h"
#include "telemetry/eventlevel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace mulberrysail::telemetry {

namespace {

/** Relative to the root of the project, where the tests are run. */
constexpr const char* kCataloguePath = "docs/EVENTS.md";

class CatalogueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogueTest);
  CPPUNIT_TEST(DocumentedEventsMatchEventTable);
  CPPUNIT_TEST_SUITE_END();

public:
  void DocumentedEventsMatchEventTable()
  {
    const std::vector<std::string> documented = DocumentedRows();
    CPPUNIT_ASSERT_EQUAL(core::EventTable().size(), documented.size());
    std::size_t i = 0;
    for (const core::EventRow& row : core::EventTable()) {
      CPPUNIT_ASSERT_EQUAL(Row(row), documented[i]);
      ++i;
    }
  }

private:
  static std::string Row(const core::EventRow& aRow)
  {
    std::ostringstream row;
    row << "| " << static_cast<int>(aRow.m_code) << " | " << aRow.m_name
        << " | " << LevelName(LevelOf(aRow.m_code)) << " | " << aRow.m_meaning
        << " |";
    return row.str();
  }

  /** @return the table rows whose first cell is an event number. */
  static std::vector<std::string> DocumentedRows()
  {
    std::ifstream file(kCataloguePath);
    CPPUNIT_ASSERT(file);
    std::vector<std::string> rows;
    for (std::string line; std::getline(file, line);) {
      if (line.size() > 2 && line.starts_with("| ") &&
          std::isdigit(static_cast<unsigned char>(line[2])) != 0) {
        rows.push_back(line);
      }
    }
    return rows;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueTest);

} // namespace

} // namespace mulberrysail::telemetry
