#include "daemon/settings/settinggroups.h"

#include <array>

namespace mulberrysail::daemon {

namespace {

using std::chrono::microseconds;

/** With more, a task could be started three times after its third crash. */
constexpr std::uint32_t kMostLostRuns = 5;

const std::array kFields = {
  SettingField{ "policy.placement",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return ChoiceBinding<PlacementKind>{ &aS.m_placement.m_kind };
                },
                "how attempts are placed; `random` and `probe` are baselines" },
  SettingField{ "policy.probes",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_placement.m_probe.m_probes, 1, 64);
                },
                "agents asked for each attempt by `probe`" },
  SettingField{
    "policy.learn_speed",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return &aS.m_placement.m_reportedLoad.m_learnSpeed;
    },
    "`reported-load`: scale run times by what was learned of each agent" },
  SettingField{
    "policy.learn_task_speed",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return &aS.m_entryPolicy.m_learnTaskSpeed;
    },
    "learn the speed of workers from the tasks of queues, prefer fast workers, "
    "and estimate waits by mean run times" },
  SettingField{
    "policy.zone_affinity",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return &aS.m_placement.m_reportedLoad.m_zoneAffinity;
    },
    "`reported-load`: prefer the own zone by the delay that it saves" },
  SettingField{ "policy.agent_queue_depth",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_entryPolicy.m_agentQueueDepth, 0, 10000);
                },
                "offers that may wait at an agent beyond its free slots" },
  SettingField{
    "policy.ageing",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return NumberBinding<double>{ &aS.m_entryPolicy.m_ageingFactor, 0, 100 };
    },
    "share of the time waited that is taken off the expected run time in the "
    "order of the queue" },
  SettingField{ "policy.retry_budget_percent",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_entryPolicy.m_retryBudgetPercent, 0, 1000);
                },
                "retries allowed for each hundred first attempts" },
  SettingField{ "policy.zone_delay_us",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return DurationBinding{
                    &aS.m_entryPolicy.m_zoneDelay, microseconds(1), 0, 1000000
                  };
                },
                "one way between zones, in microseconds" },
  SettingField{
    "policy.key_candidates",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Count(aS.m_entryPolicy.m_keyCandidates, 1, 1000);
    },
    "agents among which the first placement of a caller key is chosen" },
  SettingField{ "policy.key_memory_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_entryPolicy.m_keyRetention, 1000, kDayMs);
                },
                "how long departed agents are remembered for resubmissions" },
  SettingField{ "policy.heartbeat_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(
                    aS.m_entryPolicy.m_heartbeatInterval, 10, 600000);
                },
                "time between two heartbeats" },
  SettingField{ "policy.subscription_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_entryPolicy.m_subscribeFor, 10, 600000);
                },
                "how long one offer asks for load reports" },
  SettingField{
    "policy.reconcile_after_ms",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Millis(aS.m_entryPolicy.m_reconcileAfter, 1, 600000);
    },
    "silence after an attempt should have ended until the agent is asked" },
  SettingField{
    "policy.shared_demand",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return &aS.m_entryPolicy.m_sharedDemand;
    },
    "refuse a queue's job by the work that waits at all entries, as agents "
    "report it, instead of the own work times the number of entries" },
  SettingField{ "policy.status_memory_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_entryPolicy.m_statusRetention, 0, kDayMs);
                },
                "how long a finished job's status can be read" },
  SettingField{ "policy.open_heartbeat_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(
                    aS.m_entryPolicy.m_openAttemptHeartbeat, 0, 600000);
                },
                "an agent with open attempts hears from the entry at least "
                "this often; 0 for no such heartbeat" },
  SettingField{ "policy.agent_silence_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_entryPolicy.m_agentTimeout, 0, 600000);
                },
                "silence after which an agent with open attempts gets no more "
                "work" },
  SettingField{
    "policy.runs_end_after_ms",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Millis(aS.m_entryPolicy.m_runsEndAfter, 0, 600000);
    },
    "nothing runs at an agent so long after the last message to it; "
    "longer than its entry silence and run lease together" },
  SettingField{
    "policy.forward_jobs",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return &aS.m_entryPolicy.m_forwardJobs;
    },
    "pass jobs to entries with free processor time, and take jobs from them; "
    "requires `processor_share`, `policy.agent_silence_ms` and one shard" },
  SettingField{
    "policy.shed_connections",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return &aS.m_entryPolicy.m_shedConnections;
    },
    "leave the load balancer's rotation and close some connections while the "
    "processor time is used up and other entries have some left; requires "
    "`processor_share` and one shard" },
  SettingField{
    "policy.max_lost_runs",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Count(aS.m_entryPolicy.m_maxLostRuns, 1, kMostLostRuns);
    },
    "a request or task is given up after so many runs that were lost with "
    "their worker" },
  SettingField{
    "policy.crash_isolation_percent",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Count(aS.m_entryPolicy.m_crashIsolationPercent, 0, 90);
    },
    "share of a service's agents, rounded up, that run the tasks of queues "
    "whose tasks crash workers; 0 for no isolation" },
  SettingField{
    "policy.max_quarantined_percent",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Count(aS.m_entryPolicy.m_maxQuarantinedPercent, 0, 100);
    },
    "share of a service's workers, rounded down but at least one, that get no "
    "work because their runs fail; if the runs of more workers fail, all are "
    "used" },
};

} // namespace

std::span<const SettingField>
EntryPolicyFields()
{
  return kFields;
}

} // namespace mulberrysail::daemon
