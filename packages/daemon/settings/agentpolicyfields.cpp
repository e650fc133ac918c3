#include "daemon/settings/settinggroups.h"

#include <array>

namespace mulberrysail::daemon {

namespace {

const std::array kFields = {
  SettingField{ "policy.declared_room",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return &aS.m_agentPolicy.m_reserveDeclared;
                },
                "set aside what tasks declare instead of what was learned" },
  SettingField{ "policy.run_lease_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_runLease, 10, 600000);
                },
                "leased workers: a run that isn't renewed ends after this" },
  SettingField{ "policy.max_run_lease_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_maxRunLease, 10, 600000);
                },
                "leased workers: the longest lease that a worker grants" },
  SettingField{ "policy.observe_wait_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_observeWait, 0, 600000);
                },
                "leased workers: how long one observation waits for an end" },
  SettingField{ "policy.entry_silence_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_entryTimeout, 0, 600000);
                },
                "silence after which the attempts of an entry are ended; 0 "
                "for never" },
  SettingField{ "policy.max_queued_requests",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(
                    aS.m_agentPolicy.m_maxQueuedRequests, 0, kMaxCount);
                },
                "requests that may wait; more are refused" },
  SettingField{ "policy.max_queued_tasks",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_agentPolicy.m_maxQueuedTasks, 0, kMaxCount);
                },
                "tasks that may wait; more are refused" },
  SettingField{ "policy.heartbeat_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(
                    aS.m_agentPolicy.m_heartbeatInterval, 10, 600000);
                },
                "time between two heartbeats" },
  SettingField{ "policy.lease_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_lease, 10, 600000);
                },
                "silence after which entries forget the agent" },
  SettingField{ "policy.endpoint_lease_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_endpointLease, 10, 600000);
                },
                "silence after which the endpoint gets no work" },
  SettingField{ "policy.worker_lease_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_workerLease, 10, 600000);
                },
                "a worker gets no work this long after it sent its last "
                "announcement" },
  SettingField{ "policy.report_interval_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_reportInterval, 0, 600000);
                },
                "least time between two load reports to one entry" },
  SettingField{ "policy.capacity_grant_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_capacityGrant, 0, 1000);
                },
                "how long freed capacity is held for the entry that was told "
                "of it; 0 for not at all" },
  SettingField{ "policy.answer_memory_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(
                    aS.m_agentPolicy.m_reportRetention, 100, kDayMs);
                },
                "how long answers are kept for entries that missed them" },
  SettingField{ "policy.key_memory_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_agentPolicy.m_keyRetention, 1000, kDayMs);
                },
                "how long answers and fences of caller keys are kept" },
  SettingField{ "policy.memory_limit_bytes",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return NumberBinding<std::uint64_t>{
                    &aS.m_agentPolicy.m_maxRetainedBytes, 1024, 1ULL << 40U
                  };
                },
                "bytes of kept outputs; the oldest go first" },
  SettingField{ "policy.breaker_failures",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_agentPolicy.m_quarantineFailures, 1, 1000);
                },
                "failures in a row that quarantine a worker" },
  SettingField{ "policy.breaker_pause_ms",
                kAgent,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(
                    aS.m_agentPolicy.m_quarantineDuration, 0, 3600000);
                },
                "how long a quarantined worker gets no work" },
  SettingField{
    "policy.ageing",
    kAgent,
    false,
    [](Settings& aS) -> FieldBinding {
      return NumberBinding<double>{ &aS.m_agentPolicy.m_ageingFactor, 0, 100 };
    },
    "share of the time waited that is taken off an attempt's expected run "
    "time in the order of the queue" },
};

} // namespace

std::span<const SettingField>
AgentPolicyFields()
{
  return kFields;
}

} // namespace mulberrysail::daemon
