#include "daemon/settings/settingfield.h"

#include <array>

namespace mulberrysail::daemon {

namespace {

constexpr std::array<std::string_view, 2> kRoles = { "entry", "agent" };
constexpr std::array<std::string_view, 3> kPlacements = { "reported-load",
                                                          "random",
                                                          "probe" };
constexpr std::array<std::string_view, 2> kInterfaces = { "native",
                                                          "platform" };
constexpr std::array<std::string_view, 3> kLogLevels = { "verbose",
                                                         "info",
                                                         "warning" };

template<typename Number>
std::string
DescribeRange(std::string_view aWhat, Number aMin, Number aMax)
{
  return std::string(aWhat) + " from " + std::to_string(aMin) + " to " +
         std::to_string(aMax);
}

struct FormDescriber
{
  std::string operator()(bool* /*aValue*/) const { return "true or false"; }
  std::string operator()(std::optional<std::uint64_t>* /*aValue*/) const
  {
    return "a whole number";
  }
  template<typename Number>
  std::string operator()(const NumberBinding<Number>& aBinding) const
  {
    return DescribeRange("a whole number", aBinding.m_min, aBinding.m_max);
  }
  std::string operator()(const NumberBinding<double>& aBinding) const
  {
    return DescribeRange("a number",
                         static_cast<std::int64_t>(aBinding.m_min),
                         static_cast<std::int64_t>(aBinding.m_max));
  }
  std::string operator()(const DurationBinding& aBinding) const
  {
    return DescribeRange("a whole number", aBinding.m_min, aBinding.m_max);
  }
  std::string operator()(const TextBinding& aBinding) const
  {
    return input::DescribeForm(aBinding.m_form);
  }
  std::string operator()(const TextListBinding& aBinding) const
  {
    return "a list, each " + input::DescribeForm(aBinding.m_form);
  }
  template<typename Enum>
  std::string operator()(const ChoiceBinding<Enum>& /*aBinding*/) const
  {
    std::string words;
    for (const std::string_view name : ChoiceNames(Enum{})) {
      words += words.empty() ? "" : ", ";
      words += "\"" + std::string(name) + "\"";
    }
    return "one of " + words;
  }
};

} // namespace

bool
IsForRole(const SettingField& aField, Role aRole)
{
  switch (aField.m_roles) {
    case FieldRoles::Both:
      return true;
    case FieldRoles::Entry:
      return aRole == Role::Entry;
    case FieldRoles::Agent:
      return aRole == Role::Agent;
  }
  return false;
}

std::span<const std::string_view>
ChoiceNames(Role /*aKind*/)
{
  return kRoles;
}

std::span<const std::string_view>
ChoiceNames(PlacementKind /*aKind*/)
{
  return kPlacements;
}

std::span<const std::string_view>
ChoiceNames(LogLevel /*aKind*/)
{
  return kLogLevels;
}

std::span<const std::string_view>
ChoiceNames(Interface /*aKind*/)
{
  return kInterfaces;
}

std::string
DescribeForm(const FieldBinding& aBinding)
{
  return std::visit(FormDescriber{}, aBinding);
}

} // namespace mulberrysail::daemon
