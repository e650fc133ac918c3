#pragma once

#include "core/types/ids.h"
#include "core/types/time.h"

#include <concepts>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** What an event says besides its name: name=value pairs in their order, as
 * they stand in the log. Values that hold more than one word are quoted. */
class EventDetail
{
public:
  EventDetail() = default;

  EventDetail& Add(std::string_view aName, std::string_view aValue);

  template<std::integral Number>
  EventDetail& Add(std::string_view aName, Number aValue)
  {
    return AddUnquoted(aName, std::to_string(aValue));
  }

  EventDetail& Add(std::string_view aName, double aValue);

  /** @param aName ends in "_ms". */
  EventDetail& Add(std::string_view aName, Duration aValue);

  /** Adds the pairs of another one. */
  EventDetail& Add(const EventDetail& aOther);

  const std::string& Text() const { return m_text; }

private:
  EventDetail& AddUnquoted(std::string_view aName, std::string_view aValue);

  std::string m_text;
};

/** @return a process by its name and incarnation. @param aRole what it is. */
EventDetail
DescribeProcess(std::string_view aRole, const ProcessId& aProcess);

} // namespace mulberrysail::core
