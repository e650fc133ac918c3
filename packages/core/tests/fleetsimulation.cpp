#include "core/tests/fleetsimulation.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace mulberrysail::core {

namespace {

constexpr Duration kDelayInZone = std::chrono::microseconds(100);
constexpr Duration kDelayBetweenZones = std::chrono::microseconds(600);
/** The processes learn of each other before the first job. */
constexpr Duration kSettleTime = std::chrono::seconds(1);
/** Jobs of the first seconds, in which entries learn run times, and those whose
 * deadline is after the end are not counted. */
constexpr Duration kWarmUp = std::chrono::seconds(2);
constexpr Duration kSampleInterval = std::chrono::milliseconds(200);

} // namespace

FleetSimulation::FleetSimulation(FleetPlan aPlan)
  : m_plan(std::move(aPlan))
  , m_random(m_plan.m_seed)
  , m_now(std::chrono::hours(1))
  , m_start(m_now + kSettleTime)
{
  AddEntries();
  AddAgents();
  Introduce();
  PlanDrain();
  At(m_start, [this] {
    for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
      ScheduleArrival(kind);
    }
  });
}

FleetResult
FleetSimulation::Run()
{
  const Instant end = m_start + m_plan.m_simulatedTime;
  while (!m_events.empty() && m_events.top().m_at < end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_act();
  }
  return Collect();
}

void
FleetSimulation::At(Instant aWhen, std::function<void()> aAct)
{
  m_events.push({ std::max(aWhen, m_now), m_nextOrder++, std::move(aAct) });
}

void
FleetSimulation::WhenFree(Host& aHost,
                          Duration aCost,
                          std::function<void()> aAct)
{
  aHost.m_busyUntil = std::max(aHost.m_busyUntil, m_now) + aCost;
  At(aHost.m_busyUntil, std::move(aAct));
}

void
FleetSimulation::WhenEntryFree(EntryHost& aEntry, std::function<void()> aAct)
{
  const Duration cost(static_cast<Duration::rep>(
    static_cast<double>(aEntry.m_eventCost.count()) / aEntry.m_cores));
  aEntry.m_work += cost;
  WhenFree(aEntry, cost, std::move(aAct));
}

void
FleetSimulation::ScheduleSample(EntryHost& aEntry)
{
  const Instant due = m_now + kSampleInterval;
  At(due, [this, &aEntry, due] {
    WhenFree(aEntry, Duration::zero(), [this, &aEntry, due] {
      // The host has done all work that was assigned before this event.
      const Duration done =
        aEntry.m_work - std::max(aEntry.m_busyUntil - m_now, Duration::zero());
      ProcessorSampled sample;
      sample.m_lateness = m_now - due;
      sample.m_usedShare =
        static_cast<double>((done - aEntry.m_sampledWork).count()) /
        static_cast<double>((kSampleInterval + sample.m_lateness).count());
      aEntry.m_sampledWork = done;
      HandleEntryEvent(aEntry, sample);
      ScheduleSample(aEntry);
    });
  });
}

void
FleetSimulation::AddEntries()
{
  m_entries.reserve(m_plan.m_entries);
  for (std::size_t i = 0; i < m_plan.m_entries; ++i) {
    EntryHost& host = m_entries.emplace_back();
    host.m_id = { "entry" + std::to_string(i), { 1 } };
    host.m_zone = "zone" + std::to_string(i % m_plan.m_zones);
    EntryPolicy policy = m_plan.m_entryPolicy;
    policy.m_zone = host.m_zone;
    if (!m_plan.m_entryCores.empty()) {
      host.m_cores = m_plan.m_entryCores.at(i);
    }
    policy.m_processorShare = host.m_cores;
    host.m_core = MakeEntry(host.m_id, 0, policy, m_plan.m_seed + i);
    const std::vector<Duration>& costs = m_plan.m_entryEventCosts;
    host.m_eventCost =
      costs.empty() ? m_plan.m_entryEventCost : costs[i % costs.size()];
    m_entryByName[host.m_id.m_name] = i;
  }
}

