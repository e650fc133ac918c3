#pragma once

#include "daemon/settings/settingfield.h"

#include <chrono>
#include <cstdint>
#include <span>

/** Helpers and groups of the table of setting fields. */
namespace mulberrysail::daemon {

constexpr std::uint64_t kDayMs = 86400000;
constexpr std::uint32_t kMaxCount = 1000000000;

constexpr FieldRoles kBoth = FieldRoles::Both;
constexpr FieldRoles kEntry = FieldRoles::Entry;
constexpr FieldRoles kAgent = FieldRoles::Agent;

/** @return the binding of a duration that is written in milliseconds. */
inline DurationBinding
Millis(core::Duration& aValue, std::uint64_t aMin, std::uint64_t aMax)
{
  return { &aValue, std::chrono::milliseconds(1), aMin, aMax };
}

inline NumberBinding<std::uint32_t>
Count(std::uint32_t& aValue, std::uint32_t aMin, std::uint32_t aMax)
{
  return { &aValue, aMin, aMax };
}

/** @return the fields of a process outside its policy. */
std::span<const SettingField>
ProcessFields();

/** @return the fields of an entry's policy. */
std::span<const SettingField>
EntryPolicyFields();

/** @return the fields of an agent's policy. */
std::span<const SettingField>
AgentPolicyFields();

} // namespace mulberrysail::daemon
