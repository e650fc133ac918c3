#include "core/internal/entry/runtimemodel.h"

#include "core/internal/entry/taskspeeds.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <vector>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

constexpr Duration kDeclared = milliseconds(200);
/** Shape of the lognormal error of declared run times. */
constexpr double kSigma = 0.4;
/** Samples after which a model has forgotten its first ones. */
constexpr int kManyRuns = 10000;
constexpr int kWarmUpRuns = 1000;

/** Agents whose run times are learned as an entry does. */
class LearningFleet
{
public:
  /** @param aFactors the run time factor of each agent. */
  explicit LearningFleet(std::vector<double> aFactors)
    : m_factors(std::move(aFactors))
    , m_agents(m_factors.size())
    , m_shares(m_factors.size(), 1)
  {
  }

  /** Runs @p aRuns tasks on agents drawn by m_shares. */
  void Run(int aRuns)
  {
    boost::random::discrete_distribution<std::size_t> agents(m_shares.begin(),
                                                             m_shares.end());
    for (int i = 0; i < aRuns; ++i) {
      RunOn(agents(m_random));
    }
  }

  void RunOn(std::size_t aAgent)
  {
    boost::random::lognormal_distribution<double> error(0, kSigma);
    boost::random::bernoulli_distribution<double> isLong(m_longShare);
    const double length =
      error(m_random) * (isLong(m_random) ? kLongFactor : 1);
    Learn(aAgent, m_factors.at(aAgent) * length);
  }

  double SlowdownOf(std::size_t aAgent) const
  {
    return m_speeds.SlowdownOf(m_agents.at(aAgent));
  }

  /** @return expected over declared run time. */
  double Expected() const
  {
    return static_cast<double>(m_model.Estimate(kDeclared).count()) /
           static_cast<double>(kDeclared.count());
  }

  static constexpr double kLongFactor = 7;

  std::vector<double> m_factors;
  std::vector<SlowdownModel> m_agents;
  std::vector<double> m_shares;
  double m_longShare = 0;
  int m_ignored = 0;
  RunTimeModel m_model;

private:
  void Learn(std::size_t aAgent, double aRatio)
  {
    SlowdownModel& agent = m_agents.at(aAgent);
    const Duration ran = Scaled(aRatio);
    if (m_model.IsLearned()) {
      const bool used = m_speeds.Learn(agent, m_model.Estimate(kDeclared), ran);
      m_ignored += used ? 0 : 1;
    }
    m_model.Learn(kDeclared, Scaled(aRatio / m_speeds.SlowdownOf(agent)));
  }

  static Duration Scaled(double aRatio)
  {
    return Duration(static_cast<Duration::rep>(
      aRatio * static_cast<double>(kDeclared.count())));
  }

  TaskSpeeds m_speeds;
  boost::random::mt19937_64 m_random{ 7 };
};

void
AssertNear(double aExpected, double aActual, double aTolerance)
{
  CPPUNIT_ASSERT_DOUBLES_EQUAL(aExpected, aActual, aTolerance);
}

class RunTimeModelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RunTimeModelTest);
  CPPUNIT_TEST(EquallySlowAgentsHaveNoSlowdown);
  CPPUNIT_TEST(SpeedsDoNotDriftIfFastAgentsRunMore);
  CPPUNIT_TEST(ExpectedRunTimesDoNotDrift);
  CPPUNIT_TEST(LongRunsDoNotMakeAnAgentSlow);
  CPPUNIT_TEST(MeanFactorIncludesLongRuns);
  CPPUNIT_TEST(MeanFactorOfEqualRunsIsOne);
  CPPUNIT_TEST(FewSamplesHaveLittleWeight);
  CPPUNIT_TEST(AgentThatWasSlowRecovers);
  CPPUNIT_TEST_SUITE_END();

