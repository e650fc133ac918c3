#pragma once

#include "core/tests/queuefixture.h"

#include <algorithm>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** An entry core with agents in several zones. */
class DrainFixture : public QueueFixture
{
public:
  explicit DrainFixture(EntryPolicy aPolicy = QueuePolicy())
    : QueueFixture(std::move(aPolicy))
  {
  }

  /** Announces an agent with one worker of kWorkerCapacity. */
  ProcessId AddZoneAgent(const std::string& aName,
                         const std::string& aZone,
                         const ZoneDrains& aDrains = {},
                         bool aWarmingUp = false)
  {
    ProcessId id{ aName, { 1 } };
    Announce announce;
    announce.m_zone = aZone;
    announce.m_leaseFor = std::chrono::hours(1);
    announce.m_workers.push_back(
      { aName + "-w", "rack", kWorkerCapacity, false });
    announce.m_workers.back().m_warmingUp = aWarmingUp;
    announce.m_load = MakeLoad(aDrains.Digest(), kWorkerCapacity);
    announce.m_drains = aDrains;
    Receive(id, std::move(announce));
    return id;
  }

  void ApplyDrains(ZoneDrains aDrains)
  {
    HandleEvent(ZoneDrainsChanged{ std::move(aDrains) });
  }

  /** Reports a load without attempts. */
  void ReportLoad(const ProcessId& aAgent,
                  std::uint64_t aDigest,
                  Resources aFree = kWorkerCapacity)
  {
    Receive(aAgent, ReportBatch{ {}, MakeLoad(aDigest, aFree) });
  }

  /** Reports the refusal of an attempt by an agent that is draining.
   * @param aDigest the digest of the agent's list of drained zones. */
  void ReportDraining(const SentOffer& aSent, std::uint64_t aDigest)
  {
    AttemptReport report;
    report.m_attempt = aSent.m_offer.m_attempt;
    report.m_kind = ErrorKind::Draining;
    Receive(aSent.m_agent, ReportBatch{ { report }, MakeLoad(aDigest, {}) });
  }

  /** @return the hellos sent to @p aAgent since the last ClearCommands(). */
  std::vector<EntryHello> HellosTo(const ProcessId& aAgent) const
  {
    std::vector<EntryHello> hellos;
    for (const auto& [to, hello] : Sent<EntryHello>()) {
      if (to == aAgent) {
        hellos.push_back(hello);
      }
    }
    return hellos;
  }

  std::size_t CountEvents(EventCode aCode) const
  {
    return static_cast<std::size_t>(std::count_if(
      m_commands.begin(), m_commands.end(), [&](const EntryCommand& aAny) {
        const RecordEvent* const record = std::get_if<RecordEvent>(&aAny);
        return record != nullptr && record->m_code == aCode;
      }));
  }

  std::size_t CountOffersTo(const ProcessId& aAgent) const
  {
    const std::vector<SentOffer> offers = Offers();
    return static_cast<std::size_t>(
      std::count_if(offers.begin(), offers.end(), [&](const SentOffer& aOffer) {
        return aOffer.m_agent == aAgent;
      }));
  }

private:
  LoadReport MakeLoad(std::uint64_t aDigest, Resources aFree)
  {
    LoadReport load;
    load.m_sequence = ++m_loads;
    load.m_reportedAt = m_now;
    load.m_config = { 2 };
    load.m_newestConfig = { 2 };
    load.m_lastOfferSequence = 1000;
    load.m_freeCapacity = aFree;
    load.m_drainsDigest = aDigest;
    return load;
  }

  std::uint64_t m_loads = 2000;
};

} // namespace mulberrysail::core
