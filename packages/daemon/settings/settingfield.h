#pragma once

#include "daemon/settings/settings.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace mulberrysail::daemon {

/** What a text must look like. */
enum class TextForm : std::uint8_t
{
  Any,
  /** 1 to 64 letters, digits, dots, underscores and hyphens. */
  Name,
  /** An IP number. */
  Address,
  /** IP:PORT */
  ListenAddress,
  /** http://HOST:PORT */
  HttpUrl,
  /** tcp://IP:PORT */
  MessageUrl,
};

struct TextBinding
{
  std::string* m_value;
  TextForm m_form;
};

struct TextListBinding
{
  std::vector<std::string>* m_values;
  TextForm m_form;
};

template<typename Number>
struct NumberBinding
{
  Number* m_value;
  Number m_min;
  Number m_max;
};

/** A duration, written as a whole number of units. */
struct DurationBinding
{
  core::Duration* m_value;
  core::Duration m_unit;
  std::uint64_t m_min;
  std::uint64_t m_max;
};

/** One of a set of words. */
template<typename Enum>
struct ChoiceBinding
{
  Enum* m_value;
};

/** Where in Settings a field is kept, and what it may be. */
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

/** Which roles have a field. */
enum class FieldRoles : std::uint8_t
{
  Both,
  Entry,
  Agent,
};

/** One field of the settings file. */
struct SettingField
{
  /** Names of the objects and of the field, with dots between. */
  std::string_view m_path;
  FieldRoles m_roles;
  bool m_required;
  FieldBinding (*m_bind)(Settings& aSettings);
  std::string_view m_meaning;
};

/** @return all fields, in the order of the page. */
std::span<const SettingField>
SettingFields();

/** @return whether @p aField belongs to @p aRole. */
bool
IsForRole(const SettingField& aField, Role aRole);

/** @return the words for the values of an enum, in their order. */
std::span<const std::string_view>
ChoiceNames(Role aKind);
std::span<const std::string_view>
ChoiceNames(PlacementKind aKind);
std::span<const std::string_view>
ChoiceNames(LogLevel aKind);
std::span<const std::string_view>
ChoiceNames(Interface aKind);

/** @return what is expected in @p aBinding, in words. */
std::string
DescribeForm(const FieldBinding& aBinding);

/** @return whether @p aText has the form @p aForm. */
bool
HasForm(std::string_view aText, TextForm aForm);

} // namespace mulberrysail::daemon
