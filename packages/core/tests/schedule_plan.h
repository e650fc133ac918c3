#pragma once

#include "core/types/time.h"

#include <cstdint>

namespace mulberrysail::core {

/** A rule that the driver breaks on purpose, to prove that the checks see
 * it. */
enum class Mutation : std::uint8_t
{
  None,
  /** A StartRun is executed twice. */
  StartTwice,
  /** An answer reaches its caller twice. */
  AnswerTwice,
  /** An answer never reaches its caller. */
  AnswerNever,
  /** An answer is held back beyond the deadline. */
  AnswerLate,
  /** One output of an answer is another one's. */
  CrossOutputs,
  /** A run that was lost is reported as refused. */
  DenyRun,
  /** A draining process is ended at once. */
  CutDrain,
  /** A process goes back to an older configuration. */
  RevertConfig,
};

/** What happens in one schedule; all of it follows from the seed. */
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

  // The network, for each message.
  double m_lossProbability = 0;
  double m_duplicationProbability = 0;
  double m_longDelayProbability = 0;
  bool m_reorders = false;

  // Number of times that each happens.
  std::uint32_t m_linkCuts = 0;
  std::uint32_t m_agentCrashes = 0;
  std::uint32_t m_entryCrashes = 0;
  std::uint32_t m_pauses = 0;
  std::uint32_t m_backendCrashes = 0;
  std::uint32_t m_agentDrains = 0;
  std::uint32_t m_entryDrains = 0;

  // Back ends, for each run.
  double m_runFailureProbability = 0;
  double m_runLossProbability = 0;
  double m_refusalProbability = 0;
  bool m_badWorker = false;

  /** Before it nothing fails; caller keys need a known past. */
  Duration m_warmUp{};
};

/** How long the callers submit and things fail. */
inline constexpr Duration kActivePhase = std::chrono::seconds(6);
/** Longest deadline of a submission. */
inline constexpr Duration kLongestDeadline = std::chrono::seconds(4);
/** How long caller keys are remembered. */
inline constexpr Duration kScheduleKeyRetention = std::chrono::seconds(15);

SchedulePlan
MakeSchedulePlan(std::uint64_t aSeed, Mutation aMutation);

} // namespace mulberrysail::core
