#pragma once

#include "core/iagent.h"
#include "core/ientry.h"
#include "core/tests/jobmix.h"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace mulberrysail::core {

/** A zone that is drained and returned to service. */
struct FleetDrain
{
  /** Empty for no drain. */
  std::string m_zone;
  Duration m_from{};
  Duration m_until{};
  /** How long the workers of the zone warm up after m_until, and by how much
   * their runs take longer meanwhile. */
  Duration m_warmUp{};
  double m_warmUpFactor = 1;
};

/** The processes of a simulated fleet and the load on it. */
struct FleetPlan
{
  std::uint64_t m_seed = 11;
  std::size_t m_entries = 12;
  std::size_t m_agents = 66;
  std::size_t m_zones = 3;
  std::uint32_t m_agentMilliCores = 16000;
  /** Arrivals per second as a multiple of those of kJobKinds. */
  double m_load = 1;
  /** The load is multiplied by m_burstFactor between these times. */
  double m_burstFactor = 1;
  Duration m_burstFrom{};
  Duration m_burstUntil{};
  Duration m_simulatedTime = std::chrono::seconds(8);
  /** Deadline of each job, from its submission. */
  Duration m_deadline = std::chrono::seconds(2);
  /** Factors of the run times of the agents' workers, assigned to the agents by
   * turns; empty if all are 1. */
  std::vector<double> m_runTimeFactors;
  /** Share of the tasks that run m_longTaskFactor times as long as the others
   * of their job. */
  double m_longTaskShare = 0;
  int m_longTaskFactor = 1;
  /** Processor time that an entry or agent needs for one message, timer or
   * submission; further ones wait meanwhile. */
  Duration m_entryEventCost = std::chrono::microseconds(100);
  Duration m_agentEventCost = std::chrono::microseconds(100);
  /** Cores of each entry, which divide its event cost; empty for one each. */
  std::vector<double> m_entryCores;
  /** Event costs by entry, in turn; empty if all have m_entryEventCost. */
  std::vector<Duration> m_entryEventCosts;
  /** Weights of the entries in the arrivals; empty for 1, 1.5 and 2 in turn. */
  std::vector<double> m_arrivalShares;
  /** The arrival rate varies by this share, as a sine with m_swingPeriod. */
  double m_swing = 0;
  Duration m_swingPeriod = std::chrono::seconds(13);
  /** Cores that a task needs, in thousandths; the needs of a job's tasks are
   * off by at most the share m_needSpread. */
  std::uint32_t m_taskMilliCores = kTaskMilliCores;
  double m_needSpread = 0;
  /** The offers between these times are also counted on their own. */
  Duration m_windowFrom{};
  Duration m_windowUntil{};
  EntryPolicy m_entryPolicy;
  AgentPolicy m_agentPolicy;
  FleetDrain m_drain;
};

/** How long after the first entry knows of a drain starts may go on: two links
 * (0.1 s) and a start that is already under way (25 ms). */
inline constexpr Duration kFleetDrainBound = std::chrono::milliseconds(125);

/** @return policies as on a platform of callers with short objectives: agents
 * without a queue. */
FleetPlan
DefaultFleetPlan();

/**
 * @param aUse the share of all cores that the load takes on workers with run
 * factor 1.
 * @return a plan with 8 entries, 50 agents of 64 cores in 4 zones and 845 jobs
 * a second.
 */
FleetPlan
FourZonePlan(double aUse);

/** What the callers got and what the processes sent. */
struct FleetResult
{
  std::size_t m_jobs = 0;
  double m_inTime = 0;
  double m_ofUse = 0;
  /** Share in time by kind of job. */
  std::array<double, kJobKinds.size()> m_inTimeByKind{};
  /** Jobs that were counted and their share in time, by entry. */
  std::vector<std::size_t> m_jobsByEntry;
  std::vector<double> m_inTimeByEntry;
  /** Offers in the window of the plan, and reports in it that an agent had no
   * capacity for an offer. */
  std::size_t m_offersInWindow = 0;
  std::size_t m_queueFullInWindow = 0;
  std::uint64_t m_forwarded = 0;
  std::size_t m_starts = 0;
  std::size_t m_offers = 0;
  std::size_t m_refusedOffers = 0;
  std::size_t m_messages = 0;
  /** Messages by the name of their type; reports without an attempt count as
   * "load". */
  std::map<std::string, std::size_t> m_messagesByType;
  /** Offers to agents in another zone than the entry's. */
  std::size_t m_offersToOtherZones = 0;
  /** Greatest sum of the needs of all running tasks, as a share of an agent's
   * capacity. */
  double m_peakUse = 0;
  /** Starts in the drained zone: before the drain, from kFleetDrainBound after
   * its start to its end, and after it. */
  std::size_t m_startsBeforeDrain = 0;
  std::size_t m_startsWhileDrained = 0;
  std::size_t m_startsAfterDrain = 0;