void
FleetSimulation::AddAgents()
{
  for (std::size_t i = 0; i < m_plan.m_agents; ++i) {
    AgentHost& host = m_agents.emplace_back();
    host.m_id = { "agent" + std::to_string(i), { 1 } };
    host.m_zone = "zone" + std::to_string(i % m_plan.m_zones);
    if (!m_plan.m_runTimeFactors.empty()) {
      host.m_runTimeFactor = m_plan.m_runTimeFactors.at(
        i / m_plan.m_zones % m_plan.m_runTimeFactors.size());
    }
    AgentPolicy policy = m_plan.m_agentPolicy;
    policy.m_zone = host.m_zone;
    host.m_core = MakeAgent(host.m_id, policy, m_plan.m_seed + i);
    m_agentByName[host.m_id.m_name] = i;
  }
}

void
FleetSimulation::Introduce()
{
  std::vector<ProcessId> entries;
  for (const EntryHost& entry : m_entries) {
    entries.push_back(entry.m_id);
  }
  for (EntryHost& entry : m_entries) {
    HandleEntryEvent(
      entry,
      ConfigChanged{ ParseConfiguration({ 1 }, kJobMixDocument).value(),
                     kJobMixDocument });
    HandleEntryEvent(entry, PeersChanged{ entries });
    if (m_plan.m_entryPolicy.m_forwardJobs) {
      ScheduleSample(entry);
    }
  }
  for (AgentHost& agent : m_agents) {
    AnnounceWorker(agent, {});
    HandleAgentEvent(agent, PeersChanged{ entries });
    for (const ProcessId& entry : entries) {
      HandleAgentEvent(agent, LinkReset{ entry });
    }
  }
}

void
FleetSimulation::AnnounceWorker(AgentHost& aAgent, Duration aWarmUp)
{
  WorkerAnnounced announced;
  announced.m_info.m_name = "worker-of-" + aAgent.m_id.m_name;
  announced.m_info.m_capacity = { m_plan.m_agentMilliCores, 65536, 0 };
  announced.m_url = "http://worker";
  announced.m_warmUpRemaining = aWarmUp;
  HandleAgentEvent(aAgent, announced);
}

double
FleetSimulation::LoadNow() const
{
  const Duration time = m_now - m_start;
  const bool burst = time >= m_plan.m_burstFrom && time < m_plan.m_burstUntil;
  const double phase = static_cast<double>(time.count()) /
                       static_cast<double>(m_plan.m_swingPeriod.count());
  const double swing =
    1 + m_plan.m_swing * std::sin(2 * std::numbers::pi * phase);
  return m_plan.m_load * swing * (burst ? m_plan.m_burstFactor : 1);
}

bool
FleetSimulation::InWindow() const
{
  const Duration time = m_now - m_start;
  return time >= m_plan.m_windowFrom && time < m_plan.m_windowUntil;
}

void
FleetSimulation::ScheduleArrival(std::size_t aKind)
{
  const double perSecond = kJobKinds.at(aKind).m_perSecond * LoadNow();
  At(m_now + DrawArrivalGap(m_random, perSecond), [this, aKind] {
    Submit(aKind);
    ScheduleArrival(aKind);
  });
}

std::size_t
FleetSimulation::DrawEntry()
{
  // A balancer that hashes callers gives entries uneven shares.
  std::vector<double> shares = m_plan.m_arrivalShares;
  for (std::size_t i = shares.size(); i < m_entries.size(); ++i) {
    shares.push_back(1 + static_cast<double>(i % 3) / 2);
  }
  return boost::random::discrete_distribution<std::size_t>(
    shares.begin(), shares.end())(m_random);
}

std::uint32_t
FleetSimulation::DrawNeed()
{
  if (m_plan.m_needSpread <= 0) {
    return m_plan.m_taskMilliCores;
  }
  const double factor = boost::random::uniform_real_distribution<double>(
    1 - m_plan.m_needSpread, 1 + m_plan.m_needSpread)(m_random);
  return static_cast<std::uint32_t>(factor * m_plan.m_taskMilliCores);
}

void
FleetSimulation::Submit(std::size_t aKind)
{
  m_jobs.push_back(DrawJob(m_random, aKind, m_now));
  LengthenTasks(m_jobs.back());
  const std::uint64_t number = m_jobs.size();
  const std::size_t entry = DrawEntry();
  m_entryOfJob.push_back(entry);
  SubmitJob submit = MakeSubmission(m_jobs.back(), number, m_plan.m_deadline);
  const std::uint32_t need = DrawNeed();
  for (TaskSpec& task : submit.m_tasks) {
    task.m_need.m_milliCores = need;
  }
  EntryHost& host = m_entries.at(entry);
  WhenEntryFree(host, [this, &host, submit = std::move(submit)] {
    HandleEntryEvent(host, submit);
  });
}

