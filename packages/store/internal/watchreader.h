#pragma once

#include "store/istore.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::store {

/** Takes the messages of one watch, a line each, out of the parts in which
 * they arrive. */
class WatchReader
{
public:
  explicit WatchReader(std::function<void(StoredValue)> aOnChange);

  /** @return false if the watch is over. */
  bool Append(std::string_view aPart);

  /** @return why the watch is over, if its messages tell. */
  const std::optional<core::Error>& EndReason() const { return m_endReason; }

private:
  std::function<void(StoredValue)> m_onChange;
  std::string m_buffer;
  std::optional<core::Error> m_endReason;
};

} // namespace mulberrysail::store
