#include "daemon/settings/settinggroups.h"

#include <array>

namespace mulberrysail::daemon {

namespace {

const std::array kFields = {
  SettingField{ "role",
                kBoth,
                true,
                [](Settings& aS) -> FieldBinding {
                  return ChoiceBinding<Role>{ &aS.m_role };
                },
                "what the process is for" },
  SettingField{ "name",
                kBoth,
                true,
                [](Settings& aS) -> FieldBinding {
                  return TextBinding{ &aS.m_name, TextForm::Name };
                },
                "the process's name; no two processes may have the same" },
  SettingField{ "zone",
                kBoth,
                true,
                [](Settings& aS) -> FieldBinding {
                  return TextBinding{ &aS.m_zone, TextForm::Name };
                },
                "the availability zone that it runs in" },
  SettingField{ "http.address",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return TextBinding{ &aS.m_http.m_address, TextForm::Address };
                },
                "where it listens for HTTP" },
  SettingField{
    "http.port",
    kBoth,
    false,
    [](Settings& aS) -> FieldBinding {
      return NumberBinding<std::uint16_t>{ &aS.m_http.m_port, 0, 65535 };
    },
    "port for HTTP; 0 lets the system choose" },
  SettingField{ "http.threads",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_http.m_threads, 1, 64);
                },
                "threads that serve HTTP" },
  SettingField{ "http.max_body_bytes",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return NumberBinding<std::uint64_t>{
                    &aS.m_http.m_maxBodyBytes, 1024, 1ULL << 30U
                  };
                },
                "largest body that is read" },
  SettingField{ "http.max_header_bytes",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_http.m_maxHeaderBytes, 1024, 1U << 20U);
                },
                "largest set of headers that is read" },
  SettingField{ "http.max_connections",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_http.m_maxConnections, 1, 1000000);
                },
                "connections at the same time" },
  SettingField{
    "messages.address",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextBinding{ &aS.m_messages.m_address, TextForm::Address };
    },
    "where agents and other entries reach it" },
  SettingField{
    "messages.port",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return NumberBinding<std::uint16_t>{ &aS.m_messages.m_port, 0, 65535 };
    },
    "port of the first shard, the others take those after it; 0 lets the "
    "system choose" },
  SettingField{
    "advertise.http_url",
    kBoth,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextBinding{ &aS.m_advertise.m_httpUrl, TextForm::HttpUrl };
    },
    "URL by which others reach it over HTTP; where it listens if absent" },
  SettingField{
    "advertise.message_url",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextBinding{ &aS.m_advertise.m_messageUrl, TextForm::MessageUrl };
    },
    "URL by which others reach its first shard; where it listens if absent" },
  SettingField{ "adapter.interface",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return ChoiceBinding<Interface>{ &aS.m_adapter.m_interface };
                },
                "what is spoken with callers, workers and the store" },
  SettingField{
    "adapter.listen",
    kBoth,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextBinding{ &aS.m_adapter.m_listen, TextForm::ListenAddress };
    },
    "where an adapter serves callers (entry) or workers (agent)" },
  SettingField{
    "adapter.ready_listen",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextBinding{ &aS.m_adapter.m_readyListen,
                          TextForm::ListenAddress };
    },
    "where an adapter tells a balancer whether the entry is ready" },
  SettingField{ "adapter.settle_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_adapter.m_settleTime, 0, 1000);
                },
                "time from the reading of a caller's request to its handling, "
                "with one HTTP thread: the longest way of a reset from a "
                "caller" },
  SettingField{
    "adapter.worker_url",
    kAgent,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextBinding{ &aS.m_adapter.m_workerUrl, TextForm::HttpUrl };
    },
    "where the worker beside the agent takes orders" },
  SettingField{
    "store.urls",
    kBoth,
    false,
    [](Settings& aS) -> FieldBinding {
      return TextListBinding{ &aS.m_storeUrls, TextForm::HttpUrl };
    },
    "the platform's key-value service; an entry needs at least one, an "
    "agent without it dials only `entries`" },
  SettingField{ "store.lease_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_storeLease, 1000, 600000);
                },
                "silence after which others forget an entry; it is kept three "
                "times within it" },
  SettingField{ "entries",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return TextListBinding{ &aS.m_entries, TextForm::MessageUrl };
                },
                "entries to dial besides those that the store names" },
  SettingField{ "limits.tasks_per_job",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_limits.m_tasksPerJob, 1, 100000);
                },
                "most tasks of one job" },
  SettingField{ "limits.max_deadline_ms",
                kEntry,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Millis(aS.m_limits.m_maxDeadline, 1, kDayMs);
                },
                "longest deadline that a caller may ask for" },
  SettingField{
    "shards",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding { return Count(aS.m_shards, 1, 16); },
    "parts that decide side by side; services are spread over them, and each "
    "is an entry of its own to the agents" },
  SettingField{
    "processor_share",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return NumberBinding<double>{ &aS.m_entryPolicy.m_processorShare,
                                    0,
                                    1024 };
    },
    "cores that the process may use, such as 0.12; 0 if not known, which "
    "turns forwarding off" },
  SettingField{
    "log.level",
    kBoth,
    false,
    [](Settings& aS) -> FieldBinding {
      return ChoiceBinding<LogLevel>{ &aS.m_log.m_level };
    },
    "the least severe level that is logged; a change takes force while the "
    "process runs" },
  SettingField{ "log.lines_per_second",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_log.m_linesPerSecond, 0, 1000000);
                },
                "lines of one kind that are logged in a second, 0 for no "
                "limit; what is left out is counted" },
  SettingField{ "timeline_events",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding {
                  return Count(aS.m_timelineEvents, 1, 10000000);
                },
                "events kept for the time line; the oldest go first" },
  SettingField{
    "drain_accept_ms",
    kEntry,
    false,
    [](Settings& aS) -> FieldBinding {
      return Millis(aS.m_drainAccept, 0, kDayMs);
    },
    "how long a draining entry, no longer ready, still takes new work" },
  SettingField{
    "drain_timeout_ms",
    kBoth,
    false,
    [](Settings& aS) -> FieldBinding {
      return Millis(aS.m_drainTimeout, 0, kDayMs);
    },
    "a drain that takes longer ends with exit code 1; 0 for no limit" },
  SettingField{ "seed",
                kBoth,
                false,
                [](Settings& aS) -> FieldBinding { return &aS.m_seed; },
                "of all random choices; a random one if absent" },
};

} // namespace

std::span<const SettingField>
ProcessFields()
{
  return kFields;
}

} // namespace mulberrysail::daemon
