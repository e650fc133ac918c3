#include "core/tests/schedule_run.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mulberrysail::core {

namespace {

constexpr std::uint64_t kSchedules = 10000;
/** Each mutation must be detected in at least one of these schedules. */
constexpr std::uint64_t kMutatedSchedules = 200;
constexpr std::uint64_t kSeedBase = 20260000;
/** Environment variable with the seed of a single schedule to replay with its
 * trace. */
constexpr const char* kSeedVariable = "MULBERRYSAIL_SEED";

std::optional<std::uint64_t>
SeedToReplay()
{
  const char* text = std::getenv(kSeedVariable);
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::strtoull(text, nullptr, 10);
}

/** Totals of many schedules. Prints each violation with its seed. */
class Totals
{
public:
  void Add(const ScheduleResult& aResult)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_steps += aResult.m_steps;
    m_answers += aResult.m_answers;
    m_complete += aResult.m_complete;
    m_forwarded += aResult.m_forwarded;
    if (!aResult.m_violation.empty()) {
      ++m_violations;
      std::cout << "\nseed " << aResult.m_seed << ": " << aResult.m_violation
                << "  (replay with " << kSeedVariable << "=" << aResult.m_seed
                << ")" << std::endl;
    }
  }

  std::uint64_t m_steps = 0;
  std::size_t m_answers = 0;
  std::size_t m_complete = 0;
  std::uint64_t m_forwarded = 0;
  std::uint64_t m_violations = 0;

private:
  std::mutex m_mutex;
};

void
RunAllSchedules(Totals& aTotals)
{
  std::atomic<std::uint64_t> next{ 0 };
  std::vector<std::thread> threads;
  const unsigned count = std::max(1U, std::thread::hardware_concurrency());
  threads.reserve(count);
  for (unsigned i = 0; i < count; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t n = next++; n < kSchedules; n = next++) {
        aTotals.Add(RunSchedule(kSeedBase + n, Mutation::None, nullptr));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

/** @return the number of schedules that detect the mutation. */
std::uint64_t
CountDetected(Mutation aMutation)
{
  std::uint64_t detected = 0;
  for (std::uint64_t n = 0; n < kMutatedSchedules; ++n) {
    detected +=
      RunSchedule(kSeedBase + n, aMutation, nullptr).m_violation.empty() ? 0
                                                                         : 1;
  }
  return detected;
}

class ScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ScheduleTest);
  CPPUNIT_TEST(InvariantsHoldInAllSchedules);
  CPPUNIT_TEST(SameSeedGivesTheSameSchedule);
  CPPUNIT_TEST(EveryMutationIsDetected);
  CPPUNIT_TEST_SUITE_END();

public:
  void InvariantsHoldInAllSchedules()
  {
    if (const std::optional<std::uint64_t> seed = SeedToReplay()) {
      const ScheduleResult result =
        RunSchedule(*seed, Mutation::None, &std::cerr);
      CPPUNIT_ASSERT_EQUAL(std::string(), result.m_violation);
      return;
    }
    Totals totals;
    RunAllSchedules(totals);
    std::cout << kSchedules << " schedules from seed " << kSeedBase << ": "
              << totals.m_steps << " steps, " << totals.m_answers
              << " answers, " << totals.m_complete << " of them complete, "
              << totals.m_forwarded << " jobs forwarded" << std::endl;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, totals.m_violations);
    // The invariants hold trivially if few submissions complete.
    CPPUNIT_ASSERT(totals.m_complete > totals.m_answers / 4);
    CPPUNIT_ASSERT(totals.m_forwarded > kSchedules / 10);
  }

  void SameSeedGivesTheSameSchedule()
  {
    const ScheduleResult first =
      RunSchedule(kSeedBase, Mutation::None, nullptr);
    const ScheduleResult second =
      RunSchedule(kSeedBase, Mutation::None, nullptr);
    CPPUNIT_ASSERT_EQUAL(first.m_steps, second.m_steps);
    CPPUNIT_ASSERT_EQUAL(first.m_complete, second.m_complete);
  }

  void EveryMutationIsDetected()
  {
    const std::vector<std::pair<Mutation, std::string>> mutations = {
      { Mutation::StartTwice, "start twice" },
      { Mutation::AnswerTwice, "answer twice" },
      { Mutation::AnswerNever, "answer never" },
      { Mutation::AnswerLate, "answer late" },
      { Mutation::CrossOutputs, "cross outputs" },
      { Mutation::DenyRun, "deny a run" },
      { Mutation::AbortDrain, "cut a drain" },
      { Mutation::RevertConfig, "revert the configuration" },
      { Mutation::OmitDrains, "omit the drained zones" },
    };
    for (const auto& [mutation, name] : mutations) {
      CPPUNIT_ASSERT_MESSAGE("mutation not detected in " +
                               std::to_string(kMutatedSchedules) +
                               " schedules: " + name,
                             CountDetected(mutation) > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleTest);

} // namespace

} // namespace mulberrysail::core
