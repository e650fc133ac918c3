#include "core/tests/schedule_cluster.h"

#include "core/internal/overloaded.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kEndpointInterval = std::chrono::seconds(1);
constexpr Duration kWorkerInterval = std::chrono::seconds(2);
constexpr Duration kSampleInterval = std::chrono::milliseconds(200);
constexpr Duration kForwardSilence = std::chrono::milliseconds(450);
/** Jobs of a queue are never refused because of load. */
constexpr Duration kQueueTarget = std::chrono::minutes(1);
constexpr Duration kLateAnswerDelay = std::chrono::seconds(10);
constexpr Duration kLargestClockOffset = std::chrono::hours(1);
constexpr double kDeliverToNextIncarnationProbability = 0.5;
constexpr double kWorkerMoveProbability = 0.05;
/** Probability that an entry can read the store when it starts. */
constexpr double kStoreReadProbability = 0.7;
/** More steps than any schedule needs; reached if a timer fires again and
 * again without progress. */
constexpr std::uint64_t kMaxSteps = 300000;
constexpr std::uint64_t kLowMemoryBytes = 6000;
/** Of every second incarnation; the others make no grants. */
constexpr Duration kScheduleGrant = std::chrono::milliseconds(20);

} // namespace

ScheduleCluster::ScheduleCluster(const SchedulePlan& aPlan,
                                 std::ostream* aTrace)
  : m_plan(aPlan)
  , m_trace(aTrace)
  , m_random(aPlan.m_seed)
  , m_network(m_clock,
              m_random,
              m_plan,
              { [this](const ProcessId& aTo, MessageReceived aMessage) {
                 Deliver(aTo, std::move(aMessage));
               },
                [this](const ProcessId& aFrom, SendFailed aFailed) {
                  if (EntryProcess* entry = FindEntry(aFrom.m_name)) {
                    entry->HandleEvent(std::move(aFailed));
                  } else if (AgentProcess* agent = FindAgent(aFrom.m_name)) {
                    agent->HandleEvent(std::move(aFailed));
                  }
                },
                [this](const std::string& aLeft, const std::string& aRight) {
                  LinkUp(aLeft, aRight);
                } })
  , m_backends(m_clock,
               m_random,
               m_plan,
               m_checks,
               [this](const ProcessId& aAgent, RunFinished aFinished) {
                 AgentProcess* agent = FindAgent(aAgent.m_name);
                 if (agent->Id() == aAgent) {
                   agent->HandleEvent(std::move(aFinished));
                 }
               })
{
  for (std::size_t i = 0; i < m_plan.m_entries; ++i) {
    m_entries.push_back(std::make_unique<EntryProcess>(
      m_clock,
      [this, i](EntryCommands& aCommands) { ExecuteEntry(i, aCommands); }));
  }
  for (std::size_t i = 0; i < m_plan.m_agents; ++i) {
    m_agents.push_back(std::make_unique<AgentProcess>(
      m_clock,
      [this, i](AgentCommands& aCommands) { ExecuteAgent(i, aCommands); }));
  }
  m_entryDraining.resize(m_plan.m_entries);
  m_agentDraining.resize(m_plan.m_agents);
}

void
ScheduleCluster::Boot()
{
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    BootEntry(i);
    if (m_plan.m_forwarding) {
      SampleProcessor(i);
    }
  }
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    BootAgent(i);
    m_clock.After(m_random.Between(Duration(0), kEndpointInterval),
                  [this, i] { AnnounceEndpoint(i); });
  }
  for (std::size_t i = 0; i < m_plan.m_workers; ++i) {
    m_agentOfWorker.push_back(m_random.Below(m_agents.size()));
    m_clock.After(m_random.Between(Duration(0), kWorkerInterval),
                  [this, i] { AnnounceWorker(i); });
  }
}

bool
ScheduleCluster::RunUntil(Instant aEnd)
{
  while (!m_checks.Failed() && m_clock.Step(aEnd)) {
    StopDrainedProcesses();
    if (++m_steps > kMaxSteps) {
      m_checks.Fail("schedule exceeded " + std::to_string(kMaxSteps) +
                    " steps");
    }
  }
  return !m_checks.Failed();
}

