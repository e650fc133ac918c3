#pragma once

#include "core/types/time.h"

#include <cstdint>

namespace mulberrysail::core {

/** A fault injected into the simulation to prove that the checks detect it. */
enum class Mutation : std::uint8_t
{
  None,
  /** A StartRun is executed twice. */
  StartTwice,
  /** An answer reaches its caller twice. */
  AnswerTwice,
  /** An answer never reaches its caller. */
  AnswerNever,
  /** An answer reaches its caller after the deadline. */
  AnswerLate,
  /** An answer contains an output of another answer. */
  CrossOutputs,
  /** A lost run is reported as refused. */
  DenyRun,
  /** A draining process is stopped at once. */
  AbortDrain,
  /** A process returns to an older configuration. */
  RevertConfig,
  /** The messages of entries carry no list of drained zones. */
  OmitDrains,
};

/** The parameters of one schedule; all but the mutation are derived from the
 * seed. */
struct SchedulePlan
{
  std::uint64_t m_seed = 0;
  Mutation m_mutation = Mutation::None;

  std::uint32_t m_entries = 1;
  std::uint32_t m_agents = 1;
  std::uint32_t m_workers = 0;
  std::uint32_t m_submissions = 1;
  bool m_callerKeys = false;
  bool m_lowMemory = false;

  // Network faults, for each message.
  double m_lossProbability = 0;
  double m_duplicationProbability = 0;
  double m_longDelayProbability = 0;
  bool m_reorders = false;

  // Number of faults and operator actions of each kind.
  std::uint32_t m_linkCuts = 0;
  std::uint32_t m_agentCrashes = 0;
  std::uint32_t m_entryCrashes = 0;
  std::uint32_t m_pauses = 0;
  std::uint32_t m_backendCrashes = 0;
  std::uint32_t m_agentDrains = 0;
  std::uint32_t m_entryDrains = 0;
  /** Number of times that a zone is drained or returned to service. */
  std::uint32_t m_zoneChanges = 0;

  // Backend faults, for each run.
  double m_runFailureProbability = 0;
  double m_runLossProbability = 0;
  double m_refusalProbability = 0;
  bool m_failingWorker = false;

  /** Jobs are submitted to a queue, and busy entries forward them. */
  bool m_forwarding = false;

  /** Time without faults at the start. With caller keys it exceeds their
   * retention, as entries need a known history of that length. */
  Duration m_warmUp{};
};

/** Time in which callers submit and faults occur. */
inline constexpr Duration kActivePhase = std::chrono::seconds(6);
/** Longest deadline of a submission. */
inline constexpr Duration kLongestDeadline = std::chrono::seconds(4);
/** Retention of caller keys. */
inline constexpr Duration kScheduleKeyRetention = std::chrono::seconds(15);

SchedulePlan
MakeSchedulePlan(std::uint64_t aSeed, Mutation aMutation);

} // namespace mulberrysail::core
