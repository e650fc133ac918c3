#include "core/internal/entry/waitqueue.h"
#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EntryPolicy
SharedDemandPolicy()
{
  EntryPolicy policy = QueuePolicy();
  policy.m_sharedDemand = true;
  return policy;
}

/** An entry of ten, whose three agents have no free capacity. */
class CrowdedEntry : public QueueFixture
{
public:
  explicit CrowdedEntry(EntryPolicy aPolicy = SharedDemandPolicy())
    : QueueFixture(std::move(aPolicy))
  {
    std::vector<ProcessId> entries{ { "entry1", { 3 } } };
    for (int i = 2; i <= 10; ++i) {
      entries.push_back({ "entry" + std::to_string(i), { 1 } });
    }
    HandleEvent(PeersChanged{ entries });
    for (const char* name : { "a1", "a2", "a3" }) {
      m_agents.push_back(AddWorkerAgent(name, kWorkerCapacity));
    }
    for (const ProcessId& agent : m_agents) {
      ReportOthers(agent, {});
    }
  }

  /** Reports no free capacity and the waiting work of other entries. */
  void ReportOthers(const ProcessId& aAgent, std::vector<PriorityWork> aOthers)
  {
    ReportBatch batch;
    batch.m_load.m_sequence = ++m_sequence;
    batch.m_load.m_reportedAt = m_now;
    batch.m_load.m_demandOfOthers = std::move(aOthers);
    Receive(aAgent, std::move(batch));
  }

  /** @return whether a job of one task, whose objective allows a wait of 48 ms
   * on 48 cores, is refused at once. */
  bool IsRefused(const std::string& aName)
  {
    return AnswerTo(Submit(aName, 1)).has_value();
  }

  std::vector<ProcessId> m_agents;

private:
  std::uint64_t m_sequence = 5000;
};

/** Waiting core time of others that makes a job miss its objective. */
const std::vector<PriorityWork> kMuchWork{ { 0, seconds(20) } };

/** The statement of an entry's own waiting work, and the use of the figures for
 * that of other entries in admission. */
class EntryDemandTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryDemandTest);
  CPPUNIT_TEST(MessagesStateWhatWaits);
  CPPUNIT_TEST(OwnWorkDoesNotCountForEveryEntry);
  CPPUNIT_TEST(WorkOfOthersCounts);
  CPPUNIT_TEST(LessUrgentWorkOfOthersDoesNotCount);
  CPPUNIT_TEST(OldFiguresAreIgnored);
  CPPUNIT_TEST(FigureOfOneAgentDoesNotDecide);
  CPPUNIT_TEST(RefusalTellsTheAgeOfTheFigures);
  CPPUNIT_TEST(CoreTimeAheadIsExact);
  CPPUNIT_TEST_SUITE_END();

public:
  void MessagesStateWhatWaits()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kTaskNeed);
    fixture.Submit("job", 3);
    const Demand stated =
      fixture.Sent<OfferBatch>().at(0).second.m_demand.value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3200 }, stated.m_milliCores);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, stated.m_work.size());
    CPPUNIT_ASSERT(stated.m_work[0].m_coreTime == milliseconds(320));
    CPPUNIT_ASSERT(stated.m_earliestDispatch ==
                   fixture.Offers()[0].m_offer.m_dispatchTime);
    const EntryHello hello = fixture.Sent<EntryHello>().back().second;
    CPPUNIT_ASSERT(hello.m_demand == stated);
  }

  /** With ten entries, an entry took its own waiting work for a tenth of all,
   * and refused jobs while the other entries had none. */
  void OwnWorkDoesNotCountForEveryEntry()
  {
    CrowdedEntry before{ QueuePolicy() };
    CrowdedEntry fixture;
    for (CrowdedEntry* entry : { &before, &fixture }) {
      for (int i = 0; i < 3; ++i) {
        entry->Submit("job" + std::to_string(i), 1);
      }
    }
    CPPUNIT_ASSERT(before.IsRefused("next"));
    CPPUNIT_ASSERT(!fixture.IsRefused("next"));
  }

  void WorkOfOthersCounts()
  {
    CrowdedEntry fixture;
    for (const ProcessId& agent : fixture.m_agents) {
      fixture.ReportOthers(agent, kMuchWork);
    }
    CPPUNIT_ASSERT(fixture.IsRefused("job"));
  }

  void LessUrgentWorkOfOthersDoesNotCount()
  {
    CrowdedEntry fixture;
    for (const ProcessId& agent : fixture.m_agents) {
      fixture.ReportOthers(agent, { { 1000, seconds(20) } });
    }
    CPPUNIT_ASSERT(!fixture.IsRefused("job"));
  }

  void OldFiguresAreIgnored()
  {
    CrowdedEntry fixture;
    for (const ProcessId& agent : fixture.m_agents) {
      fixture.ReportOthers(agent, kMuchWork);
    }
    fixture.Advance(milliseconds(300));
    CPPUNIT_ASSERT(fixture.IsRefused("job"));
    fixture.Advance(milliseconds(1));
    CPPUNIT_ASSERT(!fixture.IsRefused("next"));
  }

  void FigureOfOneAgentDoesNotDecide()
  {
    CrowdedEntry fixture;
    fixture.ReportOthers(fixture.m_agents[0], kMuchWork);
    CPPUNIT_ASSERT(!fixture.IsRefused("job"));
  }

  void RefusalTellsTheAgeOfTheFigures()
  {
    CrowdedEntry fixture;
    for (const ProcessId& agent : fixture.m_agents) {
      fixture.ReportOthers(agent, kMuchWork);
    }
    fixture.Advance(milliseconds(50));
    const std::string detail =
      fixture.AnswerTo(fixture.Submit("job", 1))->m_detail;
    CPPUNIT_ASSERT_MESSAGE(
      detail, detail.find("others_core_ms=20000") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
      detail, detail.find("others_age_ms=50") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 50 },
                         fixture.m_entry->Counters().m_othersDemandAgeMs);
  }

  /** The sum is kept by ranges of the order; it must not miss or add the items
   * of the range that contains the limit. */
  void CoreTimeAheadIsExact()
  {
    constexpr std::int64_t kStep = 5000;
    constexpr std::int64_t kItems = 40;
    WaitQueue queue;
    const WaitingWork work{ milliseconds(10), 2000, 1, milliseconds(10) };
    for (std::int64_t i = -kItems; i < kItems; ++i) {
      queue.Insert({ i * kStep, {} }, work);
    }
    for (std::int64_t i = -kItems; i < kItems; ++i) {
      const std::int64_t ahead = i + kItems;
      CPPUNIT_ASSERT(queue.CoreTimeUpTo(i * kStep - 1) ==
                     milliseconds(20) * ahead);
      CPPUNIT_ASSERT(queue.CoreTimeUpTo(i * kStep) ==
                     milliseconds(20) * (ahead + 1));
    }
    for (std::int64_t i = -kItems; i < kItems; ++i) {
      queue.Erase({ i * kStep, {} }, work);
    }
    CPPUNIT_ASSERT(queue.CoreTimeUpTo(kItems * kStep) == Duration::zero());
    CPPUNIT_ASSERT(queue.CoreTimeByPriority().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, queue.MilliCores());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDemandTest);

} // namespace

} // namespace mulberrysail::core
