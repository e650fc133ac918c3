#include "core/messagemerging.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberrysail::core {

namespace {

using namespace std::chrono_literals;

const Instant kGranted{ 10s };

OfferBatch
BatchOf(std::uint64_t aAttempt, Instant aGranted = kGranted)
{
  OfferBatch batch;
  batch.m_sequence = aAttempt;
  batch.m_subscribeFor = std::chrono::milliseconds(aAttempt);
  batch.m_demand = Demand{ aAttempt, {}, {} };
  batch.m_leaseGrantedAt = aGranted;
  batch.m_offers.emplace_back();
  batch.m_offers.back().m_attempt = { aAttempt };
  return batch;
}

ReportBatch
ReportOf(std::uint64_t aAttempt, std::string aOutput = {})
{
  ReportBatch batch;
  batch.m_load.m_sequence = aAttempt;
  batch.m_reports.emplace_back();
  batch.m_reports.back().m_attempt = { aAttempt };
  batch.m_reports.back().m_output = std::move(aOutput);
  return batch;
}

bool
AreMerged(Message aEarlier, Message aLater)
{
  return MergeInto(aEarlier, aLater);
}

} // namespace

/** Messages to one recipient that share one message on the wire. */
class MessageMergingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageMergingTest);
  CPPUNIT_TEST(OffersShareTheOldestLease);
  CPPUNIT_TEST(OffersWithDistantLeasesStayApart);
  CPPUNIT_TEST(OffersOfOtherRecipientsOrShardsStayApart);
  CPPUNIT_TEST(ReportsKeepTheirOrderAndTheNewestLoad);
  CPPUNIT_TEST(RevocationsOfOneKindAreMerged);
  CPPUNIT_TEST(AHelloTakesOverWhatTheEarlierOneGranted);
  CPPUNIT_TEST(MergedMessagesAreBounded);
  CPPUNIT_TEST(OtherMessagesStayApart);
  CPPUNIT_TEST_SUITE_END();

