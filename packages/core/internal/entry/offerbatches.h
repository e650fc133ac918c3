#pragma once

#include "core/internal/entry/entryboard.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace mulberrysail::core {

/** Collects the offers that are made in one event context, and sends them in
 * one message per agent. */
class OfferBatches
{
public:
  explicit OfferBatches(EntryBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Marks an item as offered to @p aAgent and adds the offer to its batch. */
  void Add(EntryEventContext& aContext,
           Submission& aSubmission,
           std::uint32_t aIndex,
           AgentRecord& aAgent);

  /** Sends the batches.
   * @param aSubscribeFor see OfferBatch::m_subscribeFor. */
  void Flush(EntryEventContext& aContext, Duration aSubscribeFor);

private:
  /** Items of one submission offered in this event context, for the log. */
  struct OfferedItems
  {
    std::size_t m_items = 0;
    /** Names of their agents, in the order of the items. */
    std::string m_agents;
    /** Age of the oldest load report used for these offers. */
    Duration m_oldestLoad{};
  };

  void ArmHeartbeat(EntryEventContext& aContext);

  EntryBoard& m_board;
  std::map<ProcessId, OfferBatch> m_batches;
  std::map<SubmissionId, OfferedItems> m_offeredItems;
};

} // namespace mulberrysail::core
