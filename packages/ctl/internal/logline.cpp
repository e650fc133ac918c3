#include "ctl/internal/logline.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mulberrysail::ctl {

namespace {

/** A name=value pair at the start of a text. */
struct Pair
{
  std::string m_name;
  std::string m_value;
  /** How much of the text it takes, with the blank after it. */
  std::size_t m_length = 0;
};

/** @return where a quoted value ends, that begins at @p aStart. */
std::size_t
EndOfQuoted(std::string_view aText, std::size_t aStart)
{
  for (std::size_t i = aStart + 1; i < aText.size(); ++i) {
    if (aText[i] == '\\') {
      ++i;
    } else if (aText[i] == '"') {
      return i + 1;
    }
  }
  return aText.size();
}

std::string
Unquoted(std::string_view aValue)
{
  if (aValue.size() < 2 || aValue.front() != '"') {
    return std::string(aValue);
  }
  std::string plain;
  for (std::size_t i = 1; i + 1 < aValue.size(); ++i) {
    if (aValue[i] == '\\' && i + 2 < aValue.size()) {
      ++i;
    }
    plain += aValue[i];
  }
  return plain;
}

std::optional<Pair>
ReadPair(std::string_view aText)
{
  const std::size_t equals = aText.find('=');
  if (equals == std::string_view::npos ||
      aText.substr(0, equals).find(' ') != std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t start = equals + 1;
  const bool quoted = start < aText.size() && aText[start] == '"';
  const std::size_t end = quoted
                            ? EndOfQuoted(aText, start)
                            : std::min(aText.find(' ', start), aText.size());
  return Pair{ std::string(aText.substr(0, equals)),
               Unquoted(aText.substr(start, end - start)),
               std::min(end + 1, aText.size()) };
}

} // namespace

std::optional<LogLine>
ReadLogLine(std::string_view aLine)
{
  const std::size_t start = aLine.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = aLine.substr(start);
  LogLine line;
  const std::array<std::pair<std::string_view, std::string*>, 5> fields = {
    { { "time", &line.m_time },
      { "level", &line.m_level },
      { "event", &line.m_event },
      { "process", &line.m_process },
      { "id", &line.m_id } }
  };
  while (const std::optional<Pair> pair = ReadPair(rest)) {
    bool known = pair->m_name == "code" || pair->m_name == "incarnation";
    for (const auto& [name, value] : fields) {
      if (pair->m_name == name && value->empty()) {
        *value = pair->m_value;
        known = true;
      }
    }
    if (!known) {
      line.m_detail = std::string(rest);
      break;
    }
    rest.remove_prefix(pair->m_length);
  }
  const bool whole = !line.m_event.empty() && !line.m_process.empty();
  return whole ? std::optional(line) : std::nullopt;
}

} // namespace mulberrysail::ctl
