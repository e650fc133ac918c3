#pragma once

#include "clock.h"

#include <fstream>
#include <mutex>
#include <string>

namespace mulberrysail::review3 {

/** Writes the record of a case: one line for each event, with the milliseconds
 * since the record was opened. Thread-safe. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
  {
  }

  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << MillisBetween(m_start, Now()) << " ms: " << aLine << std::endl;
  }

  /** @return milliseconds since the record was opened. */
  std::int64_t Elapsed() const { return MillisBetween(m_start, Now()); }

private:
  const Instant m_start = Now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

} // namespace mulberrysail::review3
