#pragma once

#include "core/internal/agent/crashsection.h"
#include "core/internal/agent/endpointsection.h"
#include "core/internal/agent/entrysection.h"
#include "core/internal/agent/keysection.h"
#include "core/internal/agent/learningsection.h"
#include "core/internal/agent/queuesection.h"
#include "core/internal/agent/reportcachesection.h"
#include "core/internal/agent/workersection.h"
#include "core/internal/configtransfer.h"
#include "core/types/commands.h"
#include "core/types/policy.h"
#include "core/types/status.h"
#include "core/types/zonedrains.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace mulberrysail::core::agent {

/** The configuration as far as this agent knows it. */
struct ConfigSection
{
  /** The copy that is kept for entries; its version is zero if there is none.
   */
  ConfigCopy m_copy;
  /** The newest version that an entry has reported. */
  ConfigVersion m_newest;
  ConfigTransfer m_transfer;
};

struct AttemptSection
{
  std::unordered_map<AttemptKey, Attempt> m_open;
  std::unordered_map<RunId, AttemptKey> m_byRun;
  /** Attempts that were accepted with the current event. */
  std::vector<AttemptKey> m_newlyAccepted;
  /** Next number for attempts and for the expiry keys of key records and cached
   * reports. */
  std::uint64_t m_nextUniqueNumber = 1;
  /** Upper 32 bits of all run ids of this agent incarnation. */
  std::uint64_t m_runPrefix = 0;
  std::uint64_t m_nextRun = 1;
};

/** Blackboard with the whole state of one agent. Controllers read and write it
 * and keep no state of their own. */
struct AgentBoard
{
  ProcessId m_self;
  AgentPolicy m_policy;
  /** Time of the current event. */
  Instant m_now;
  /** Time of the first event. */
  Instant m_startedAt;
  bool m_draining = false;
  /** Receives the commands of the current event; null between events. */
  AgentCommands* m_commands = nullptr;
  std::uint64_t m_loadSequence = 0;

  EntrySection m_entries;
  EndpointSection m_endpoint;
  WorkerSection m_workers;
  AttemptSection m_attempts;
  RequestQueue m_requests;
  TaskQueue m_tasks;
  ExpirySection m_expiry;
  ReportCacheSection m_reportCache;
  KeySection m_keys;
  LearningSection m_learning;
  ConfigSection m_config;
  CrashSection m_crashes;
  /** The newest list of drained zones that an entry has sent. */
  ZoneDrains m_drains;
  AgentCounters m_counters;
};

/** @return whether operators have drained the agent's zone. */
inline bool
IsZoneDrained(const AgentBoard& aBoard)
{
  return aBoard.m_drains.Contains(aBoard.m_policy.m_zone);
}

/** @return whether new work may be started: the agent is neither shutting down
 * nor in a drained zone. */
inline bool
AcceptsWork(const AgentBoard& aBoard)
{
  return !aBoard.m_draining && !IsZoneDrained(aBoard);
}

/** Adds a command that records a timeline event. */
inline void
Record(AgentBoard& aBoard,
       EventCode aCode,
       std::uint64_t aSubject,
       EventDetail aDetail,
       std::string aId = {})
{
  aBoard.m_commands->push_back(
    RecordEvent{ aCode, aSubject, std::move(aDetail), std::move(aId) });
}

/** Adds a command that records a timeline event about an attempt. */
inline void
RecordAttempt(AgentBoard& aBoard,
              EventCode aCode,
              AttemptId aAttempt,
              const Offer& aOffer,
              EventDetail aDetail)
{
  Record(aBoard,
         aCode,
         aAttempt.m_value,
         std::move(aDetail),
         aOffer.m_key ? aOffer.m_key->m_key : aOffer.m_name);
}

/** Sends @p aMessage to @p aEntry with the commands of the current event. */
inline void
Send(AgentBoard& aBoard, EntryRecord& aEntry, Message aMessage)
{
  aEntry.m_lastSent = aBoard.m_now;
  aBoard.m_commands->push_back(SendMessage{ aEntry.m_id, std::move(aMessage) });
}

/** Schedules an Announce to all entries for the end of the current event. */
inline void
ScheduleAnnounceToAll(AgentBoard& aBoard)
{
  for (auto& [index, entry] : aBoard.m_entries.m_records) {
    entry.m_announceDue = true;
  }
}

} // namespace mulberrysail::core::agent
