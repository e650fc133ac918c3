#pragma once

#include "core/internal/agent/board.h"

namespace mulberrysail::core::agent {

/** Sends what the entries are to know, in as few messages as it can. */
class Reporter
{
public:
  explicit Reporter(AgentBoard& aBoard)
    : m_board(aBoard)
  {
  }

  /** Sends all that is due. */
  void Flush();

  /** Takes back what could not be sent. */
  void RequeueUnsent(const ProcessId& aEntry, Message aMessage);

private:
  void FlushTo(EntryRecord& aEntry);
  bool HeartbeatDue(const EntryRecord& aEntry) const;
  bool LoadReportDue(const EntryRecord& aEntry) const;
  void SendAnnounce(EntryRecord& aEntry);
  void SendReports(EntryRecord& aEntry);
  LoadReport NextLoad(EntryRecord& aEntry);

  AgentBoard& m_board;
};

/** @return when the next heartbeat or load report is due. */
Instant
NextReportDue(const AgentBoard& aBoard);

/** @return the load, for no entry in particular. */
LoadReport
CurrentLoad(const AgentBoard& aBoard);

/** @return the workers that may be told of. */
std::vector<WorkerInfo>
LiveWorkers(const AgentBoard& aBoard);

/** @return whether there is room now where there was none, so that an entry
 * with waiting work can use it. Everything else can wait for the next message
 * that is sent anyway. */
bool
CapacityAppeared(const LoadReport& aOld, const LoadReport& aNew);

} // namespace mulberrysail::core::agent
