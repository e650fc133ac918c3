#include "core/types/eventdetail.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mulberrysail::core {

namespace {

/** Longer values are truncated, to bound the size of an event. */
constexpr std::size_t kMaxDetailValueBytes = 1024;
constexpr std::string_view kEmptyValue = "\"\"";

bool
IsControl(char aCharacter)
{
  return static_cast<unsigned char>(aCharacter) < ' ';
}

bool
NeedsQuotes(std::string_view aValue)
{
  return std::any_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    return aCharacter == ' ' || aCharacter == '"' || aCharacter == '=' ||
           aCharacter == '\\' || IsControl(aCharacter);
  });
}

std::string
Quoted(std::string_view aValue)
{
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += IsControl(character) ? ' ' : character;
  }
  return quoted + '"';
}

} // namespace

EventDetail&
EventDetail::Add(std::string_view aName, std::string_view aValue)
{
  if (aValue.empty()) {
    return AddUnquoted(aName, kEmptyValue);
  }
  const std::string_view value = aValue.substr(0, kMaxDetailValueBytes);
  return NeedsQuotes(value) ? AddUnquoted(aName, Quoted(value))
                            : AddUnquoted(aName, value);
}

EventDetail&
EventDetail::Add(std::string_view aName, double aValue)
{
  constexpr int kPrecision = 6;
  std::array<char, 32> text{};
  const std::to_chars_result end = std::to_chars(text.data(),
                                                 text.data() + text.size(),
                                                 aValue,
                                                 std::chars_format::general,
                                                 kPrecision);
  return AddUnquoted(
    aName, { text.data(), static_cast<std::size_t>(end.ptr - text.data()) });
}

EventDetail&
EventDetail::Add(std::string_view aName, Duration aValue)
{
  constexpr double kMicrosPerMs = 1000;
  return Add(aName, static_cast<double>(aValue.count()) / kMicrosPerMs);
}

EventDetail&
EventDetail::Add(const EventDetail& aOther)
{
  if (!m_text.empty() && !aOther.m_text.empty()) {
    m_text += ' ';
  }
  m_text += aOther.m_text;
  return *this;
}

EventDetail&
EventDetail::AddUnquoted(std::string_view aName, std::string_view aValue)
{
  if (!m_text.empty()) {
    m_text += ' ';
  }
  m_text.append(aName).append("=").append(aValue);
  return *this;
}

EventDetail
DescribeProcess(std::string_view aRole, const ProcessId& aProcess)
{
  return EventDetail()
    .Add(aRole, aProcess.m_name)
    .Add("incarnation", aProcess.m_incarnation.m_value);
}

} // namespace mulberrysail::core
