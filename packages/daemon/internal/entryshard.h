#pragma once

#include "core/ientry.h"
#include "daemon/iadapter.h"
#include "daemon/internal/wakeuptimer.h"
#include "network/imessagetransport.h"
#include "telemetry/ieventlog.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mulberrysail::daemon {

/**
 * One entry core under its lock, with the transport that it sends by. Events
 * of all threads are handed to it here. What it sends and records goes out in
 * the order of the lock; answers to callers are given after it is released.
 */
class EntryShard
{
public:
  /** @param aWakeup woken by as client @p aWakeupClient. */
  EntryShard(std::unique_ptr<core::IEntry> aCore,
             telemetry::IEventLog& aEvents,
             WakeupTimer& aWakeup,
             std::size_t aWakeupClient);

  using TransportStart =
    std::function<core::Result<std::unique_ptr<network::IMessageTransport>>()>;

  /** Starts the transport, whose hooks may call at once. */
  std::optional<core::Error> StartTransport(const TransportStart& aStart);

  /** Ends the transport, whose queue is sent first. */
  void StopTransport();

  network::IMessageTransport& Transport() const { return *m_transport; }

  /** Hands an event to the core. */
  void Handle(core::EntryEvent aEvent);

  /** Hands over a submission.
   * @return its caller's token, for HandleDisconnect(). */
  core::CallerToken Submit(core::SubmitRequest aRequest, AnswerSink aSink);
  core::CallerToken Submit(core::SubmitJob aJob, AnswerSink aSink);

  /** Hands over a job for which no caller waits.
   * @return its id if it was admitted, else the answer. */
  std::variant<core::SubmissionId, core::Answer> SubmitDetached(
    core::SubmitJob aJob);

  /** Tells that the caller's connection has ended. */
  void HandleDisconnect(core::CallerToken aCaller);

  std::optional<core::SubmissionStatus> Status(
    core::SubmissionId aSubmission) const;
  std::optional<core::SubmissionStatus> Find(const std::string& aName) const;
  std::size_t Pending(std::string_view aQueue) const;
  std::vector<core::AgentStatus> Agents() const;
  core::EntryCounters Counters() const;
  bool Idle() const;

private:
  /** An answer and whom to give it. */
  struct PendingAnswer
  {
    AnswerSink m_sink;
    core::Answer m_answer;
  };
  using PendingAnswers = std::vector<PendingAnswer>;
  class Executor;

  template<typename Submission>
  core::CallerToken SubmitAndRegister(Submission aSubmission, AnswerSink aSink);

  /** Lets the core decide; the lock is held. */
  void HandleInCore(core::EntryEvent aEvent);
  /** Does what the core has asked for; the lock is held. */
  PendingAnswers ExecuteCommands();
  core::CallerToken NextToken();
  static void DeliverAnswers(PendingAnswers aAnswers);

  mutable std::mutex m_mutex;
  std::unique_ptr<core::IEntry> m_core;
  std::unique_ptr<network::IMessageTransport> m_transport;
  telemetry::IEventLog& m_events;
  WakeupTimer& m_wakeup;
  std::size_t m_wakeupClient;
  core::EntryCommands m_commands;
  core::Instant m_nextWake = core::kNever;
  std::uint64_t m_lastToken = 0;
  std::unordered_map<core::CallerToken, AnswerSink> m_callers;
};

} // namespace mulberrysail::daemon
