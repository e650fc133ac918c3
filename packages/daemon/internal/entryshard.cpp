#include "daemon/internal/entryshard.h"

#include "daemon/internal/clock.h"

#include <utility>

namespace mulberrysail::daemon {

namespace {

/** @return the id of the job admitted for @p aCaller, else the refusal; an
 * Internal error if the core emitted neither. */
std::variant<core::SubmissionId, core::Answer>
FindAdmission(const core::EntryCommands& aCommands, core::CallerToken aCaller)
{
  core::Answer refusal;
  refusal.m_kind = core::ErrorKind::Internal;
  refusal.m_execution = core::Execution::MayHaveRun;
  for (const core::EntryCommand& command : aCommands) {
    const core::SendSubmissionId* opened =
      std::get_if<core::SendSubmissionId>(&command);
    if (opened != nullptr && opened->m_caller == aCaller) {
      return opened->m_submission;
    }
    const core::AnswerCaller* answer =
      std::get_if<core::AnswerCaller>(&command);
    if (answer != nullptr && answer->m_caller == aCaller) {
      refusal = answer->m_answer;
    }
  }
  return refusal;
}

} // namespace

/** Executes the commands that the core emitted for one event. */
class EntryShard::Executor
{
public:
  Executor(EntryShard& aShard, PendingCalls& aPending)
    : m_shard(aShard)
    , m_pending(aPending)
  {
  }

  void operator()(core::SendMessage& aSend) const
  {
    m_shard.m_transport->Send(std::move(aSend.m_to),
                              std::move(aSend.m_message));
  }

  void operator()(core::AnswerCaller& aAnswer) const
  {
    const auto caller = m_shard.m_answerSinks.find(aAnswer.m_caller);
    if (caller == m_shard.m_answerSinks.end()) {
      return;
    }
    m_pending.m_answers.push_back(
      { std::move(caller->second), std::move(aAnswer.m_answer) });
    m_shard.m_answerSinks.erase(caller);
  }

  /** Does nothing: SubmitDetached() reads this command. */
  void operator()(const core::SendSubmissionId& /*aOpened*/) const {}

  void operator()(core::RecordEvent& aRecord) const
  {
    m_shard.m_events.Record(std::move(aRecord));
  }

  void operator()(core::ApplyConfig& aConfig) const
  {
    m_pending.m_configs.push_back(std::move(aConfig));
  }

  void operator()(const core::ChangeRotation& aChange) const
  {
    m_pending.m_rotation = aChange;
  }

private:
  EntryShard& m_shard;
  PendingCalls& m_pending;
};

EntryShard::EntryShard(std::unique_ptr<core::IEntry> aCore,
                       telemetry::IEventLog& aEvents,
                       WakeupTimer& aWakeup,
                       std::size_t aWakeupClient)
  : m_core(std::move(aCore))
  , m_events(aEvents)
  , m_wakeup(aWakeup)
  , m_wakeupClient(aWakeupClient)
{
}

std::optional<core::Error>
EntryShard::StartTransport(const TransportStart& aStart)
{
  // Holding the lock blocks hooks that are called before m_transport is set.
  const std::lock_guard<std::mutex> lock(m_mutex);
  core::Result<std::unique_ptr<network::IMessageTransport>> transport =
    aStart();
  if (!transport) {
    return transport.error();
  }
  m_transport = std::move(transport).value();
  return std::nullopt;
}

void
EntryShard::StopTransport()
{
  if (m_transport) {
    m_transport->Stop();
  }
}

void
EntryShard::Handle(core::EntryEvent aEvent)
{
  PendingCalls pending;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (std::holds_alternative<core::TimerFired>(aEvent)) {
      StateMessageProgress();
    }
    HandleInCore(std::move(aEvent));
    pending = ExecuteCommands();
  }
  MakeCalls(std::move(pending));
}

core::CallerToken
EntryShard::Submit(core::SubmitRequest aRequest, AnswerSink aSink)
{
  return SubmitAndRegister(std::move(aRequest), std::move(aSink));
}

