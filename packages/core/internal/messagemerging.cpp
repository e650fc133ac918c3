#include "core/messagemerging.h"

#include "core/ientry.h"
#include "core/internal/overloaded.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrysail::core {

namespace {

/** Most offers, reports or attempts in a merged message. */
constexpr std::size_t kMaxMergedParts = 64;
/** Parts with more bytes than this are not merged, so that merged messages stay
 * far below the size limit of the transport. */
constexpr std::size_t kMaxMergedPartBytes = 16384;
/** Greatest difference of the leases of merged offers. The oldest lease counts
 * for all, so a greater difference would shorten the time to start them. */
constexpr Duration kMaxLeaseDifference = std::chrono::milliseconds(50);

template<typename Part>
void
Append(std::vector<Part>& aTo, std::vector<Part>& aFrom)
{
  aTo.insert(aTo.end(),
             std::make_move_iterator(aFrom.begin()),
             std::make_move_iterator(aFrom.end()));
}

/** @return whether one merged message may hold the parts of both. */
template<typename Part, typename BytesOf>
bool
FitTogether(const std::vector<Part>& aEarlier,
            const std::vector<Part>& aLater,
            BytesOf aBytesOf)
{
  return aEarlier.size() + aLater.size() <= kMaxMergedParts &&
         std::all_of(aLater.begin(), aLater.end(), [&](const Part& aPart) {
           return aBytesOf(aPart) <= kMaxMergedPartBytes;
         });
}

bool
HaveCloseLeases(const OfferBatch& aEarlier, const OfferBatch& aLater)
{
  if (!aEarlier.m_leaseGrantedAt || !aLater.m_leaseGrantedAt) {
    return !aEarlier.m_leaseGrantedAt && !aLater.m_leaseGrantedAt;
  }
  const Duration difference =
    *aLater.m_leaseGrantedAt - *aEarlier.m_leaseGrantedAt;
  return std::max(difference, -difference) <= kMaxLeaseDifference;
}

bool
Merge(OfferBatch& aEarlier, OfferBatch& aLater)
{
  // The agent reads the shard from the first offer.
  if (aEarlier.m_offers.empty() || aLater.m_offers.empty() ||
      aEarlier.m_agentIncarnation != aLater.m_agentIncarnation ||
      ShardOf(aEarlier.m_offers.front().m_attempt) !=
        ShardOf(aLater.m_offers.front().m_attempt) ||
      !HaveCloseLeases(aEarlier, aLater) ||
      !FitTogether(aEarlier.m_offers, aLater.m_offers, [](const Offer& aOffer) {
        return aOffer.m_payload.size();
      })) {
    return false;
  }
  if (aLater.m_leaseGrantedAt) {
    aEarlier.m_leaseGrantedAt =
      std::min(*aEarlier.m_leaseGrantedAt, *aLater.m_leaseGrantedAt);
  }
  aEarlier.m_sequence = std::max(aEarlier.m_sequence, aLater.m_sequence);
  aEarlier.m_subscribeFor = aLater.m_subscribeFor;
  aEarlier.m_demand = std::move(aLater.m_demand);
  aEarlier.m_omitRepeatedPayloads =
    aEarlier.m_omitRepeatedPayloads && aLater.m_omitRepeatedPayloads;
  Append(aEarlier.m_offers, aLater.m_offers);
  return true;
}

bool
Merge(RevokeBatch& aEarlier, RevokeBatch& aLater)
{
  if (aEarlier.m_stopRunning != aLater.m_stopRunning ||
      aEarlier.m_attempts.size() + aLater.m_attempts.size() > kMaxMergedParts) {
    return false;
  }
  Append(aEarlier.m_attempts, aLater.m_attempts);
  return true;
}

bool
Merge(EntryHello& aEarlier, EntryHello& aLater)
{
  if (aEarlier.m_shard != aLater.m_shard ||
      aEarlier.m_config != aLater.m_config ||
      aEarlier.m_draining != aLater.m_draining) {
    return false;
  }
  aLater.m_subscribeFor =
    std::max(aEarlier.m_subscribeFor, aLater.m_subscribeFor);
  aLater.m_keepConfig = aEarlier.m_keepConfig || aLater.m_keepConfig;
  if (!aLater.m_demand) {
    aLater.m_demand = std::move(aEarlier.m_demand);
  }
  if (aEarlier.m_leaseGrantedAt) {
    aLater.m_leaseGrantedAt =
      std::max(aLater.m_leaseGrantedAt.value_or(*aEarlier.m_leaseGrantedAt),
               *aEarlier.m_leaseGrantedAt);
  }
  aEarlier = std::move(aLater);
  return true;
}

bool
Merge(ReportBatch& aEarlier, ReportBatch& aLater)
{
  if (!FitTogether(
        aEarlier.m_reports, aLater.m_reports, [](const AttemptReport& aReport) {
          return aReport.m_output.size();
        })) {
    return false;
  }
  aEarlier.m_load = std::move(aLater.m_load);
  Append(aEarlier.m_reports, aLater.m_reports);
  return true;
}

} // namespace

bool
MergeInto(Message& aEarlier, Message& aLater)
{
  return std::visit(
    Overloaded{
      [](OfferBatch& aOne, OfferBatch& aTwo) { return Merge(aOne, aTwo); },
      [](RevokeBatch& aOne, RevokeBatch& aTwo) { return Merge(aOne, aTwo); },
      [](EntryHello& aOne, EntryHello& aTwo) { return Merge(aOne, aTwo); },
      [](ReportBatch& aOne, ReportBatch& aTwo) { return Merge(aOne, aTwo); },
      [](auto&, auto&) { return false; } },
    aEarlier,
    aLater);
}

} // namespace mulberrysail::core
