#include "input/textform.h"

#include <asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <optional>

namespace mulberrysail::input {

namespace {

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

} // namespace

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

std::string
DescribeForm(TextForm aForm)
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

} // namespace mulberrysail::input
