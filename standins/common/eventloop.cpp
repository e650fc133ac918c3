#include "standins/common/eventloop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <utility>

namespace mulberrysail::standins {

struct EventLoop::Impl
{
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_guard{
    m_context.get_executor()
  };
  asio::signal_set m_signals{ m_context };
};

Micros
MonotonicNow()
{
  return std::chrono::duration_cast<Micros>(
    std::chrono::steady_clock::now().time_since_epoch());
}

Micros
WallNow()
{
  return std::chrono::duration_cast<Micros>(
    std::chrono::system_clock::now().time_since_epoch());
}

EventLoop::EventLoop()
  : m_impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void
EventLoop::Post(Task aTask)
{
  asio::post(m_impl->m_context, std::move(aTask));
}

void
EventLoop::After(Micros aDelay, Task aTask)
{
  const std::shared_ptr<asio::steady_timer> timer =
    std::make_shared<asio::steady_timer>(m_impl->m_context, aDelay);
  timer->async_wait([timer, task = std::move(aTask)](asio::error_code aError) {
    if (!aError) {
      task();
    }
  });
}

void
EventLoop::OnTerminate(Task aTask)
{
  m_impl->m_signals.add(SIGTERM);
  m_impl->m_signals.add(SIGINT);
  m_impl->m_signals.async_wait(
    [task = std::move(aTask)](asio::error_code aError, int) {
      if (!aError) {
        task();
      }
    });
}

void
EventLoop::Run()
{
  m_impl->m_context.run();
}

void
EventLoop::Quit()
{
  m_impl->m_context.stop();
}

asio::io_context&
EventLoop::Context()
{
  return m_impl->m_context;
}

} // namespace mulberrysail::standins
