#pragma once

#include "daemon/settings/settings.h"
#include "input/textform.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace mulberrysail::daemon {

using input::TextForm;

/** A string of a given form. */
struct TextBinding
{
  std::string* m_value;
  TextForm m_form;
};

/** A list of strings, each of a given form. */
struct TextListBinding
{
  std::vector<std::string>* m_values;
  TextForm m_form;
};

/** A number from m_min to m_max, both included. */
template<typename Number>
struct NumberBinding
{
  Number* m_value;
  Number m_min;
  Number m_max;
};

/** A duration, written as a whole number of units from m_min to m_max, both
 * included. */
struct DurationBinding
{
  core::Duration* m_value;
  core::Duration m_unit;
  std::uint64_t m_min;
  std::uint64_t m_max;
};

/** An enum value, written as one of the words of ChoiceNames(). */
template<typename Enum>
struct ChoiceBinding
{
  Enum* m_value;
};

/** The member of Settings that stores a field, and the values it accepts. */
using FieldBinding = std::variant<bool*,
                                  std::optional<std::uint64_t>*,
                                  NumberBinding<std::uint16_t>,
                                  NumberBinding<std::uint32_t>,
                                  NumberBinding<std::uint64_t>,
                                  NumberBinding<double>,
                                  DurationBinding,
                                  TextBinding,
                                  TextListBinding,
                                  ChoiceBinding<Role>,
                                  ChoiceBinding<PlacementKind>,
                                  ChoiceBinding<LogLevel>,
                                  ChoiceBinding<Interface>>;

/** The roles that a field applies to. */
enum class FieldRoles : std::uint8_t
{
  Both,
  Entry,
  Agent,
};

/** One field of the settings file. */
struct SettingField
{
  /** The names of the enclosing objects and of the field, joined by dots. */
  std::string_view m_path;
  FieldRoles m_roles;
  bool m_required;
  /** Binds the field to its member of @p aSettings. */
  FieldBinding (*m_bind)(Settings& aSettings);
  /** Help text of the field on the settings page. */
  std::string_view m_meaning;
};

/** @return all fields, in the order of the settings page. */
std::span<const SettingField>
SettingFields();

/** @return whether @p aField applies to processes of @p aRole. */
bool
IsForRole(const SettingField& aField, Role aRole);

/** @return the words for the values of an enum, in the order of the
 * enumerators. The argument only selects the enum. */
std::span<const std::string_view>
ChoiceNames(Role aKind);
std::span<const std::string_view>
ChoiceNames(PlacementKind aKind);
std::span<const std::string_view>
ChoiceNames(LogLevel aKind);
std::span<const std::string_view>
ChoiceNames(Interface aKind);

/** @return a description of the values that @p aBinding accepts. */
std::string
DescribeForm(const FieldBinding& aBinding);

} // namespace mulberrysail::daemon
