#include "store/itimer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace mulberrysail::store {

namespace {

class ThreadTimer : public ITimer
{
public:
  ThreadTimer()
    : m_thread([this] { Run(); })
  {
  }

  ThreadTimer(const ThreadTimer&) = delete;
  ThreadTimer& operator=(const ThreadTimer&) = delete;

  ~ThreadTimer() override
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
  }

  core::Instant Now() const override
  {
    return core::Instant(std::chrono::duration_cast<core::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
  }

  void After(core::Duration aDelay, std::function<void()> aCallback) override
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_pending.emplace(std::chrono::steady_clock::now() + aDelay,
                        std::move(aCallback));
    }
    m_changed.notify_one();
  }

private:
  void Run()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
      if (m_pending.empty()) {
        m_changed.wait(lock);
        continue;
      }
      const auto first = m_pending.begin();
      if (first->first > std::chrono::steady_clock::now()) {
        // Adding a callback ends the wait, as it may be due earlier.
        const std::chrono::steady_clock::time_point due = first->first;
        m_changed.wait_until(lock, due);
        continue;
      }
      const std::function<void()> callback = std::move(first->second);
      m_pending.erase(first);
      lock.unlock();
      callback();
      lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
    m_pending;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace

std::unique_ptr<ITimer>
StartTimer()
{
  return std::make_unique<ThreadTimer>();
}

} // namespace mulberrysail::store
