#include "input/boundedjson.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberrysail::input {

namespace {

using nlohmann::json;

constexpr std::size_t kVeryDeep = 200'000;

std::string
NestedArrays(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

JsonFault
FaultOf(std::string_view aText, const JsonLimits& aLimits = {})
{
  const JsonResult result = ParseJson(aText, aLimits);
  CPPUNIT_ASSERT(result.has_error());
  CPPUNIT_ASSERT(!result.error().m_detail.empty());
  return result.error().m_fault;
}

class BoundedJsonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BoundedJsonTest);
  CPPUNIT_TEST(DocumentsEqualThoseOfTheLibrary);
  CPPUNIT_TEST(DeepDocumentsAreRefused);
  CPPUNIT_TEST(NumbersThatNoTypeHoldsAreRefused);
  CPPUNIT_TEST(TextsOverTheLimitAreRefused);
  CPPUNIT_TEST(TooManyValuesAreRefused);
  CPPUNIT_TEST(InvalidBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void DocumentsEqualThoseOfTheLibrary()
  {
    for (const char* text :
         { "null",
           "[]",
           "{}",
           "-7",
           "18446744073709551616",
           R"({"a":[1,2.5,{"b":[[],{}],"c":"\u0000x"}],"d":null,"e":true})",
           R"([{"a":1,"a":{"b":2}},"text",[[["deep"]]]])" }) {
      const JsonResult result = ParseJson(text);
      CPPUNIT_ASSERT_MESSAGE(text, result.has_value());
      CPPUNIT_ASSERT_EQUAL(json::parse(text), result.value());
    }
    const JsonResult commented =
      ParseJson("[1 /* [ */, 2]", { .m_allowsComments = true });
    CPPUNIT_ASSERT(commented.value() == json({ 1, 2 }));
  }

  void DeepDocumentsAreRefused()
  {
    const JsonLimits limits{ .m_maxDepth = 3 };
    CPPUNIT_ASSERT(ParseJson(NestedArrays(3), limits).has_value());
    CPPUNIT_ASSERT(FaultOf(NestedArrays(4), limits) == JsonFault::TooDeep);
    CPPUNIT_ASSERT(FaultOf(NestedArrays(kVeryDeep)) == JsonFault::TooDeep);
    CPPUNIT_ASSERT(FaultOf(std::string(kVeryDeep, '[')) == JsonFault::TooDeep);
    std::string objects;
    for (std::size_t i = 0; i < kVeryDeep; ++i) {
      objects += R"({"a":)";
    }
    CPPUNIT_ASSERT(FaultOf(objects) == JsonFault::TooDeep);
    CPPUNIT_ASSERT(ParseJson("[[[]],[[]],[[]]]", limits).has_value());
  }

  void NumbersThatNoTypeHoldsAreRefused()
  {
    CPPUNIT_ASSERT(FaultOf("1e400") == JsonFault::Malformed);
    CPPUNIT_ASSERT(FaultOf(std::string(100'000, '9')) == JsonFault::Malformed);
  }

  void TextsOverTheLimitAreRefused()
  {
    const JsonLimits limits{ .m_maxBytes = 4 };
    CPPUNIT_ASSERT(ParseJson("1234", limits).has_value());
    CPPUNIT_ASSERT(FaultOf("12345", limits) == JsonFault::TooLong);
  }

  void TooManyValuesAreRefused()
  {
    const JsonLimits limits{ .m_maxValues = 3 };
    CPPUNIT_ASSERT(ParseJson("[1,2]", limits).has_value());
    CPPUNIT_ASSERT(FaultOf("[1,2,3]", limits) == JsonFault::TooManyValues);
    CPPUNIT_ASSERT(FaultOf("[1,[],{}]", limits) == JsonFault::TooManyValues);
  }

  void InvalidBytesAreRefused()
  {
    for (const char* text :
         { "", "{", "[1]]", "{\"a\"}", "\"\xff\"", "\xfe" }) {
      CPPUNIT_ASSERT(FaultOf(text) == JsonFault::Malformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedJsonTest);

} // namespace

} // namespace mulberrysail::input
