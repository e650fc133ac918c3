#include "core/internal/agent/reporter.h"

#include "core/internal/agent/capacitygrants.h"
#include "core/internal/agent/crashlog.h"
#include "core/internal/agent/membership.h"
#include "core/internal/agent/starter.h"
#include "core/internal/agent/workerusage.h"

#include <algorithm>

namespace mulberrysail::core::agent {

namespace {

/** Smallest increase of the free capacity, in thousandths of a core, for which
 * a load report is sent on its own; a smaller increase is assumed to be too
 * little for a task. */
constexpr std::uint32_t kMinFreedMilliCores = 1000;

/** @return how many requests and tasks could start now. */
std::size_t
StartableCount(const AgentBoard& aBoard, const LoadReport& aLoad)
{
  const std::uint32_t need =
    std::max(aBoard.m_workers.m_meanNeedMilliCores, kMinFreedMilliCores);
  return aLoad.m_freeSlots + aLoad.m_freeCapacity.m_milliCores / need;
}

/** @return whether @p aLoad contains enough free capacity to notify an entry
 * that knows of none. */
bool
HasReportableCapacity(const LoadReport& aLoad)
{
  return CapacityAppeared(LoadReport(), aLoad);
}

/** @return whether @p aLoad contains free capacity that the entry may use and
 * was not notified of. */
bool
UnreportedCapacity(const AgentBoard& aBoard,
                   const EntryRecord& aEntry,
                   LoadReport aLoad)
{
  if (aBoard.m_policy.m_capacityGrant > Duration::zero()) {
    Resources& free = aLoad.m_freeCapacity;
    free = FreeCapacityFor(aBoard, aEntry, free);
    // Grants leave remainders that are too small for a task.
    if (free.m_milliCores < SmallestUsableMilliCores(aBoard)) {
      free = {};
    }
  }
  return CapacityAppeared(aEntry.m_lastLoad, aLoad);
}

/** @return whether the entry subscribes to free capacity of which it was not
 * notified. */
bool
LacksCapacityReport(const AgentBoard& aBoard,
                    const EntryRecord& aEntry,
                    const LoadReport& aLoad)
{
  return !aEntry.m_unreachable && aEntry.IsSubscribed(aBoard.m_now) &&
         UnreportedCapacity(aBoard, aEntry, aLoad);
}

} // namespace

Instant
NextCapacityReport(const AgentBoard& aBoard, const EntryRecord& aEntry)
{
  return std::max(aEntry.m_lastLoad.m_reportedAt,
                  aBoard.m_entries.m_capacityReportedAt) +
         aBoard.m_policy.m_reportInterval;
}

bool
CapacityAppeared(const LoadReport& aOld, const LoadReport& aNew)
{
  const bool forRequest = aOld.m_freeSlots == 0 && aNew.m_freeSlots > 0;
  const bool forTask = aNew.m_freeCapacity.m_milliCores >=
                       aOld.m_freeCapacity.m_milliCores + kMinFreedMilliCores;
  return forRequest || forTask;
}

LoadReport
CurrentLoad(const AgentBoard& aBoard)
{
  LoadReport load;
  load.m_sequence = aBoard.m_loadSequence;
  load.m_reportedAt = aBoard.m_now;
  load.m_config = aBoard.m_config.m_copy.m_version;
  load.m_newestConfig = aBoard.m_config.m_newest;
  load.m_drainsDigest = aBoard.m_drains.Digest();
  load.m_freeSlots = FreeSlots(aBoard);
  load.m_queuedRequests =
    static_cast<std::uint32_t>(aBoard.m_requests.m_order.size());
  load.m_queuedRequestWork = aBoard.m_requests.m_work;
  load.m_queuedTasks = static_cast<std::uint32_t>(aBoard.m_tasks.m_size);
  load.m_queuedTaskWork = aBoard.m_tasks.m_coreTime;
  if (!AcceptsWork(aBoard)) {
    return load;
  }
  for (const auto& [name, worker] : aBoard.m_workers.m_workers) {
    AddResources(load.m_freeCapacity, FreeCapacity(aBoard, worker));
  }
  return load;
}

std::vector<WorkerInfo>
LiveWorkers(const AgentBoard& aBoard)
{
  std::vector<WorkerInfo> workers;
  for (const auto& [name, worker] : aBoard.m_workers.m_workers) {
    if (IsLive(aBoard, worker)) {
      workers.push_back(worker.m_info);
    }
  }
  return workers;
}

Instant
NextSendDue(const AgentBoard& aBoard)
{
  Instant due = kNever;
  const LoadReport load = CurrentLoad(aBoard);
  const bool hasCapacity = HasReportableCapacity(load);
  for (const auto& [index, entry] : aBoard.m_entries.m_records) {
    if (IsPresent(aBoard, entry)) {
      due =
        std::min(due, entry.m_lastSent + aBoard.m_policy.m_heartbeatInterval);
    }
    if (hasCapacity && LacksCapacityReport(aBoard, entry, load)) {
      due = std::min(due, NextCapacityReport(aBoard, entry));
    }
  }
  return std::min(due, NextGrantEnd(aBoard));
}

void
Reporter::Flush()
{
  CapacityGrants(m_board).Update();
  for (auto& [index, entry] : m_board.m_entries.m_records) {
    FlushTo(entry);
  }
  for (auto& [index, entry] : m_board.m_entries.m_records) {
    if (entry.m_grantReportDue && !entry.m_unreachable) {
      SendReports(entry);
    }
  }
  ReportCapacity();
}

void
Reporter::ReportCapacity()
{
  const LoadReport load = CurrentLoad(m_board);
  if (!HasReportableCapacity(load)) {
    return;
  }
  std::vector<EntryRecord*> due;
  for (auto& [index, entry] : m_board.m_entries.m_records) {
    if (LacksCapacityReport(m_board, entry, load) &&
        NextCapacityReport(m_board, entry) <= m_board.m_now) {
      due.push_back(&entry);
    }
  }
  if (due.empty()) {
    return;
  }
  std::sort(due.begin(),
            due.end(),
            [](const EntryRecord* aLeft, const EntryRecord* aRight) {
              const Instant left = aLeft->m_earliestRefused.value_or(kNever);
              const Instant right = aRight->m_earliestRefused.value_or(kNever);
              return left != right ? left < right
                                   : aLeft->m_lastLoad.m_reportedAt <
                                       aRight->m_lastLoad.m_reportedAt;
            });
  const std::size_t startable = StartableCount(m_board, load);
  due.resize(std::min(due.size(), std::max<std::size_t>(startable, 1)));
  for (EntryRecord* const entry : due) {
    entry->m_earliestRefused.reset();
    SendReports(*entry);
  }
  m_board.m_entries.m_capacityReportedAt = m_board.m_now;
}

void
Reporter::FlushTo(EntryRecord& aEntry)
{
  const bool heartbeat = HeartbeatDue(aEntry);
  if (heartbeat) {
    aEntry.m_unreachable = false;
    aEntry.m_announceDue = true;
  }
  if (aEntry.m_unreachable) {
    return;
  }
  if (aEntry.m_announceDue && IsPresent(m_board, aEntry)) {
    SendAnnounce(aEntry);
  }
  if (!aEntry.m_reports.empty() || aEntry.m_loadRequested) {
    // An entry that waits for capacity learns of it from this report and can
    // use it before other entries are notified.
    if (LacksCapacityReport(m_board, aEntry, CurrentLoad(m_board))) {
      m_board.m_entries.m_capacityReportedAt = m_board.m_now;
    }
    SendReports(aEntry);
  }
}

bool
Reporter::HeartbeatDue(const EntryRecord& aEntry) const
{
  return IsPresent(m_board, aEntry) && m_board.m_now - aEntry.m_lastSent >=
                                         m_board.m_policy.m_heartbeatInterval;
}

void
Reporter::SendAnnounce(EntryRecord& aEntry)
{
  aEntry.m_announceDue = false;
  Announce announce;
  announce.m_zone = m_board.m_policy.m_zone;
  announce.m_httpAddress = m_board.m_policy.m_httpAddress;
  announce.m_leaving = m_board.m_draining;
  announce.m_leaseFor = m_board.m_policy.m_lease;
  announce.m_endpoint = m_board.m_endpoint.m_info;
  announce.m_workers = LiveWorkers(m_board);
  announce.m_load = PrepareLoadReport(aEntry);
  announce.m_readsOmittedPayloads = true;
  announce.m_drains = m_board.m_drains;
  announce.m_crashes = CrashLog(m_board).TakeUnsent(aEntry);
  Send(m_board, aEntry, std::move(announce));
}

void
Reporter::SendReports(EntryRecord& aEntry)
{
  ReportBatch batch;
  batch.m_reports = std::move(aEntry.m_reports);
  aEntry.m_reports.clear();
  aEntry.m_loadRequested = false;
  batch.m_load = PrepareLoadReport(aEntry);
  ++m_board.m_counters.m_reportsSent;
  Send(m_board, aEntry, std::move(batch));
}

LoadReport
Reporter::PrepareLoadReport(EntryRecord& aEntry)
{
  LoadReport load = CurrentLoad(m_board);
  load.m_sequence = ++m_board.m_loadSequence;
  load.m_lastOfferSequence = aEntry.m_lastOfferSequence;
  load.m_freeCapacity = FreeCapacityFor(m_board, aEntry, load.m_freeCapacity);
  load.m_demandOfOthers = DemandOfOthers(m_board, aEntry);
  aEntry.m_grantReportDue = false;
  aEntry.m_lastLoad = load;
  return load;
}

void
Reporter::RequeueUnsent(const ProcessId& aEntry, Message aMessage)
{
  const auto known = m_board.m_entries.m_byId.find(aEntry);
  if (known == m_board.m_entries.m_byId.end()) {
    return;
  }
  EntryRecord& entry = m_board.m_entries.m_records.at(known->second);
  entry.m_unreachable = true;
  entry.m_linked = false;
  entry.m_announceDue = true;
  entry.m_lastCrashSent = 0;
  entry.m_grant = {};
  if (ReportBatch* batch = std::get_if<ReportBatch>(&aMessage)) {
    entry.m_reports.insert(entry.m_reports.begin(),
                           std::make_move_iterator(batch->m_reports.begin()),
                           std::make_move_iterator(batch->m_reports.end()));
  }
}

} // namespace mulberrysail::core::agent
