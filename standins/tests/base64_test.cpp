#include "standins/common/base64.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace mulberrysail::standins {

namespace {

class Base64Test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(Base64Test);
  CPPUNIT_TEST(EncodesWithPadding);
  CPPUNIT_TEST(DecodesWhatItEncodes);
  CPPUNIT_TEST_SUITE_END();

public:
  void EncodesWithPadding()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), EncodeBase64(""));
    CPPUNIT_ASSERT_EQUAL(std::string("Zg=="), EncodeBase64("f"));
    CPPUNIT_ASSERT_EQUAL(std::string("Zm8="), EncodeBase64("fo"));
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9v"), EncodeBase64("foo"));
  }

  void DecodesWhatItEncodes()
  {
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
      bytes.push_back(static_cast<char>(byte));
      CPPUNIT_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
    }
    CPPUNIT_ASSERT_THROW(DecodeBase64("a*b="), std::invalid_argument);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Base64Test);

} // namespace

} // namespace mulberrysail::standins
