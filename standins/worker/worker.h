#pragma once

#include "network/ihttpserver.h"
#include "standins/common/departure.h"
#include "standins/common/eventloop.h"
#include "standins/common/runhost.h"
#include "standins/worker/announcer.h"
#include "standins/worker/taskset.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace mulberrysail::standins {

struct WorkerOptions
{
  std::string m_name;
  std::string m_rack;
  double m_cores = 16.0;
  std::uint32_t m_memoryMb = 32768;
  std::uint32_t m_accelerators = 0;
  /** Where agents reach it. */
  std::string m_ownUrl;
  std::chrono::milliseconds m_usageLag{ 0 };
  std::string m_journalPath;
  /** Run times are multiplied by this. */
  double m_speed = 1.0;
};

/** Runs all tasks that it is given, whether they fit or not. Used from the
 * loop's thread. */
class Worker
{
public:
  Worker(EventLoop& aLoop,
         network::IHttpClient& aClient,
         WorkerOptions aOptions,
         AnnouncerOptions aAnnouncer);

  /** Announces itself now and each period. */
  void Start();

  /** Says that it leaves, ends what is open, then quits the loop. */
  void Leave();

  void Handle(network::HttpRequest aRequest, network::HttpResponder aResponder);

private:
  void StartTask(std::string_view aRun,
                 network::HttpRequest aRequest,
                 network::HttpResponder aResponder);
  void Act(std::string_view aRun,
           std::string_view aAction,
           const network::HttpRequest& aRequest,
           const network::HttpResponder& aResponder);
  void Stop(std::string_view aRun);
  void Finish(TaskSet::Key aKey, const char* aEvent, const char* aFault);
  void FinishDue();
  void TasksChanged();
  void ReportUsageLater();
  nlohmann::json Announcement() const;
  nlohmann::json Usage() const;
  bool Leaving() const;

  EventLoop& m_loop;
  WorkerOptions m_options;
  RunHost m_host;
  Departure m_departure;
  TaskSet m_tasks;
  /** Usage as it was before the lag. */
  nlohmann::json m_reportedUsage = nlohmann::json::array();
  /** Tells a timer whether the tasks have changed since it was set. */
  std::uint64_t m_timerGeneration = 0;
  Announcer m_announcer;
};

} // namespace mulberrysail::standins
