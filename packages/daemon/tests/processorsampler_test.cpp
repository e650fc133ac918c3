#include "daemon/internal/processorsampler.h"
#include "store/tests/faketimer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace mulberrysail::daemon {

namespace {

using std::chrono::milliseconds;

/** A process whose processor time and timer the test controls. */
struct Sampled
{
  Sampled()
    : m_sampler(std::make_shared<ProcessorSampler>(
        m_timer,
        0.5,
        [this] { return m_used; },
        [this](core::ProcessorSampled aSample) {
          m_samples.push_back(aSample);
        }))
  {
    m_sampler->Start();
  }

  store::tests::FakeTimer m_timer;
  std::optional<core::Duration> m_used = milliseconds(1000);
  std::vector<core::ProcessorSampled> m_samples;
  std::shared_ptr<ProcessorSampler> m_sampler;
};

/** Guards the input of the share of forwarded jobs. */
class ProcessorSamplerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProcessorSamplerTest);
  CPPUNIT_TEST(UsedShareRefersToTheAllowedProcessor);
  CPPUNIT_TEST(UsedShareIsAtMostOne);
  CPPUNIT_TEST(UnreadableProcessorTimeGivesNoSample);
  CPPUNIT_TEST(NoSampleAfterStop);
  CPPUNIT_TEST(ProcessorTimeOfThisProcessIsReadable);
  CPPUNIT_TEST_SUITE_END();

public:
  void UsedShareRefersToTheAllowedProcessor()
  {
    Sampled process;
    process.m_timer.Advance(milliseconds(199));
    CPPUNIT_ASSERT(process.m_samples.empty());
    *process.m_used += milliseconds(25);
    process.m_timer.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, process.m_samples.size());
    // 25 ms of the 100 ms that half a core has in 200 ms.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, process.m_samples[0].m_usedShare, 1e-9);
    process.m_timer.Advance(milliseconds(200));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, process.m_samples[1].m_usedShare, 1e-9);
    CPPUNIT_ASSERT(process.m_samples[1].m_lateness == core::Duration::zero());
  }

  void UsedShareIsAtMostOne()
  {
    Sampled process;
    *process.m_used += milliseconds(150);
    process.m_timer.Advance(milliseconds(200));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, process.m_samples.at(0).m_usedShare, 1e-9);
  }

  void UnreadableProcessorTimeGivesNoSample()
  {
    Sampled process;
    process.m_used.reset();
    process.m_timer.Advance(milliseconds(200));
    CPPUNIT_ASSERT(process.m_samples.empty());
    process.m_used = milliseconds(1040);
    process.m_timer.Advance(milliseconds(200));
    // 40 ms of the 200 ms that half a core has in 400 ms.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0.2, process.m_samples.at(0).m_usedShare, 1e-9);
  }

  void NoSampleAfterStop()
  {
    Sampled process;
    process.m_sampler->Stop();
    process.m_timer.Advance(milliseconds(600));
    CPPUNIT_ASSERT(process.m_samples.empty());
  }

  void ProcessorTimeOfThisProcessIsReadable()
  {
    CPPUNIT_ASSERT(ProcessorTime().has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessorSamplerTest);

} // namespace

} // namespace mulberrysail::daemon
