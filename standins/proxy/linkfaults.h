#pragma once

#include "standins/common/eventloop.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace mulberrysail::standins {

/** What a link does with connections and bytes. */
enum class LinkMode : std::uint8_t
{
  Pass,
  /** Closes open connections and refuses new ones. */
  Cut,
  /** Keeps open connections and refuses new ones. */
  Refuse,
  /** Keeps connections and moves no bytes. */
  Freeze,
  /** Requests pass; at the first byte of a reply the caller's connection is
   * closed. */
  DropReply,
  /** Bytes to the target pass; those from it vanish, and its end isn't
   * seen. */
  OnewayIn,
  /** Bytes from the target pass; those to it vanish, and the caller's end
   * isn't seen. */
  OnewayOut,
};

inline constexpr std::array kLinkModeNames = {
  "pass", "cut", "refuse", "freeze", "drop_reply", "oneway_in", "oneway_out"
};

/** @return the mode called @p aName.
 * @throws std::invalid_argument if there is none. */
LinkMode
LinkModeByName(std::string_view aName);

enum class Direction : std::uint8_t
{
  ToTarget,
  FromTarget,
};

/** The state of one link that its connections share. */
struct LinkFaults
{
  LinkMode m_mode = LinkMode::Pass;
  /** Each way. */
  Micros m_delay{ 0 };
  /** Up to this much more, evenly spread. */
  Micros m_jitter{ 0 };

  /** @return whether bytes in @p aDirection vanish. */
  bool Drops(Direction aDirection) const;

  /** @return whether new connections are taken. */
  bool Accepts() const;
};

} // namespace mulberrysail::standins