core::CallerToken
EntryShard::Submit(core::SubmitJob aJob, AnswerSink aSink)
{
  return SubmitAndRegister(std::move(aJob), std::move(aSink));
}

template<typename Submission>
core::CallerToken
EntryShard::SubmitAndRegister(Submission aSubmission, AnswerSink aSink)
{
  PendingCalls pending;
  core::CallerToken token;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    token = NextToken();
    m_answerSinks.emplace(token, std::move(aSink));
    aSubmission.m_caller = token;
    StateMessageProgress();
    HandleInCore(std::move(aSubmission));
    pending = ExecuteCommands();
  }
  MakeCalls(std::move(pending));
  return token;
}

std::variant<core::SubmissionId, core::Answer>
EntryShard::SubmitDetached(core::SubmitJob aJob)
{
  PendingCalls pending;
  std::variant<core::SubmissionId, core::Answer> result;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const core::CallerToken token = NextToken();
    aJob.m_caller = token;
    aJob.m_detached = true;
    HandleInCore(std::move(aJob));
    result = FindAdmission(m_commands, token);
    pending = ExecuteCommands();
  }
  MakeCalls(std::move(pending));
  return result;
}

void
EntryShard::HandleDisconnect(core::CallerToken aCaller)
{
  PendingCalls pending;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_answerSinks.erase(aCaller) == 0) {
      return;
    }
    HandleInCore(core::CallerGone{ aCaller });
    pending = ExecuteCommands();
  }
  MakeCalls(std::move(pending));
}

std::optional<core::SubmissionStatus>
EntryShard::Status(core::SubmissionId aSubmission) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Status(aSubmission);
}

std::optional<core::SubmissionStatus>
EntryShard::FindStatusByName(const std::string& aName) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Find(aName);
}

std::size_t
EntryShard::CountPendingJobs(std::string_view aQueue) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->PendingJobs(aQueue);
}

std::vector<core::AgentStatus>
EntryShard::Agents() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Agents();
}

core::ZoneDrains
EntryShard::Drains() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Drains();
}

core::EntryCounters
EntryShard::Counters() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_core->Counters();
}

bool
EntryShard::Idle() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_answerSinks.empty() && m_core->Idle();
}

void
EntryShard::StateMessageProgress()
{
  HandleInCore(core::MessagesHandled{ m_transport->HandledUntil() });
}

void
EntryShard::HandleInCore(core::EntryEvent aEvent)
{
  m_core->Handle(Now(), std::move(aEvent), m_commands);
}

EntryShard::PendingCalls
EntryShard::ExecuteCommands()
{
  PendingCalls pending;
  for (core::EntryCommand& command : m_commands) {
    std::visit(Executor(*this, pending), command);
  }
  m_commands.clear();
  const core::Instant wake = m_core->NextWake();
  // The timer clears an instant when it fires, so an instant in the past has
  // to be set again even if it is unchanged.
  if (wake != m_nextWake || wake <= Now()) {
    m_nextWake = wake;
    m_wakeup.Set(m_wakeupClient, wake);
  }
  return pending;
}

core::CallerToken
EntryShard::NextToken()
{
  return { ++m_lastToken };
}

void
EntryShard::SetConfigSink(ConfigSink aSink)
{
  m_configSink = std::move(aSink);
}

void
EntryShard::SetRotationSink(RotationSink aSink)
{
  m_rotationSink = std::move(aSink);
}

void
EntryShard::MakeCalls(PendingCalls aPending) const
{
  for (PendingAnswer& pending : aPending.m_answers) {
    pending.m_sink(std::move(pending.m_answer));
  }
  for (core::ApplyConfig& config : aPending.m_configs) {
    if (m_configSink) {
      m_configSink(std::move(config));
    }
  }
  if (aPending.m_rotation && m_rotationSink) {
    m_rotationSink(*aPending.m_rotation);
  }
}

} // namespace mulberrysail::daemon
