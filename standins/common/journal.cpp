#include "standins/common/journal.h"

#include "standins/common/eventloop.h"

#include <nlohmann/json.hpp>

namespace mulberrysail::standins {

Journal::Journal(const std::string& aPath)
{
  if (!aPath.empty()) {
    m_file.open(aPath, std::ios::app);
  }
}

void
Journal::Write(const JournalEntry& aEntry)
{
  const nlohmann::json object = { { "wall_us", WallNow().count() },
                                  { "mono_us", MonotonicNow().count() },
                                  { "event", aEntry.m_event },
                                  { "run", aEntry.m_run },
                                  { "id", aEntry.m_id } };
  const std::string line =
    object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
    '\n';
  m_text += line;
  if (m_file.is_open()) {
    m_file << line << std::flush;
  }
}

} // namespace mulberrysail::standins