void
ScheduleCluster::Trace(const std::string& aText)
{
  if (m_trace != nullptr) {
    *m_trace << m_clock.Now().time_since_epoch().count() << ' ' << aText
             << '\n';
  }
}

void
ScheduleCluster::BootEntry(std::size_t aEntry)
{
  const ProcessId id{ "entry" + std::to_string(aEntry),
                      Incarnation{ m_nextIncarnation++ } };
  EntryPolicy policy;
  policy.m_keyRetention = kScheduleKeyRetention;
  policy.m_keyCandidates = 2;
  if (m_plan.m_forwarding) {
    policy.m_forwardJobs = true;
    policy.m_processorShare = 1;
    policy.m_agentTimeout = kForwardSilence;
  }
  policy.m_sharedDemand = id.m_incarnation.m_value % 2 == 0;
  m_entryDraining[aEntry] = false;
  m_entries[aEntry]->Boot(id,
                          MakeEntry(id, 0, policy, m_random.Below(1ULL << 40U)),
                          m_random.Between(Duration(0), kLargestClockOffset));
  Trace("boot " + id.m_name);
  ApplyConfig(aEntry, m_config);
  m_drains.EntryBooted(aEntry, m_clock.Now());
  if (m_drains.Store().m_revision > 0 &&
      m_random.Chance(kStoreReadProbability)) {
    InformOfDrains(aEntry, m_drains.Store());
  }
  AnnounceEntries();
  ConnectEntry(aEntry);
}

void
ScheduleCluster::BootAgent(std::size_t aAgent)
{
  const ProcessId id{ "agent" + std::to_string(aAgent),
                      Incarnation{ m_nextIncarnation++ } };
  AgentPolicy policy;
  policy.m_zone = ScheduleDrains::ZoneOf(aAgent);
  policy.m_keyRetention = kScheduleKeyRetention;
  policy.m_maxQueuedRequests = 4;
  if (id.m_incarnation.m_value % 2 == 0) {
    policy.m_capacityGrant = kScheduleGrant;
  }
  if (m_plan.m_lowMemory) {
    policy.m_maxRetainedBytes = kLowMemoryBytes;
  }
  m_agentDraining[aAgent] = false;
  m_drains.OutUntil(id.m_name, m_clock.Now());
  m_agents[aAgent]->Boot(id,
                         MakeAgent(id, policy, m_random.Below(1ULL << 40U)),
                         m_random.Between(Duration(0), kLargestClockOffset));
  Trace("boot " + id.m_name);
  AnnounceEntries();
}

void
ScheduleCluster::AnnounceEntries()
{
  PeersChanged peers;
  for (const std::unique_ptr<EntryProcess>& entry : m_entries) {
    if (entry->Alive()) {
      peers.m_entries.push_back(entry->Id());
    }
  }
  for (const std::unique_ptr<EntryProcess>& entry : m_entries) {
    entry->HandleEvent(peers);
  }
  for (const std::unique_ptr<AgentProcess>& agent : m_agents) {
    agent->HandleEvent(peers);
  }
}

void
ScheduleCluster::ConnectEntry(std::size_t aEntry)
{
  for (const std::unique_ptr<EntryProcess>& peer : m_entries) {
    if (peer->Alive() && peer != m_entries[aEntry]) {
      LinkUp(m_entries[aEntry]->Id().m_name, peer->Id().m_name);
    }
  }
}

void
ScheduleCluster::AnnounceEndpoint(std::size_t aAgent)
{
  const std::string name = "agent" + std::to_string(aAgent);
  const std::string service = aAgent % 3 == 2 ? "stock" : "photo";
  if (m_backends.IsUp("endpoint of " + name)) {
    m_agents[aAgent]->HandleEvent(EndpointAnnounced{
      { service, kEndpointSlots, kEndpointSlots * 2, false }, "http://e" });
  }
  m_clock.After(kEndpointInterval,
                [this, aAgent] { AnnounceEndpoint(aAgent); });
}

void
ScheduleCluster::AnnounceWorker(std::size_t aWorker)
{
  const std::string name = "worker" + std::to_string(aWorker);
  std::size_t& agentIndex = m_agentOfWorker[aWorker];
  if (!m_agents[agentIndex]->Alive() ||
      m_random.Chance(kWorkerMoveProbability)) {
    agentIndex = m_random.Below(m_agents.size());
  }
  if (m_backends.IsUp(name)) {
    m_agents[agentIndex]->HandleEvent(WorkerAnnounced{
      { name, "rack", { 4000, 4096, 0 }, false }, "http://w", false, {} });
  }
  m_clock.After(kWorkerInterval, [this, aWorker] { AnnounceWorker(aWorker); });
}

