#include "core/tests/schedule_network.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

constexpr Duration kShortestDelay = std::chrono::microseconds(200);
constexpr Duration kLongestUsualDelay = std::chrono::milliseconds(2);
/** Long enough for a message to arrive after its attempt has ended. */
constexpr Duration kLongestDelay = std::chrono::seconds(8);
constexpr double kSendFailureNoticeProbability = 0.5;

} // namespace

ScheduleNetwork::ScheduleNetwork(ScheduleClock& aClock,
                                 ScheduleRandom& aRandom,
                                 const SchedulePlan& aPlan,
                                 Hooks aHooks)
  : m_clock(aClock)
  , m_random(aRandom)
  , m_plan(aPlan)
  , m_hooks(std::move(aHooks))
{
}

ScheduleNetwork::Link&
ScheduleNetwork::LinkFrom(const std::string& aFrom, const std::string& aTo)
{
  return m_links[{ aFrom, aTo }];
}

void
ScheduleNetwork::Send(const ProcessId& aFrom, const SendMessage& aSend)
{
  const Link& link = LinkFrom(aFrom.m_name, aSend.m_to.m_name);
  if (m_clock.Now() < link.m_cutUntil) {
    if (m_random.Chance(kSendFailureNoticeProbability)) {
      m_clock.After(Duration(1), [this, aFrom, aSend] {
        m_hooks.m_sendFailed(aFrom, SendFailed{ aSend.m_to, aSend.m_message });
      });
    }
    return;
  }
  if (!m_faultless && m_random.Chance(m_plan.m_lossProbability)) {
    return;
  }
  Post(aFrom, aSend, Delay());
  if (!m_faultless && m_random.Chance(m_plan.m_duplicationProbability)) {
    Post(aFrom, aSend, Delay() + Delay());
  }
}

Duration
ScheduleNetwork::Delay()
{
  const bool late =
    !m_faultless && m_random.Chance(m_plan.m_longDelayProbability);
  return m_random.Between(kShortestDelay,
                          late ? kLongestDelay : kLongestUsualDelay);
}

void
ScheduleNetwork::Post(const ProcessId& aFrom,
                      const SendMessage& aSend,
                      Duration aDelay)
{
  Link& link = LinkFrom(aFrom.m_name, aSend.m_to.m_name);
  Instant arrival = m_clock.Now() + aDelay;
  if (!m_plan.m_reorders) {
    arrival = std::max(arrival, link.m_lastArrival);
    link.m_lastArrival = arrival;
  }
  const Instant sent = m_clock.Now();
  m_clock.At(arrival, [this, aFrom, aSend, sent, epoch = link.m_epoch] {
    if (LinkFrom(aFrom.m_name, aSend.m_to.m_name).m_epoch == epoch) {
      m_hooks.m_deliver(aSend.m_to,
                        MessageReceived{ aFrom, aSend.m_message, sent });
    }
  });
}

void
ScheduleNetwork::Cut(const std::string& aLeft,
                     const std::string& aRight,
                     Duration aFor)
{
  const Instant until = m_clock.Now() + aFor;
  for (Link* link : { &LinkFrom(aLeft, aRight), &LinkFrom(aRight, aLeft) }) {
    ++link->m_epoch;
    link->m_cutUntil = std::max(link->m_cutUntil, until);
    link->m_lastArrival = Instant();
  }
  m_clock.At(until, [this, aLeft, aRight] { m_hooks.m_linkUp(aLeft, aRight); });
}

} // namespace mulberrysail::core
