#include "daemon/settings/settingfield.h"

#include <asio/ip/address.hpp>

#include <array>
#include <charconv>
#include <limits>

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

bool
IsName(std::string_view aText)
{
  constexpr std::size_t kMaxLength = 64;
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789._-";
  return !aText.empty() && aText.size() <= kMaxLength &&
         aText.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool
IsAddress(std::string_view aText)
{
  asio::error_code error;
  asio::ip::make_address(std::string(aText), error);
  return !error;
}

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const std::from_chars_result end =
    std::from_chars(aText.data(), aText.data() + aText.size(), port);
  return end.ec == std::errc() && end.ptr == aText.data() + aText.size() &&
         port != 0;
}

/** Splits PREFIX HOST ':' PORT and checks the port. */
std::optional<std::string_view>
HostOfUrl(std::string_view aText, std::string_view aPrefix)
{
  if (!aText.starts_with(aPrefix)) {
    return std::nullopt;
  }
  aText.remove_prefix(aPrefix.size());
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsPort(aText.substr(colon + 1))) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  return host;
}

bool
IsHttpUrl(std::string_view aText)
{
  const std::optional<std::string_view> host = HostOfUrl(aText, "http://");
  return host && (IsName(*host) || IsAddress(*host));
}

bool
IsMessageUrl(std::string_view aText)
{
  const std::optional<std::string_view> host = HostOfUrl(aText, "tcp://");
  return host && IsAddress(*host);
}

bool
IsListenAddress(std::string_view aText)
{
  const std::optional<std::string_view> host = HostOfUrl(aText, "");
  return host && IsAddress(*host);
}

std::string
DescribeText(TextForm aForm)
{
  switch (aForm) {
    case TextForm::Any:
      return "a text";
    case TextForm::Name:
      return "1 to 64 letters, digits, dots, underscores or hyphens";
    case TextForm::Address:
      return "an IP number";
    case TextForm::ListenAddress:
      return "IP:PORT";
    case TextForm::HttpUrl:
      return "http://HOST:PORT";
    case TextForm::MessageUrl:
      return "tcp://IP:PORT";
  }
  return "a text";
}

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
    return DescribeText(aBinding.m_form);
  }
  std::string operator()(const TextListBinding& aBinding) const
  {
    return "a list, each " + DescribeText(aBinding.m_form);
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

bool
HasForm(std::string_view aText, TextForm aForm)
{
  switch (aForm) {
    case TextForm::Any:
      return true;
    case TextForm::Name:
      return IsName(aText);
    case TextForm::Address:
      return IsAddress(aText);
    case TextForm::ListenAddress:
      return IsListenAddress(aText);
    case TextForm::HttpUrl:
      return IsHttpUrl(aText);
    case TextForm::MessageUrl:
      return IsMessageUrl(aText);
  }
  return false;
}

} // namespace mulberrysail::daemon