void
ScheduleCluster::SampleProcessor(std::size_t aEntry)
{
  if (!m_entries[aEntry]->Paused()) {
    m_entries[aEntry]->HandleEvent(
      ProcessorSampled{ aEntry == 0 ? 1.0 : 0.1, {} });
  }
  m_clock.After(kSampleInterval, [this, aEntry] { SampleProcessor(aEntry); });
}

void
ScheduleCluster::ExecuteEntry(std::size_t aEntry, EntryCommands& aCommands)
{
  const ProcessId self = m_entries[aEntry]->Id();
  for (EntryCommand& command : aCommands) {
    std::visit(
      Overloaded{
        [&](SendMessage& aSend) {
          ApplyOmitDrains(aSend.m_message);
          m_network.Send(self, aSend);
        },
        [&](const AnswerCaller& aAnswer) { DeliverAnswer(self, aAnswer); },
        [](const SendSubmissionId&) {},
        [&](const core::ApplyConfig& aConfig) {
          // The process around the core applies configurations.
          m_clock.After(Duration(0),
                        [this, aEntry, self, version = aConfig.m_version] {
                          if (m_entries[aEntry]->Id() == self) {
                            ApplyConfig(aEntry, version);
                          }
                        });
        },
        // No balancer is simulated.
        [](const core::ChangeRotation&) {},
        [&](const RecordEvent& aRecord) {
          Trace(self.m_name + " " + std::string(EventName(aRecord.m_code)) +
                " " + std::to_string(aRecord.m_subject) + " " +
                aRecord.m_detail.Text());
          CheckConfigVersion(self, aRecord);
          m_forwarded += aRecord.m_code == EventCode::JobForwarded ? 1 : 0;
          if (aRecord.m_code == EventCode::SubmissionAdmitted ||
              aRecord.m_code == EventCode::JobForwarded) {
            m_lastAdmitted = SubmissionId{ aRecord.m_subject };
          }
        } },
      command);
  }
}

void
ScheduleCluster::ExecuteAgent(std::size_t aAgent, AgentCommands& aCommands)
{
  const ProcessId self = m_agents[aAgent]->Id();
  for (AgentCommand& command : aCommands) {
    std::visit(
      Overloaded{ [&](SendMessage& aSend) {
                   ApplyDenyRun(aSend.m_message);
                   m_network.Send(self, aSend);
                 },
                  [&](const StartRun& aStart) {
                    Trace(self.m_name + " starts " + aStart.m_payload);
                    CheckStartInZone(aAgent);
                    m_backends.Start(self, aStart);
                  },
                  [&](const StopRun& aStop) { m_backends.Stop(aStop.m_run); },
                  // The workers of the schedules hold no leases.
                  [](const ObserveRuns&) {},
                  [&](const RecordEvent& aRecord) {
                    Trace(self.m_name + " " +
                          std::string(EventName(aRecord.m_code)) + " " +
                          std::to_string(aRecord.m_subject) + " " +
                          aRecord.m_detail.Text());
                    CheckConfigVersion(self, aRecord);
                  } },
      command);
  }
}

void
ScheduleCluster::ApplyDenyRun(Message& aMessage) const
{
  ReportBatch* batch = std::get_if<ReportBatch>(&aMessage);
  if (m_plan.m_mutation != Mutation::DenyRun || batch == nullptr) {
    return;
  }
  for (AttemptReport& report : batch->m_reports) {
    if (report.m_fate == AttemptFate::Lost) {
      report.m_fate = AttemptFate::Refused;
      report.m_kind = ErrorKind::AttemptExpired;
    }
  }
}

