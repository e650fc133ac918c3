#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <concepts>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** The attributes of an event: name=value pairs in the order in which they were
 * added, formatted as in the log. A value that is empty or contains a space,
 * quote, equals sign, backslash or control character is quoted. */
class EventDetail
{
public:
  EventDetail() = default;

  /** Adds a pair; a value of more than 1024 bytes is truncated. */
  EventDetail& Add(std::string_view aName, std::string_view aValue);

  template<std::integral Number>
  EventDetail& Add(std::string_view aName, Number aValue)
  {
    return AddUnquoted(aName, std::to_string(aValue));
  }

  EventDetail& Add(std::string_view aName, double aValue);

  /** Adds a duration in milliseconds.
   * @param aName the name, which must end in "_ms". */
  EventDetail& Add(std::string_view aName, Duration aValue);

  /** Appends the pairs of @p aOther. */
  EventDetail& Add(const EventDetail& aOther);

  const std::string& Text() const { return m_text; }

private:
  EventDetail& AddUnquoted(std::string_view aName, std::string_view aValue);

  std::string m_text;
};

/** Describes a process by its name and incarnation.
 * @param aRole the attribute name of the process, such as "agent". */
EventDetail
DescribeProcess(std::string_view aRole, const ProcessId& aProcess);

} // namespace mulberrysail::core