public:
  /** The common factor belongs to the expected run time. */
  void EquallySlowAgentsHaveNoSlowdown()
  {
    LearningFleet fleet(std::vector<double>(10, 1.6));
    fleet.Run(kManyRuns);
    AssertNear(1.6, fleet.Expected(), 0.15);
    double logs = 0;
    for (std::size_t agent = 0; agent < fleet.m_agents.size(); ++agent) {
      AssertNear(1, fleet.SlowdownOf(agent), 0.25);
      logs += std::log(fleet.SlowdownOf(agent));
    }
    AssertNear(0, logs / static_cast<double>(fleet.m_agents.size()), 0.02);
  }

  /** Placement prefers fast agents, so the mean over runs is not the mean over
   * agents. */
  void SpeedsDoNotDriftIfFastAgentsRunMore()
  {
    LearningFleet fleet({ 0.6, 0.6, 1.0, 1.0, 1.6, 1.6 });
    fleet.m_shares = { 5, 5, 2, 2, 1, 1 };
    fleet.Run(kWarmUpRuns);
    for (int i = 0; i < kManyRuns; ++i) {
      fleet.Run(1);
      AssertNear(1, fleet.Expected(), 0.25);
    }
    CPPUNIT_ASSERT(fleet.SlowdownOf(0) < 0.8);
    CPPUNIT_ASSERT(fleet.SlowdownOf(1) < 0.8);
    AssertNear(1, fleet.SlowdownOf(2), 0.25);
    AssertNear(1, fleet.SlowdownOf(3), 0.25);
    CPPUNIT_ASSERT(fleet.SlowdownOf(4) > 1.25);
    CPPUNIT_ASSERT(fleet.SlowdownOf(5) > 1.25);
  }

  /** A change of all run times moves the expected run time and leaves the
   * slowdowns as they were. */
  void ExpectedRunTimesDoNotDrift()
  {
    LearningFleet fleet({ 0.6, 1.0, 1.6 });
    fleet.Run(kManyRuns);
    const double before = fleet.Expected();
    for (double& factor : fleet.m_factors) {
      factor *= 2;
    }
    fleet.Run(kManyRuns);
    AssertNear(2, fleet.Expected() / before, 0.3);
    AssertNear(1, fleet.SlowdownOf(1), 0.25);
  }

  /** A window of 30 runs often holds three tasks of the 3% that run 7 times as
   * long. */
  void LongRunsDoNotMakeAnAgentSlow()
  {
    LearningFleet fleet(std::vector<double>(4, 1.0));
    fleet.m_longShare = 0.03;
    fleet.Run(kWarmUpRuns);
    const int ignoredBefore = fleet.m_ignored;
    double sum = 0;
    double worst = 1;
    for (int i = 0; i < kManyRuns; ++i) {
      fleet.Run(1);
      sum += fleet.SlowdownOf(0);
      worst = std::max(worst, fleet.SlowdownOf(0));
    }
    AssertNear(1, sum / kManyRuns, 0.03);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst < 1.35);
    const double ignored = fleet.m_ignored - ignoredBefore;
    AssertNear(0.03, ignored / kManyRuns, 0.008);
  }

  void MeanFactorIncludesLongRuns()
  {
    LearningFleet fleet({ 1.0 });
    fleet.Run(kManyRuns);
    // Of a lognormal distribution: exp(sigma^2 / 2).
    AssertNear(1.083, fleet.m_model.MeanFactor(), 0.06);
    fleet.m_longShare = 0.03;
    fleet.Run(kManyRuns);
    // 1.083 * (0.97 + 0.03 * 7) / 7^0.03.
    AssertNear(1.206, fleet.m_model.MeanFactor(), 0.12);
  }

  /** Without a spread, the waiting core time is the sum of the expected ones.
   */
  void MeanFactorOfEqualRunsIsOne()
  {
    RunTimeModel model;
    AssertNear(1, model.MeanFactor(), 1e-9);
    for (int i = 0; i < kWarmUpRuns; ++i) {
      model.Learn(kDeclared, 2 * kDeclared);
    }
    AssertNear(1, model.MeanFactor(), 1e-3);
  }

  /** One run that was long by chance must not divert the next tasks. */
  void FewSamplesHaveLittleWeight()
  {
    TaskSpeeds speeds;
    std::vector<SlowdownModel> known(4);
    for (int i = 0; i < 400; ++i) {
      speeds.Learn(known.at(static_cast<std::size_t>(i) % known.size()),
                   kDeclared,
                   kDeclared);
    }
    SlowdownModel fresh;
    AssertNear(1, speeds.SlowdownOf(fresh), 1e-9);
    speeds.Learn(fresh, kDeclared, 2 * kDeclared);
    CPPUNIT_ASSERT(speeds.SlowdownOf(fresh) < 1.2);
    for (int i = 0; i < 30; ++i) {
      speeds.Learn(fresh, kDeclared, 2 * kDeclared);
    }
    CPPUNIT_ASSERT(speeds.SlowdownOf(fresh) > 1.5);
  }

  void AgentThatWasSlowRecovers()
  {
    LearningFleet fleet(std::vector<double>(6, 1.0));
    fleet.Run(kWarmUpRuns);
    fleet.m_factors[0] = 2;
    fleet.Run(kWarmUpRuns);
    CPPUNIT_ASSERT(fleet.SlowdownOf(0) > 1.5);
    fleet.m_factors[0] = 1;
    for (int i = 0; i < 30; ++i) {
      fleet.RunOn(0);
    }
    CPPUNIT_ASSERT(fleet.SlowdownOf(0) < 1.35);
    for (int i = 0; i < 30; ++i) {
      fleet.RunOn(0);
    }
    CPPUNIT_ASSERT(fleet.SlowdownOf(0) < 1.2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeModelTest);

} // namespace

} // namespace mulberrysail::core