void
FleetSimulation::LengthenTasks(Job& aJob)
{
  if (m_plan.m_longTaskShare <= 0) {
    return;
  }
  boost::random::bernoulli_distribution<double> isLong(m_plan.m_longTaskShare);
  for (Duration& run : aJob.m_runs) {
    run *= isLong(m_random) ? m_plan.m_longTaskFactor : 1;
  }
}

void
FleetSimulation::HandleEntryEvent(EntryHost& aEntry, EntryEvent aEvent)
{
  EntryCommands commands;
  aEntry.m_core->Handle(m_now, std::move(aEvent), commands);
  for (EntryCommand& command : commands) {
    if (SendMessage* send = std::get_if<SendMessage>(&command)) {
      SendFromEntry(aEntry, std::move(*send));
    } else if (AnswerCaller* answer = std::get_if<AnswerCaller>(&command)) {
      if (answer->m_answer.m_kind == ErrorKind::None) {
        m_jobs.at(answer->m_caller.m_value - 1).m_doneAt = m_now;
      }
    }
  }
  const Instant wake = aEntry.m_core->NextWake();
  if (wake != kNever && wake < aEntry.m_wakeAt) {
    aEntry.m_wakeAt = wake;
    At(wake, [this, &aEntry, wake] {
      if (aEntry.m_wakeAt == wake) {
        aEntry.m_wakeAt = kNever;
        HandleEntryEvent(aEntry, TimerFired{});
      }
    });
  }
}

void
FleetSimulation::HandleAgentEvent(AgentHost& aAgent, AgentEvent aEvent)
{
  AgentCommands commands;
  aAgent.m_core->Handle(m_now, std::move(aEvent), commands);
  for (AgentCommand& command : commands) {
    if (SendMessage* send = std::get_if<SendMessage>(&command)) {
      SendFromAgent(aAgent, std::move(*send));
    } else if (StartRun* start = std::get_if<StartRun>(&command)) {
      StartTask(aAgent, *start);
    }
  }
  const Instant wake = aAgent.m_core->NextWake();
  if (wake != kNever && wake < aAgent.m_wakeAt) {
    aAgent.m_wakeAt = wake;
    At(wake, [this, &aAgent, wake] {
      if (aAgent.m_wakeAt == wake) {
        aAgent.m_wakeAt = kNever;
        HandleAgentEvent(aAgent, TimerFired{});
      }
    });
  }
}

Duration
FleetSimulation::DelayBetween(const Host& aFrom, const Host& aTo) const
{
  return aFrom.m_zone == aTo.m_zone ? kDelayInZone : kDelayBetweenZones;
}

void
FleetSimulation::CountMessage(const Host& aFrom,
                              const Host& aTo,
                              const Message& aSent)
{
  ++m_result.m_messages;
  const ReportBatch* const reports = std::get_if<ReportBatch>(&aSent);
  const bool onlyLoad = reports != nullptr && reports->m_reports.empty();
  ++m_result.m_messagesByType[onlyLoad ? "load"
                                       : std::string(MessageTypeName(aSent))];
  if (const OfferBatch* batch = std::get_if<OfferBatch>(&aSent)) {
    m_result.m_offers += batch->m_offers.size();
    m_result.m_offersInWindow += InWindow() ? batch->m_offers.size() : 0;
    if (aFrom.m_zone != aTo.m_zone) {
      m_result.m_offersToOtherZones += batch->m_offers.size();
    }
  }
  if (reports != nullptr) {
    m_result.m_refusedOffers += static_cast<std::size_t>(
      std::count_if(reports->m_reports.begin(),
                    reports->m_reports.end(),
                    [](const AttemptReport& aReport) {
                      return aReport.m_fate == AttemptFate::Refused;
                    }));
    m_result.m_queueFullInWindow +=
      !InWindow() ? 0
                  : static_cast<std::size_t>(std::count_if(
                      reports->m_reports.begin(),
                      reports->m_reports.end(),
                      [](const AttemptReport& aReport) {
                        return aReport.m_kind == ErrorKind::QueueFull;
                      }));
  }
}

