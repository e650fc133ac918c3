#pragma once

#include "store/istore.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::store {

/** Splits the response stream of one watch into messages, one per line, and
 * parses them. The stream arrives in chunks of any size. */
class WatchReader
{
public:
  explicit WatchReader(std::function<void(StoredValue)> aOnChange);

  /** Appends a chunk of the stream and reports the changes of each complete
   * message.
   * @return false if the watch has ended. */
  bool Append(std::string_view aChunk);

  /** @return the error that made Append() return false, if any. */
  const std::optional<core::Error>& EndReason() const { return m_endReason; }

private:
  std::function<void(StoredValue)> m_onChange;
  /** The incomplete last line. */
  std::string m_buffer;
  std::optional<core::Error> m_endReason;
};

} // namespace mulberrysail::store
