#include "store/internal/watchreader.h"

#include "store/internal/etcdjson.h"

#include <utility>

namespace mulberrysail::store {

namespace {

/** Leaves space for several values of one megabyte each in base64. */
constexpr std::size_t kMaxLineBytes = 8UL << 20U;

} // namespace

WatchReader::WatchReader(std::function<void(StoredValue)> aOnChange)
  : m_onChange(std::move(aOnChange))
{
}

bool
WatchReader::Append(std::string_view aChunk)
{
  m_buffer += aChunk;
  std::size_t begin = 0;
  std::size_t end = 0;
  while ((end = m_buffer.find('\n', begin)) != std::string::npos) {
    const std::string_view line =
      std::string_view(m_buffer).substr(begin, end - begin);
    begin = end + 1;
    const core::Result<void> read = etcd::ParseWatch(line, m_onChange);
    if (read.has_error()) {
      m_endReason = read.error();
      return false;
    }
  }
  m_buffer.erase(0, begin);
  if (m_buffer.size() > kMaxLineBytes) {
    m_endReason = core::Error{ core::ErrorKind::StoreUnavailable,
                               "watch message exceeds " +
                                 std::to_string(kMaxLineBytes) + " bytes" };
    return false;
  }
  return true;
}

} // namespace mulberrysail::store