void
FleetSimulation::SendFromEntry(EntryHost& aEntry, SendMessage aSend)
{
  const auto agent = m_agentByName.find(aSend.m_to.m_name);
  if (agent == m_agentByName.end()) {
    SendToEntry(aEntry, std::move(aSend));
    return;
  }
  AgentHost& to = m_agents.at(agent->second);
  CountMessage(aEntry, to, aSend.m_message);
  At(m_now + DelayBetween(aEntry, to),
     [this, &to, from = aEntry.m_id, message = std::move(aSend.m_message)] {
       WhenFree(to, m_plan.m_agentEventCost, [this, &to, from, message] {
         HandleAgentEvent(to, MessageReceived{ from, message });
       });
     });
}

void
FleetSimulation::SendFromAgent(AgentHost& aAgent, SendMessage aSend)
{
  SendToEntry(aAgent, std::move(aSend));
}

void
FleetSimulation::SendToEntry(const Host& aFrom, SendMessage aSend)
{
  const auto entry = m_entryByName.find(aSend.m_to.m_name);
  if (entry == m_entryByName.end()) {
    return;
  }
  EntryHost& to = m_entries.at(entry->second);
  CountMessage(aFrom, to, aSend.m_message);
  const MessageReceived received{ aFrom.m_id,
                                  std::move(aSend.m_message),
                                  m_now };
  At(m_now + DelayBetween(aFrom, to), [this, &to, received] {
    WhenEntryFree(to,
                  [this, &to, received] { HandleEntryEvent(to, received); });
  });
}

void
FleetSimulation::StartTask(AgentHost& aAgent, const StartRun& aStart)
{
  ++m_result.m_starts;
  CountStartInDrainedZone(aAgent);
  const TaskIndex index = ParseTaskName(aStart.m_name.m_task);
  const std::uint32_t need = aStart.m_need.m_milliCores;
  aAgent.m_usedMilliCores += need;
  m_result.m_peakUse =
    std::max(m_result.m_peakUse,
             static_cast<double>(aAgent.m_usedMilliCores) /
               static_cast<double>(m_plan.m_agentMilliCores));
  const Duration runsFor(static_cast<Duration::rep>(
    aAgent.m_runTimeFactor *
    static_cast<double>(
      RunTimeAt(aAgent, m_jobs.at(index.m_job).m_runs.at(index.m_task))
        .count())));
  At(m_now + runsFor, [this, &aAgent, need, run = aStart.m_run] {
    aAgent.m_usedMilliCores -= need;
    WhenFree(aAgent, m_plan.m_agentEventCost, [this, &aAgent, run] {
      HandleAgentEvent(aAgent, RunFinished{ run, RunOutcome::Completed, {} });
    });
  });
}

FleetResult
FleetSimulation::Collect() const
{
  FleetResult result = m_result;
  std::array<std::size_t, kJobKinds.size()> counted{};
  std::array<std::size_t, kJobKinds.size()> inTime{};
  std::vector<std::size_t> inTimeAt(m_entries.size());
  std::size_t ofUse = 0;
  result.m_jobsByEntry.resize(m_entries.size());
  for (std::size_t i = 0; i < m_jobs.size(); ++i) {
    const Job& job = m_jobs[i];
    const Duration after = job.m_arrivedAt - m_start;
    if (after < kWarmUp || after > m_plan.m_simulatedTime - m_plan.m_deadline) {
      continue;
    }
    ++counted.at(job.m_kind);
    ++result.m_jobs;
    inTime.at(job.m_kind) += job.InTime() ? 1 : 0;
    ++result.m_jobsByEntry.at(m_entryOfJob.at(i));
    ofUse += job.OfUse() ? 1 : 0;
    inTimeAt.at(m_entryOfJob[i]) += job.InTime() ? 1 : 0;
  }
  std::size_t allInTime = 0;
  for (std::size_t kind = 0; kind < kJobKinds.size(); ++kind) {
    allInTime += inTime.at(kind);
    result.m_inTimeByKind.at(kind) =
      static_cast<double>(inTime.at(kind)) /
      static_cast<double>(std::max<std::size_t>(counted.at(kind), 1));
  }
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    result.m_inTimeByEntry.push_back(
      static_cast<double>(inTimeAt[i]) /
      static_cast<double>(std::max<std::size_t>(result.m_jobsByEntry[i], 1)));
    result.m_forwarded += m_entries[i].m_core->Counters().m_forwarded;
  }
  const double jobs =
    static_cast<double>(std::max<std::size_t>(result.m_jobs, 1));
  result.m_inTime = static_cast<double>(allInTime) / jobs;
  result.m_ofUse = static_cast<double>(ofUse) / jobs;
  return result;
}

} // namespace mulberrysail::core
