#pragma once

#include "standins/common/eventloop.h"

#include <functional>

namespace mulberrysail::standins {

/** Ends a stand-in gracefully: when its leaving was acknowledged, or nobody
 * took note for a while, and nothing ran for a moment, the loop quits. */
class Departure
{
public:
  /** @param aIdle tells whether nothing is open. */
  Departure(EventLoop& aLoop, std::function<bool()> aIdle);

  void Begin();

  bool Begun() const { return m_begun; }

  /** The leaving announcement was answered. */
  void Acknowledged() { m_acknowledgedRun = true; }

private:
  void Check();

  EventLoop& m_loop;
  std::function<bool()> m_idle;
  bool m_begun = false;
  bool m_acknowledgedRun = false;
  Micros m_giveUpAt{ 0 };
  Micros m_idleSince{ 0 };
};

} // namespace mulberrysail::standins
