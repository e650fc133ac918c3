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
 * Serializes events from all threads to one entry core with a lock, and
 * executes the core's commands. Messages are sent and events recorded under the
 * lock, so they keep the order of the core's events. Answers are delivered to
 * callers after the lock is released.
 */
class EntryShard
{
public:
  /** @param aWakeup the timer for the core's next wake-up.
   * @param aWakeupClient the index of this shard among the timer's clients. */
  EntryShard(std::unique_ptr<core::IEntry> aCore,
             telemetry::IEventLog& aEvents,
             WakeupTimer& aWakeup,
             std::size_t aWakeupClient);

  using TransportStart =
    std::function<core::Result<std::unique_ptr<network::IMessageTransport>>()>;

  /** Starts the transport. Its hooks may be called before this returns. */
  std::optional<core::Error> StartTransport(const TransportStart& aStart);

  using ConfigSink = std::function<void(core::ApplyConfig)>;

  /** Sets the receiver of configurations that came from peers. To be called
   * before the transport is started. */
  void SetConfigSink(ConfigSink aSink);

  using RotationSink = std::function<void(core::ChangeRotation)>;
  /** Sets what carries out changes of the rotation, before the first event. */
  void SetRotationSink(RotationSink aSink);

  /** Stops the transport, after its queue was sent. */
  void StopTransport();

  network::IMessageTransport& Transport() const { return *m_transport; }

  /** Passes an event to the core and executes the resulting commands. */
  void Handle(core::EntryEvent aEvent);

  /** Submits a request or a job.
   * @param aSink receives the answer.
   * @return the caller's token, for HandleDisconnect(). */
  core::CallerToken Submit(core::SubmitRequest aRequest, AnswerSink aSink);
  core::CallerToken Submit(core::SubmitJob aJob, AnswerSink aSink);

  /** Submits a job whose caller does not wait for the answer.
   * @return the id of the job if it was admitted, else the refusal. */
  std::variant<core::SubmissionId, core::Answer> SubmitDetached(
    core::SubmitJob aJob);

  /** Notifies the core that the caller's connection has ended. Has no effect
   * if the caller was already answered. */
  void HandleDisconnect(core::CallerToken aCaller);

  std::optional<core::SubmissionStatus> Status(
    core::SubmissionId aSubmission) const;
  std::optional<core::SubmissionStatus> FindStatusByName(
    const std::string& aName) const;
  std::size_t CountPendingJobs(std::string_view aQueue) const;
  std::vector<core::AgentStatus> Agents() const;
  core::ZoneDrains Drains() const;
  core::EntryCounters Counters() const;
  bool Idle() const;

private:
  /** An answer that is not delivered yet, and its receiver. */
  struct PendingAnswer
  {
    AnswerSink m_sink;
    core::Answer m_answer;
  };
  /** Calls to make after the lock is released. */
  struct PendingCalls
  {
    std::vector<PendingAnswer> m_answers;
    std::vector<core::ApplyConfig> m_configs;
    std::optional<core::ChangeRotation> m_rotation;
  };
  class Executor;

  template<typename Submission>
  core::CallerToken SubmitAndRegister(Submission aSubmission, AnswerSink aSink);

  /** States to the core how far the transport has come with its messages. The
   * lock must be held. */
  void StateMessageProgress();
  /** Passes an event to the core, which adds to m_commands. The lock must be
   * held. */
  void HandleInCore(core::EntryEvent aEvent);
  /** Executes and clears m_commands and sets the timer. The lock must be held.
   * @return the calls to make after the lock is released. */
  PendingCalls ExecuteCommands();
  core::CallerToken NextToken();
  void MakeCalls(PendingCalls aPending) const;

  mutable std::mutex m_mutex;
  std::unique_ptr<core::IEntry> m_core;
  std::unique_ptr<network::IMessageTransport> m_transport;
  telemetry::IEventLog& m_events;
  WakeupTimer& m_wakeup;
  std::size_t m_wakeupClient;
  core::EntryCommands m_commands;
  core::Instant m_nextWake = core::kNever;
  std::uint64_t m_lastToken = 0;
  std::unordered_map<core::CallerToken, AnswerSink> m_answerSinks;
  ConfigSink m_configSink;
  RotationSink m_rotationSink;
};

} // namespace mulberrysail::daemon
