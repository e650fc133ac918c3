#include "core/tests/entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::seconds;

constexpr Resources kWorkerCapacity{ 4000, 4096, 1 };

/** An entry with six agents, each with one worker of the service "crop". */
class QuarantineFixture : public EntryFixture
{
public:
  static constexpr std::size_t kAgents = 6;
  /** EntryPolicy::m_maxQuarantinedPercent of kAgents. */
  static constexpr std::size_t kAllowed = 3;

  QuarantineFixture()
  {
    for (std::size_t i = 0; i < kAgents; ++i) {
      AnnounceWorker(i, false);
    }
  }

  void AnnounceWorker(std::size_t aAgent, bool aIsFailing)
  {
    Announce announce;
    announce.m_leaseFor = std::chrono::hours(1);
    WorkerInfo worker{ "w" + std::to_string(aAgent), "rack", kWorkerCapacity };
    worker.m_service = "crop";
    worker.m_failing = aIsFailing;
    worker.m_quarantined = aIsFailing;
    announce.m_workers.push_back(worker);
    Receive({ "a" + std::to_string(aAgent), Incarnation{ 1 } },
            std::move(announce));
  }

  void FailWorkers(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      AnnounceWorker(i, true);
    }
  }

  /** @return the agents that were asked to use their failing workers. */
  std::vector<std::string> AskedAgents() const
  {
    std::vector<std::string> agents;
    for (const auto& [to, hello] : Sent<EntryHello>()) {
      if (hello.m_useFailingWorkersFor > Duration::zero()) {
        agents.push_back(to.m_name);
      }
    }
    return agents;
  }
};

} // namespace

/** How many workers may be out of use because their runs fail. */
class EntryQuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryQuarantineTest);
  CPPUNIT_TEST(FewFailingWorkersStayOutOfUse);
  CPPUNIT_TEST(AllFailingWorkersAreUsedIfMostFail);
  CPPUNIT_TEST(UseOfFailingWorkersIsRenewed);
  CPPUNIT_TEST(OnlyWorkerMayBeOutOfUse);
  CPPUNIT_TEST_SUITE_END();

public:
  void FewFailingWorkersStayOutOfUse()
  {
    QuarantineFixture fixture;
    fixture.FailWorkers(QuarantineFixture::kAllowed);
    fixture.Advance(seconds(3));
    CPPUNIT_ASSERT(fixture.AskedAgents().empty());
  }

  void AllFailingWorkersAreUsedIfMostFail()
  {
    QuarantineFixture fixture;
    fixture.FailWorkers(QuarantineFixture::kAllowed + 1);
    CPPUNIT_ASSERT_EQUAL(QuarantineFixture::kAllowed + 1,
                         fixture.AskedAgents().size());
  }

  void UseOfFailingWorkersIsRenewed()
  {
    QuarantineFixture fixture;
    fixture.FailWorkers(QuarantineFixture::kAgents);
    fixture.ClearCommands();
    fixture.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(QuarantineFixture::kAgents,
                         fixture.AskedAgents().size());
    for (std::size_t i = 0; i < QuarantineFixture::kAllowed; ++i) {
      fixture.AnnounceWorker(i, false);
    }
    fixture.ClearCommands();
    fixture.Advance(seconds(2));
    CPPUNIT_ASSERT(fixture.AskedAgents().empty());
  }

  void OnlyWorkerMayBeOutOfUse()
  {
    QuarantineFixture fixture;
    for (std::size_t i = 1; i < QuarantineFixture::kAgents; ++i) {
      Announce leaving;
      leaving.m_leaseFor = std::chrono::hours(1);
      fixture.Receive({ "a" + std::to_string(i), Incarnation{ 1 } },
                      std::move(leaving));
    }
    fixture.FailWorkers(1);
    CPPUNIT_ASSERT(fixture.AskedAgents().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryQuarantineTest);

} // namespace mulberrysail::core
