#pragma once

#include "http.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace mulberrysail::review {

/** Writes what was sent, answered and run to a file and to standard output, one
 * line each, with the milliseconds since the start of the case. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& aLine);

  /** @return milliseconds since the start of the case. */
  std::int64_t NowMs() const;

private:
  const Clock::time_point m_start = Clock::now();
  std::mutex m_mutex;
  std::FILE* m_file = nullptr;
};

} // namespace mulberrysail::review
