#include "daemon/internal/heldrequests.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace mulberrysail::daemon {

namespace {

/** A handler that records the paths of its requests and the lost ones. */
struct Recorder
{
  network::HttpHandler Handler()
  {
    return [this](const network::HttpRequest& aRequest,
                  const network::HttpResponder& /*aResponder*/) {
      m_handled.push_back(aRequest.m_path);
      return [this, path = aRequest.m_path] { m_lost.push_back(path); };
    };
  }

  std::vector<std::string> m_handled;
  std::vector<std::string> m_lost;
};

network::HttpRequest
RequestTo(const std::string& aPath)
{
  network::HttpRequest request;
  request.m_path = aPath;
  return request;
}

class HeldRequestsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HeldRequestsTest);
  CPPUNIT_TEST(RequestsAreHandledInOrderWhenReleased);
  CPPUNIT_TEST(RequestOfALostConnectionIsDropped);
  CPPUNIT_TEST(LossOfTheConnectionAfterTheReleaseReachesTheHandler);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsAreHandledInOrderWhenReleased()
  {
    Recorder recorder;
    HeldRequests held;
    held.Add(RequestTo("/1"), {}, recorder.Handler());
    held.Add(RequestTo("/2"), {}, recorder.Handler());
    CPPUNIT_ASSERT(recorder.m_handled.empty());
    held.Release(recorder.Handler());
    held.Add(RequestTo("/3"), {}, recorder.Handler());
    const std::vector<std::string> expected{ "/1", "/2", "/3" };
    CPPUNIT_ASSERT(recorder.m_handled == expected);
  }

  void RequestOfALostConnectionIsDropped()
  {
    Recorder recorder;
    HeldRequests held;
    const network::DisconnectHook hook =
      held.Add(RequestTo("/1"), {}, recorder.Handler());
    hook();
    held.Release(recorder.Handler());
    CPPUNIT_ASSERT(recorder.m_handled.empty());
  }

  void LossOfTheConnectionAfterTheReleaseReachesTheHandler()
  {
    Recorder recorder;
    HeldRequests held;
    const network::DisconnectHook hook =
      held.Add(RequestTo("/1"), {}, recorder.Handler());
    held.Release(recorder.Handler());
    hook();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, recorder.m_lost.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldRequestsTest);

} // namespace

} // namespace mulberrysail::daemon
