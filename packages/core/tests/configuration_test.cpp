#include "core/types/configuration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

/** Parsing and validation of configuration documents. */
class ConfigurationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(ReadsAllFieldsAndComments);
  CPPUNIT_TEST(EmptyDocumentHasDefaults);
  CPPUNIT_TEST(NamesEveryFaultWithItsPath);
  CPPUNIT_TEST(RejectsTextThatIsNotAnObject);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsAllFieldsAndComments()
  {
    const Configuration read = ParseConfiguration(ConfigVersion{ 7 }, R"({
      // One service.
      "services": {"photo-check": {"expected_run_ms": 200,
        "default_deadline_ms": 5000, "max_open": 9, "admission": false,
        "enabled": false}, "plain": {}},
      "teams": {"north": {"weight": 3, "max_open": 0}}})")
                                 .value();
    CPPUNIT_ASSERT(read.m_version == ConfigVersion{ 7 });
    const ServiceConfig expected{
      std::chrono::milliseconds(200), std::chrono::seconds(5), 9, false, false
    };
    CPPUNIT_ASSERT(read.m_services.at("photo-check") == expected);
    CPPUNIT_ASSERT(read.m_services.at("plain") == ServiceConfig());
    CPPUNIT_ASSERT((read.m_teams.at("north") == TeamConfig{ 3, 0 }));
  }

  void EmptyDocumentHasDefaults()
  {
    CPPUNIT_ASSERT(ParseConfiguration({}, "{}").value().m_services.empty());
  }

  void NamesEveryFaultWithItsPath()
  {
    const Error error = ParseConfiguration({}, R"({
      "services": {"a": {"default_deadline_ms": 0, "expected_run_ms": 1.5,
                         "max_open": -1, "enabled": 1, "colour": 1},
                   "b c": {}, "d": 3},
      "teams": {"t": {"weight": 0, "max_open": 4294967296}},
      "servces": {}})")
                          .error();
    CPPUNIT_ASSERT(error.m_kind == ErrorKind::InvalidPatch);
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        "services.a.expected_run_ms: a positive whole number of milliseconds "
        "is expected; "
        "services.a.default_deadline_ms: a positive whole number of "
        "milliseconds is expected; "
        "services.a.max_open: a positive whole number of at most 32 bits is "
        "expected; "
        "services.a.enabled: true or false is expected; "
        "services.a.colour: unknown field; "
        "services.b c: a name has 1 to 64 letters, digits, '-', '_' or '.'; "
        "services.d: an object is expected; "
        "teams.t.weight: a positive whole number of at most 32 bits is "
        "expected; "
        "teams.t.max_open: a whole number, zero or more, of at most 32 bits is "
        "expected; "
        "servces: unknown field"),
      error.m_detail);
  }

  void RejectsTextThatIsNotAnObject()
  {
    for (const std::string_view text : { "", "{", "[]", "7", "{\"a\":}" }) {
      CPPUNIT_ASSERT(ParseConfiguration({}, text).has_error());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace

} // namespace mulberrysail::core
