#pragma once

#include "network/ihttpserver.h"
#include "standins/common/eventloop.h"
#include "standins/common/payload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::standins {

/** One task that runs on a worker. */
struct WorkerTask
{
  std::string m_run;
  std::string m_body;
  Payload m_payload;
  /** What it takes, which need not be what was declared. */
  double m_cores = 1.0;
  std::uint32_t m_memoryMb = 0;
  /** Run time left at full speed. */
  Micros m_left{ 0 };
  Micros m_leaseEnd = Micros::max();
  /** Cores left to it by throttling. */
  std::optional<double> m_throttle;
  network::HttpResponder m_responder;
};

/** The tasks that share a worker's cores. If they want more cores than there
 * are, all are slowed down in proportion. */
class TaskSet
{
public:
  using Key = std::uint64_t;

  explicit TaskSet(double aCores);

  Key Add(Micros aNow, WorkerTask aTask);

  /** @return the task, taken out. */
  WorkerTask Take(Micros aNow, Key aKey);

  /** Limits the tasks of run @p aRun to @p aCores. */
  void Throttle(Micros aNow, const std::string& aRun, double aCores);

  std::vector<Key> Find(const std::string& aRun) const;

  /** @return tasks that have done their work by @p aNow. */
  std::vector<Key> Ended(Micros aNow);

  /** @return tasks whose lease has lapsed by @p aNow. */
  std::vector<Key> Lapsed(Micros aNow) const;

  /** @return when the next task ends or lapses, if nothing changes; the
   * maximum if there is none. */
  Micros NextChange() const;

  std::uint64_t MemoryMb() const;

  const std::map<Key, WorkerTask>& Tasks() const { return m_tasks; }

private:
  /** Takes the time since the last call off what is left of each task. */
  void Advance(Micros aNow);
  double Share() const;

  double m_cores;
  std::map<Key, WorkerTask> m_tasks;
  Key m_lastKey = 0;
  Micros m_now{ 0 };
};

} // namespace mulberrysail::standins
