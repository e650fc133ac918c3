#pragma once

#include "core/tests/leasefixture.h"
#include "core/tests/modelworker.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace mulberrysail::core {

/** An agent, its worker and the calls between them in simulated time, with
 * random delays, cuts between the two and freezes of the agent. */
class AgentSchedule
{
public:
  AgentSchedule(std::uint32_t aSeed, const AgentPolicy& aPolicy);
  virtual ~AgentSchedule() = default;
  AgentSchedule(const AgentSchedule&) = delete;
  AgentSchedule& operator=(const AgentSchedule&) = delete;

protected:
  using Action = std::function<void()>;

  /** Called at each step of time, before messages arrive. */
  virtual void Step() = 0;
  /** Called after the worker has begun a run. */
  virtual void RecordStart() {}

  std::chrono::milliseconds Draw(int aFrom, int aTo);
  bool OneIn(int aCount);

  void Play(Duration aFor);
  /** Carries out the action once the agent isn't frozen at @p aAt or later. */
  void ToAgent(Instant aAt, Action aAction);
  /** Sends the agent an announcement of the worker that arrives at @p aAt. */
  void Announce(Instant aAt, bool aLeaving, Resources aCapacity);
  /** Lets the worker start again under its id. */
  void RestartWorker();
  /** Replaces the agent by its next incarnation. */
  void RestartAgent();
  void Offer(std::uint64_t aAttempt);

  LeaseFixture m_fixture;
  ModelWorker m_worker;
  Instant m_cutUntil;
  Instant m_frozenUntil;

private:
  AgentSchedule(boost::random::mt19937 aRandom, const AgentPolicy& aPolicy);

  void RunDue(std::multimap<Instant, Action>& aActions);
  /** Carries out a call at the worker, and its answer at the agent. */
  template<typename Event>
  void Call(const std::function<Event()>& aCarryOut, const Event& aNoAnswer);
  void SendCommands();
  StartAnswered Start(const StartRun& aStart);
  void RecordReports(const SendMessage& aSend);
  /** No run is taken for ended while it may go on. */
  void CheckRuns() const;

  boost::random::mt19937 m_random;
  std::multimap<Instant, Action> m_toWorker;
  std::multimap<Instant, Action> m_toAgent;
  Instant m_nextHello;
  std::uint64_t m_sequence = 0;
  std::map<std::string, std::uint64_t> m_tasks;
  /** The attempts that the agent has reported as ended, and when. */
  std::map<std::uint64_t, Instant> m_ended;
};

} // namespace mulberrysail::core
