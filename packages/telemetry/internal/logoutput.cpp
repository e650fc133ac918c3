#include "telemetry/logoutput.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace mulberrysail::telemetry {

namespace {

/** Capacity of the queue: about half a second of a busy process, at about 400
 * bytes a line. */
constexpr std::size_t kMaxQueuedLines = 1024;
/** How long a line waits for the descriptor to become writable, unless the
 * previous line has already timed out. */
constexpr int kPollTimeoutMs = 50;
/** A pipe accepts at most POSIX's PIPE_BUF bytes atomically, 4096 on Linux. */
constexpr std::size_t kMaxWriteBytes = 4096;
/** Longer lines are truncated. */
constexpr std::size_t kMaxLineBytes = kMaxWriteBytes;
/** How long a line waits for further lines, to be written with them by one
 * system call. */
constexpr std::chrono::milliseconds kCollectTime{ 20 };
constexpr const char* kPattern = "time=%Y-%m-%dT%H:%M:%S.%fZ %v";

constexpr std::array kLevels = { spdlog::level::debug,
                                 spdlog::level::info,
                                 spdlog::level::warn };

spdlog::level::level_enum
ToSpdlog(EventLevel aLevel)
{
  return kLevels[static_cast<std::size_t>(aLevel)];
}

/** Writes whole lines, several at a time, and drops those that the descriptor
 * does not accept in time. Used only by the log's own thread and, after that
 * thread has ended, by the destructor. */
class DescriptorSink
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  explicit DescriptorSink(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~DescriptorSink() override { WriteBuffer(); }
  DescriptorSink(const DescriptorSink&) = delete;
  DescriptorSink& operator=(const DescriptorSink&) = delete;

  /** Sets the queue of the lines for this sink, before the first line. */
  void SetQueue(spdlog::details::thread_pool& aQueue) { m_queue = &aQueue; }

  std::uint64_t Written() const { return m_written; }
  std::uint64_t Dropped() const { return m_dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    Append(aMessage);
    if (!AreLinesQueued()) {
      std::this_thread::sleep_for(kCollectTime);
    }
    if (!AreLinesQueued()) {
      WriteBuffer();
    }
  }

  void flush_() override {}

private:
  bool AreLinesQueued() const { return m_queue->queue_size() > 0; }

  void Append(const spdlog::details::log_msg& aMessage)
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    if (line.size() > kMaxLineBytes) {
      line.resize(kMaxLineBytes);
      line[kMaxLineBytes - 1] = '\n';
    }
    if (m_buffer.size() + line.size() > kMaxWriteBytes) {
      WriteBuffer();
    }
    m_buffer.append(line.data(), line.size());
    ++m_bufferedLines;
  }

  void WriteBuffer()
  {
    if (m_bufferedLines > 0) {
      (WaitUntilWritable() && Write() ? m_written : m_dropped) +=
        std::exchange(m_bufferedLines, 0);
      m_buffer.clear();
    }
  }

  bool WaitUntilWritable()
  {
    pollfd state{ m_descriptor, POLLOUT, 0 };
    const int ready = ::poll(&state, 1, m_stalled ? 0 : kPollTimeoutMs);
    m_stalled = ready <= 0 || (state.revents & POLLOUT) == 0;
    return !m_stalled;
  }

  bool Write() const
  {
    ssize_t written = 0;
    do {
      written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    } while (written < 0 && errno == EINTR);
    return written == static_cast<ssize_t>(m_buffer.size());
  }

  const int m_descriptor;
  spdlog::details::thread_pool* m_queue = nullptr;
  std::string m_buffer;
  std::uint64_t m_bufferedLines = 0;
  bool m_stalled = false;
  std::atomic<std::uint64_t> m_written = 0;
  std::atomic<std::uint64_t> m_dropped = 0;
};

class LogOutput : public ILogOutput
{
public:
  LogOutput(int aDescriptor, EventLevel aMinLevel)
    : m_sink(std::make_shared<DescriptorSink>(aDescriptor))
    , m_threads(
        std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1))
    , m_logger(std::make_shared<spdlog::async_logger>(
        "log",
        m_sink,
        m_threads,
        spdlog::async_overflow_policy::overrun_oldest))
  {
    m_sink->SetQueue(*m_threads);
    m_logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      kPattern, spdlog::pattern_time_type::utc));
    m_logger->set_level(ToSpdlog(aMinLevel));
  }

  bool IsEnabled(EventLevel aLevel) const override
  {
    return m_logger->should_log(ToSpdlog(aLevel));
  }

  void SetMinLevel(EventLevel aLevel) override
  {
    m_logger->set_level(ToSpdlog(aLevel));
  }

  void Write(EventLevel aLevel, std::string_view aFields) override
  {
    m_logger->log(ToSpdlog(aLevel), "level={} {}", LevelName(aLevel), aFields);
  }

  LogCounters Counters() const override
  {
    LogCounters counters;
    counters.m_written = m_sink->Written();
    counters.m_dropped = m_sink->Dropped() + m_threads->overrun_counter();
    return counters;
  }

private:
  std::shared_ptr<DescriptorSink> m_sink;
  /** Declared after the sink, so that its thread ends before the sink writes
   * the remaining lines. */
  std::shared_ptr<spdlog::details::thread_pool> m_threads;
  std::shared_ptr<spdlog::async_logger> m_logger;
};

} // namespace

std::unique_ptr<ILogOutput>
MakeLogOutput(int aDescriptor, EventLevel aMinLevel)
{
  return std::make_unique<LogOutput>(aDescriptor, aMinLevel);
}

} // namespace mulberrysail::telemetry