  /** @return the share of the offers in the window that were not refused for
   * lack of capacity. */
  double AcceptedInWindow() const;

  /** @return the result in one line, for assertion messages. */
  std::string Text() const;
};

/** Runs the cores of entries and agents against the users' job mix on one
 * virtual clock, with message delays and processor time. */
class FleetSimulation
{
public:
  explicit FleetSimulation(FleetPlan aPlan);

  FleetResult Run();

private:
  struct Event
  {
    Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_act;

    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };

  /** A process whose events are handled one after the other. */
  struct Host
  {
    ProcessId m_id;
    std::string m_zone;
    Instant m_busyUntil;
    /** The wake-up time for which a timer event is scheduled. */
    Instant m_wakeAt = kNever;
  };

  struct EntryHost : Host
  {
    std::unique_ptr<IEntry> m_core;
    double m_cores = 1;
    /** Processor time of all events up to m_busyUntil, as elapsed time. */
    Duration m_work{};
    /** The part of m_work that was done before the last sample. */
    Duration m_sampledWork{};
    Duration m_eventCost{};
  };

  struct AgentHost : Host
  {
    std::unique_ptr<IAgent> m_core;
    std::uint32_t m_usedMilliCores = 0;
    double m_runTimeFactor = 1;
  };

  void At(Instant aWhen, std::function<void()> aAct);
  /** Calls @p aAct when @p aHost has time for one more event. */
  void WhenFree(Host& aHost, Duration aCost, std::function<void()> aAct);
  void WhenEntryFree(EntryHost& aEntry, std::function<void()> aAct);
  /** Samples the processor usage of an entry every 200 ms. */
  void ScheduleSample(EntryHost& aEntry);
  void AddEntries();
  void AddAgents();
  void Introduce();
  void AnnounceWorker(AgentHost& aAgent, Duration aWarmUp);
  /** Schedules the drain of the plan, of which the entries learn one after the
   * other. */
  void PlanDrain();
  void InformEntries(Instant aFirst, const ZoneDrains& aDrains);
  void CountStartInDrainedZone(const AgentHost& aAgent);
  /** @return how long a run takes that would take @p aRun on a warm worker. */
  Duration RunTimeAt(const AgentHost& aAgent, Duration aRun) const;
  void ScheduleArrival(std::size_t aKind);
  double LoadNow() const;
  void Submit(std::size_t aKind);
  /** Makes the drawn share of the tasks of @p aJob long. */
  void LengthenTasks(Job& aJob);
  std::size_t DrawEntry();
  std::uint32_t DrawNeed();
  bool InWindow() const;
  void HandleEntryEvent(EntryHost& aEntry, EntryEvent aEvent);
  void HandleAgentEvent(AgentHost& aAgent, AgentEvent aEvent);
  void SendFromEntry(EntryHost& aEntry, SendMessage aSend);
  void SendFromAgent(AgentHost& aAgent, SendMessage aSend);
  /** Sends a message of an agent or an entry to an entry. */
  void SendToEntry(const Host& aFrom, SendMessage aSend);
  void StartTask(AgentHost& aAgent, const StartRun& aStart);
  Duration DelayBetween(const Host& aFrom, const Host& aTo) const;
  void CountMessage(const Host& aFrom, const Host& aTo, const Message& aSent);
  FleetResult Collect() const;

  FleetPlan m_plan;
  boost::random::mt19937_64 m_random;
  Instant m_now;
  Instant m_start;
  std::vector<EntryHost> m_entries;
  std::vector<AgentHost> m_agents;
  std::map<std::string, std::size_t> m_entryByName;
  std::map<std::string, std::size_t> m_agentByName;
  std::vector<Job> m_jobs;
  /** The entry at which each job arrived. */
  std::vector<std::size_t> m_entryOfJob;
  FleetResult m_result;
  std::uint64_t m_nextOrder = 0;
  std::priority_queue<Event> m_events;
};

} // namespace mulberrysail::core