void
ScheduleCluster::DeliverAnswer(const ProcessId& aEntry,
                               const AnswerCaller& aAnswer)
{
  core::Answer answer = aAnswer.m_answer;
  Trace(aEntry.m_name + " answers " + std::to_string(aAnswer.m_caller.m_value) +
        " " + std::string(DescribeError(answer.m_kind).m_name) + " " +
        std::string(ExecutionName(answer.m_execution)) + ": " +
        answer.m_detail);
  const Mutation mutation = m_plan.m_mutation;
  if (mutation == Mutation::AnswerNever) {
    return;
  }
  if (mutation == Mutation::CrossOutputs && !answer.m_outputs.empty()) {
    std::swap(answer.m_outputs.front(), m_lastOutput);
  }
  if (mutation == Mutation::AnswerLate) {
    m_clock.After(kLateAnswerDelay, [this, caller = aAnswer.m_caller, answer] {
      m_checks.CallerAnswered(caller, answer, m_clock.Now());
    });
    return;
  }
  m_checks.CallerAnswered(aAnswer.m_caller, answer, m_clock.Now());
  if (mutation == Mutation::AnswerTwice) {
    m_checks.CallerAnswered(aAnswer.m_caller, answer, m_clock.Now());
  }
}

void
ScheduleCluster::CheckConfigVersion(const ProcessId& aProcess,
                                    const RecordEvent& aRecord)
{
  if (aRecord.m_code != EventCode::ConfigInForce) {
    return;
  }
  const ConfigVersion version{ aRecord.m_subject };
  m_checks.ConfigInForce(aProcess, version);
  if (m_plan.m_mutation == Mutation::RevertConfig && version.m_value > 1) {
    m_checks.ConfigInForce(aProcess, ConfigVersion{ version.m_value - 1 });
  }
}

void
ScheduleCluster::Deliver(const ProcessId& aTo, MessageReceived aMessage)
{
  EntryProcess* entry = FindEntry(aTo.m_name);
  AgentProcess* agent = FindAgent(aTo.m_name);
  const ProcessId& receiver = entry != nullptr ? entry->Id() : agent->Id();
  if (receiver != aTo &&
      !m_random.Chance(kDeliverToNextIncarnationProbability)) {
    return;
  }
  if (entry != nullptr) {
    entry->HandleEvent(std::move(aMessage));
  } else {
    agent->HandleEvent(std::move(aMessage));
  }
}

void
ScheduleCluster::LinkUp(const std::string& aLeft, const std::string& aRight)
{
  const std::pair<const std::string&, const std::string&> ends[] = {
    { aLeft, aRight }, { aRight, aLeft }
  };
  for (const auto& [here, there] : ends) {
    EntryProcess* peerEntry = FindEntry(there);
    const ProcessId& peer =
      peerEntry != nullptr ? peerEntry->Id() : FindAgent(there)->Id();
    if (EntryProcess* entry = FindEntry(here)) {
      entry->HandleEvent(LinkReset{ peer });
    } else {
      FindAgent(here)->HandleEvent(LinkReset{ peer });
    }
  }
}

ConfigChanged
ScheduleCluster::ConfigOf(ConfigVersion aVersion) const
{
  ConfigChanged changed;
  changed.m_configuration.m_version = aVersion;
  changed.m_configuration.m_services["photo"] = {};
  changed.m_configuration.m_services["stock"] = {};
  QueueConfig queue;
  queue.m_service = "photo";
  queue.m_targetDuration = kQueueTarget;
  changed.m_configuration.m_queues["jobs"] = queue;
  changed.m_document = "version " + std::to_string(aVersion.m_value);
  return changed;
}

void
ScheduleCluster::ApplyConfig(std::size_t aEntry, ConfigVersion aVersion)
{
  m_entries[aEntry]->HandleEvent(ConfigOf(aVersion));
}

ScheduleCluster::EntryProcess*
ScheduleCluster::FindEntry(const std::string& aName)
{
  const auto found =
    std::find_if(m_entries.begin(),
                 m_entries.end(),
                 [&](const std::unique_ptr<EntryProcess>& aEntry) {
                   return aEntry->Id().m_name == aName;
                 });
  return found == m_entries.end() ? nullptr : found->get();
}

ScheduleCluster::AgentProcess*
ScheduleCluster::FindAgent(const std::string& aName)
{
  const auto found =
    std::find_if(m_agents.begin(),
                 m_agents.end(),
                 [&](const std::unique_ptr<AgentProcess>& aAgent) {
                   return aAgent->Id().m_name == aName;
                 });
  return found == m_agents.end() ? nullptr : found->get();
}

} // namespace mulberrysail::core
