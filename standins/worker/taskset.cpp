#include "standins/worker/taskset.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberrysail::standins {

namespace {

/** A task throttled to nothing still crawls, so that it ends some day. */
constexpr double kLeastSpeed = 0.001;

double
CoresUsed(const WorkerTask& aTask)
{
  return std::min(aTask.m_cores, aTask.m_throttle.value_or(aTask.m_cores));
}

double
Speed(const WorkerTask& aTask, double aShare)
{
  if (aTask.m_cores <= 0.0) {
    return 1.0;
  }
  return std::max(kLeastSpeed, aShare * CoresUsed(aTask) / aTask.m_cores);
}

Micros
Scale(Micros aTime, double aFactor)
{
  const double scaled = static_cast<double>(aTime.count()) * aFactor;
  return Micros(static_cast<Micros::rep>(std::ceil(scaled)));
}

} // namespace

TaskSet::TaskSet(double aCores)
  : m_cores(aCores)
{
}

TaskSet::Key
TaskSet::Add(Micros aNow, WorkerTask aTask)
{
  Advance(aNow);
  m_tasks.emplace(++m_lastKey, std::move(aTask));
  return m_lastKey;
}

WorkerTask
TaskSet::Take(Micros aNow, Key aKey)
{
  Advance(aNow);
  return std::move(m_tasks.extract(aKey).mapped());
}

void
TaskSet::Throttle(Micros aNow, const std::string& aRun, double aCores)
{
  Advance(aNow);
  for (const Key key : Find(aRun)) {
    m_tasks.at(key).m_throttle = aCores;
  }
}

std::vector<TaskSet::Key>
TaskSet::Find(const std::string& aRun) const
{
  std::vector<Key> keys;
  for (const auto& [key, task] : m_tasks) {
    if (task.m_run == aRun) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<TaskSet::Key>
TaskSet::Ended(Micros aNow)
{
  Advance(aNow);
  std::vector<Key> keys;
  for (const auto& [key, task] : m_tasks) {
    if (task.m_left <= Micros::zero()) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<TaskSet::Key>
TaskSet::Lapsed(Micros aNow) const
{
  std::vector<Key> keys;
  for (const auto& [key, task] : m_tasks) {
    if (task.m_leaseEnd <= aNow) {
      keys.push_back(key);
    }
  }
  return keys;
}

Micros
TaskSet::NextChange() const
{
  const double share = Share();
  Micros next = Micros::max();
  for (const auto& [key, task] : m_tasks) {
    const Micros end = m_now + Scale(task.m_left, 1.0 / Speed(task, share));
    next = std::min({ next, end, task.m_leaseEnd });
  }
  return next;
}

std::uint64_t
TaskSet::MemoryMb() const
{
  std::uint64_t sum = 0;
  for (const auto& [key, task] : m_tasks) {
    sum += task.m_memoryMb;
  }
  return sum;
}

void
TaskSet::Advance(Micros aNow)
{
  const double share = Share();
  const Micros passed = aNow - m_now;
  for (auto& [key, task] : m_tasks) {
    task.m_left -= Scale(passed, Speed(task, share));
  }
  m_now = aNow;
}

double
TaskSet::Share() const
{
  double wanted = 0.0;
  for (const auto& [key, task] : m_tasks) {
    wanted += CoresUsed(task);
  }
  return wanted > m_cores ? m_cores / wanted : 1.0;
}

} // namespace mulberrysail::standins
