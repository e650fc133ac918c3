#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace mulberrysail::core {

/** An integer identifier whose type prevents mixing it up with another kind of
 * identifier. */
template<typename Tag>
struct StrongId
{
  std::uint64_t m_value = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const StrongId&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/** One lifetime of a process; a restarted process has another incarnation. */
using Incarnation = StrongId<struct IncarnationTag>;
/** One attempt to run a request or task on an agent; unique within an entry
 * incarnation. */
using AttemptId = StrongId<struct AttemptTag>;
/** A request or job as admitted by one entry. */
using SubmissionId = StrongId<struct SubmissionTag>;
/** The connection of a caller that waits for an answer; assigned by the
 * daemon. */
using CallerToken = StrongId<struct CallerTag>;
/** One start of work at an endpoint or worker; assigned by the agent core. */
using RunId = StrongId<struct RunTag>;
/** One query about a caller key, sent by an entry. */
using FenceId = StrongId<struct FenceTag>;
/** One job that an entry forwards to another one; unique within an incarnation
 * of the entry that forwards. */
using ForwardId = StrongId<struct ForwardTag>;
/** Version of an accepted configuration; each accepted patch increments it. */
using ConfigVersion = StrongId<struct ConfigTag>;

/** One incarnation of a process. */
struct ProcessId
{
  std::string m_name;
  Incarnation m_incarnation;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  auto operator<=>(const ProcessId&) const =
    default; // NOLINT(modernize-use-nullptr)
};

} // namespace mulberrysail::core

template<typename Tag>
struct std::hash<mulberrysail::core::StrongId<Tag>>
{
  std::size_t operator()(
    const mulberrysail::core::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.m_value);
  }
};

template<>
struct std::hash<mulberrysail::core::ProcessId>
{
  std::size_t operator()(
    const mulberrysail::core::ProcessId& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.m_name) ^
           (aId.m_incarnation.m_value * 0x9E3779B97F4A7C15ULL);
  }
};
