#pragma once

#include "core/tests/schedule_clock.h"
#include "core/tests/schedule_plan.h"
#include "core/tests/schedule_random.h"
#include "core/types/commands.h"
#include "core/types/events.h"

#include <functional>
#include <map>
#include <string>

namespace mulberrysail::core {

/** Simulates the network: loses, duplicates, delays and reorders messages as
 * planned. */
class ScheduleNetwork
{
public:
  struct Hooks
  {
    std::function<void(const ProcessId& aTo, MessageReceived)> m_deliver;
    /** Called for the sender of a message that could not be sent. */
    std::function<void(const ProcessId& aFrom, SendFailed)> m_sendFailed;
    /** Called when the link between two processes is restored. */
    std::function<void(const std::string&, const std::string&)> m_linkUp;
  };

  ScheduleNetwork(ScheduleClock& aClock,
                  ScheduleRandom& aRandom,
                  const SchedulePlan& aPlan,
                  Hooks aHooks);

  void Send(const ProcessId& aFrom, const SendMessage& aSend);

  /** Loses the messages in transit between two processes, and all that are
   * sent within @p aFor. */
  void Cut(const std::string& aLeft, const std::string& aRight, Duration aFor);

  /** Switches random loss, duplication and long delays off or on. */
  void SetFaultless(bool aFaultless) { m_faultless = aFaultless; }

private:
  struct Link
  {
    /** Incremented by each cut, so that messages in transit are lost. */
    std::uint64_t m_epoch = 0;
    Instant m_cutUntil;
    Instant m_lastArrival;
  };

  Link& LinkFrom(const std::string& aFrom, const std::string& aTo);
  Duration Delay();
  void Post(const ProcessId& aFrom, const SendMessage& aSend, Duration aDelay);

  ScheduleClock& m_clock;
  ScheduleRandom& m_random;
  const SchedulePlan& m_plan;
  Hooks m_hooks;
  bool m_faultless = true;
  std::map<std::pair<std::string, std::string>, Link> m_links;
};

} // namespace mulberrysail::core