public:
  /** An offer must not gain time by a lease that was granted after it. */
  void OffersShareTheOldestLease()
  {
    for (const Duration later : { 20ms, -20ms }) {
      Message earlier = BatchOf(1);
      Message second = BatchOf(2, kGranted + later);
      CPPUNIT_ASSERT(MergeInto(earlier, second));
      const OfferBatch& merged = std::get<OfferBatch>(earlier);
      CPPUNIT_ASSERT(merged.m_leaseGrantedAt ==
                     std::min(kGranted, kGranted + later));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), merged.m_offers.size());
      CPPUNIT_ASSERT(merged.m_offers[0].m_attempt == AttemptId{ 1 });
      CPPUNIT_ASSERT(merged.m_offers[1].m_attempt == AttemptId{ 2 });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), merged.m_sequence);
      CPPUNIT_ASSERT(merged.m_subscribeFor == 2ms);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), merged.m_demand->m_milliCores);
    }
  }

  void OffersWithDistantLeasesStayApart()
  {
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), BatchOf(2, kGranted + 51ms)));
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), BatchOf(2, kGranted - 51ms)));
    OfferBatch unstated = BatchOf(2);
    unstated.m_leaseGrantedAt.reset();
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), unstated));
    CPPUNIT_ASSERT(!AreMerged(unstated, BatchOf(1)));
    CPPUNIT_ASSERT(AreMerged(unstated, unstated));
  }

  void OffersOfOtherRecipientsOrShardsStayApart()
  {
    OfferBatch other = BatchOf(2);
    other.m_agentIncarnation = { 7 };
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), other));
    constexpr std::uint64_t kOtherShard = std::uint64_t{ 1 } << 56U;
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), BatchOf(kOtherShard)));
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), OfferBatch{}));
  }

  void ReportsKeepTheirOrderAndTheNewestLoad()
  {
    Message earlier = ReportOf(1);
    Message later = ReportOf(2);
    CPPUNIT_ASSERT(MergeInto(earlier, later));
    const ReportBatch& merged = std::get<ReportBatch>(earlier);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), merged.m_load.m_sequence);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), merged.m_reports.size());
    CPPUNIT_ASSERT(merged.m_reports[0].m_attempt == AttemptId{ 1 });
    CPPUNIT_ASSERT(merged.m_reports[1].m_attempt == AttemptId{ 2 });
  }

  void RevocationsOfOneKindAreMerged()
  {
    Message earlier = RevokeBatch{ { { 1 } }, true };
    Message later = RevokeBatch{ { { 2 } }, true };
    CPPUNIT_ASSERT(MergeInto(earlier, later));
    const std::vector<AttemptId> both{ { 1 }, { 2 } };
    CPPUNIT_ASSERT(std::get<RevokeBatch>(earlier).m_attempts == both);
    CPPUNIT_ASSERT(
      !AreMerged(RevokeBatch{ { { 1 } }, true }, RevokeBatch{ { { 2 } } }));
  }

  void AHelloTakesOverWhatTheEarlierOneGranted()
  {
    EntryHello first;
    first.m_subscribeFor = 500ms;
    first.m_keepConfig = true;
    first.m_demand = Demand{ 1, {}, {} };
    first.m_leaseGrantedAt = kGranted;
    Message earlier = first;
    Message later = EntryHello{};
    CPPUNIT_ASSERT(MergeInto(earlier, later));
    const EntryHello& merged = std::get<EntryHello>(earlier);
    CPPUNIT_ASSERT(merged.m_subscribeFor == 500ms);
    CPPUNIT_ASSERT(merged.m_keepConfig);
    CPPUNIT_ASSERT(merged.m_demand == first.m_demand);
    CPPUNIT_ASSERT(merged.m_leaseGrantedAt == kGranted);
    EntryHello draining;
    draining.m_draining = true;
    CPPUNIT_ASSERT(!AreMerged(first, draining));
    EntryHello otherConfig;
    otherConfig.m_config = { 2 };
    CPPUNIT_ASSERT(!AreMerged(first, otherConfig));
    EntryHello otherShard;
    otherShard.m_shard = 1;
    CPPUNIT_ASSERT(!AreMerged(first, otherShard));
  }

  void MergedMessagesAreBounded()
  {
    constexpr std::size_t kMost = 64;
    Message earlier = ReportOf(0);
    std::size_t merged = 1;
    for (Message later = ReportOf(merged); MergeInto(earlier, later);
         later = ReportOf(merged)) {
      ++merged;
    }
    CPPUNIT_ASSERT_EQUAL(kMost, merged);
    CPPUNIT_ASSERT_EQUAL(kMost,
                         std::get<ReportBatch>(earlier).m_reports.size());
    constexpr std::size_t kLarge = 1U << 20U;
    CPPUNIT_ASSERT(
      !AreMerged(ReportOf(1), ReportOf(2, std::string(kLarge, 'x'))));
    OfferBatch large = BatchOf(2);
    large.m_offers.front().m_payload = std::string(kLarge, 'x');
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), large));
  }

  void OtherMessagesStayApart()
  {
    CPPUNIT_ASSERT(!AreMerged(BatchOf(1), RevokeBatch{ { { 1 } } }));
    CPPUNIT_ASSERT(!AreMerged(RevokeBatch{ { { 1 } } }, BatchOf(1)));
    CPPUNIT_ASSERT(!AreMerged(EntryHello{}, BatchOf(1)));
    CPPUNIT_ASSERT(!AreMerged(Reconcile{ { { 1 } } }, Reconcile{ { { 2 } } }));
    CPPUNIT_ASSERT(!AreMerged(FenceQuery{}, FenceQuery{}));
    CPPUNIT_ASSERT(!AreMerged(Announce{}, Announce{}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageMergingTest);

} // namespace mulberrysail::core
