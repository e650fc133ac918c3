#include "core/types/errorkind.h"
#include "core/types/eventcode.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace mulberrysail::core {

namespace {

/** Consistency of the tables of error kinds and events. */
class ErrorKindTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ErrorKindTest);
  CPPUNIT_TEST(NamesAreUniqueAndParsed);
  CPPUNIT_TEST(ErrorsHaveConsistentStatusAndExecution);
  CPPUNIT_TEST(EventNumbersIncrease);
  CPPUNIT_TEST_SUITE_END();

public:
  void NamesAreUniqueAndParsed()
  {
    std::set<std::string_view> names;
    for (const ErrorRow& row : ErrorTable()) {
      CPPUNIT_ASSERT(names.insert(row.m_name).second);
      CPPUNIT_ASSERT(ErrorKindByName(row.m_name) == row.m_kind);
    }
    CPPUNIT_ASSERT(!ErrorKindByName("no-such-kind"));
  }

  void ErrorsHaveConsistentStatusAndExecution()
  {
    for (const ErrorRow& row : ErrorTable()) {
      const bool success = row.m_kind == ErrorKind::None;
      CPPUNIT_ASSERT_EQUAL(success, row.m_httpStatus < 400);
      CPPUNIT_ASSERT(row.m_retry != Retry::Later ||
                     row.m_execution != Execution::Ran);
    }
  }

  void EventNumbersIncrease()
  {
    int last = 0;
    for (const EventRow& row : EventTable()) {
      CPPUNIT_ASSERT(static_cast<int>(row.m_code) > last);
      last = static_cast<int>(row.m_code);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorKindTest);

} // namespace

} // namespace mulberrysail::core
