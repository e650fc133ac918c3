#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Sends announcements, attempt reports and load reports to the entries in as
 * few messages as possible. */
class Reporter
{
public:
  explicit Reporter(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Sends all messages that are due. */
  void Flush();

  /** Marks the entry as unreachable. If the unsent message is a ReportBatch,
   * puts its reports back at the front of the entry's queue. */
  void RequeueUnsent(const ProcessId& aEntry, Message aMessage);

private:
  void FlushTo(EntryRecord& aEntry);
  bool HeartbeatDue(const EntryRecord& aEntry) const;
  /** Notifies as many subscribers as can use the free capacity, those first
   * whose refused tasks must start first. If all were notified, most of their
   * offers would be refused. */
  void ReportCapacity();
  void SendAnnounce(EntryRecord& aEntry);
  void SendReports(EntryRecord& aEntry);
  /** Creates the next load report for the entry and stores it as its last one.
   */
  LoadReport PrepareLoadReport(EntryRecord& aEntry);

  AgentBoard& m_board;
};

/** @return when the next heartbeat or load report is due. */
Instant
NextSendDue(const AgentBoard& aBoard);

/** @return when the subscriber may be notified of free capacity again. */
Instant
NextCapacityReport(const AgentBoard& aBoard, const EntryRecord& aEntry);

/** @return the current load without the fields that differ by entry. */
LoadReport
CurrentLoad(const AgentBoard& aBoard);

/** @return the workers to announce to entries. */
std::vector<WorkerInfo>
LiveWorkers(const AgentBoard& aBoard);

/** @return whether capacity has become free that an entry with queued work can
 * use. Any other change of the load is sent with the next message that is due
 * for another reason. */
bool
CapacityAppeared(const LoadReport& aOld, const LoadReport& aNew);

} // namespace mulberrysail::core::agent
