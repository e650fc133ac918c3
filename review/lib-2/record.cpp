#include "record.h"

#include <stdexcept>

namespace mulberrysail::review {

Record::Record(const std::string& aPath)
  : m_file(std::fopen(aPath.c_str(), "w"))
{
  if (m_file == nullptr) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

Record::~Record()
{
  std::fclose(m_file);
}

void
Record::Add(const std::string& aLine)
{
  const std::int64_t now = NowMs();
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::fprintf(
    m_file, "%7lld %s\n", static_cast<long long>(now), aLine.c_str());
  std::fflush(m_file);
  std::printf("%7lld %s\n", static_cast<long long>(now), aLine.c_str());
  std::fflush(stdout);
}

std::int64_t
Record::NowMs() const
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start)
    .count();
}

} // namespace mulberrysail::review
