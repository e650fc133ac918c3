#include "core/internal/entry/forwardcontroller.h"

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** A peer with a higher used share gets no forwarded jobs. */
constexpr std::uint32_t kEligibleBelowPercent = 50;
/** Forwarded jobs may raise the used share of a peer up to this value. */
constexpr std::uint32_t kFillUpToPercent = 60;
/** The peer's deadline is earlier by this time, because its answer states more
 * precisely than this entry's whether the job ran. */
constexpr Duration kAnswerTransit = std::chrono::milliseconds(20);
constexpr std::uint32_t kHundred = 100;

bool
IsEligible(const ForwardPeer& aPeer)
{
  return aPeer.m_load && aPeer.m_load->m_acceptsForwardedJobs &&
         !aPeer.m_load->m_draining &&
         aPeer.m_load->m_usedPercent < kEligibleBelowPercent;
}

EventDetail
DescribeForward(const OutgoingForward& aForward, Duration aAge)
{
  return DescribeProcess("peer", aForward.m_peer)
    .Add("queue", aForward.m_job.m_queue)
    .Add("items", aForward.m_job.m_tasks.size())
    .Add("age_ms", aAge);
}

} // namespace

bool
ForwardController::TakeJob(EntryEventContext& aContext, SubmitJob& aJob)
{
  if (JoinForwardedJob(aJob)) {
    return true;
  }
  if (!ShouldForward(aJob)) {
    return false;
  }
  const std::optional<ProcessId> peer = ChoosePeer();
  if (!peer) {
    return false;
  }
  Forward(aContext, *peer, std::move(aJob));
  return true;
}

bool
ForwardController::JoinForwardedJob(const SubmitJob& aJob)
{
  ForwardState& state = m_board.m_forwarding;
  const auto named = state.m_outgoingByName.find(aJob.m_name);
  if (aJob.m_name.empty() || named == state.m_outgoingByName.end()) {
    return false;
  }
  state.m_outgoing.at(named->second).m_joinedCallers.push_back(aJob.m_caller);
  state.m_outgoingCallers[aJob.m_caller] = named->second;
  return true;
}

bool
ForwardController::ShouldForward(const SubmitJob& aJob)
{
  const std::uint32_t percent = m_board.m_forwarding.m_share.Percent();
  // The message has no field for the service of a job without a queue, and a
  // detached job needs its id at once.
  if (percent == 0 || !m_board.ForwardsJobs() || m_board.m_draining ||
      aJob.m_detached || !m_board.m_config.m_queues.contains(aJob.m_queue) ||
      (!aJob.m_name.empty() && m_board.m_byName.contains(aJob.m_name))) {
    return false;
  }
  boost::random::uniform_int_distribution<std::uint32_t> draw(0, kHundred - 1);
  return draw(m_board.m_random) < percent;
}

std::optional<ProcessId>
ForwardController::ChoosePeer()
{
  std::vector<ProcessId> eligible;
  std::vector<double> weights;
  for (const ProcessId& id : m_board.m_peers) {
    const auto peer = m_board.m_forwarding.m_peers.find(id);
    if (peer == m_board.m_forwarding.m_peers.end() ||
        !IsEligible(peer->second)) {
      continue;
    }
    const PeerLoad& load = *peer->second.m_load;
    eligible.push_back(id);
    weights.push_back(static_cast<double>(load.m_allowedMilliCores) *
                      (kFillUpToPercent - load.m_usedPercent));
  }
  if (eligible.empty()) {
    return std::nullopt;
  }
  boost::random::discrete_distribution<std::size_t> draw(weights.begin(),
                                                         weights.end());
  return eligible[draw(m_board.m_random)];
}

void
ForwardController::Forward(EntryEventContext& aContext,
                           const ProcessId& aPeer,
                           SubmitJob aJob)
{
  ForwardState& state = m_board.m_forwarding;
  const ForwardId id{ m_board.NextId() };
  const Duration deadline = aJob.m_deadline.value_or(
    m_board.m_config.m_queues.find(aJob.m_queue)->second.m_timeout);
  ForwardPeer& peer = state.m_peers[aPeer];
  if (!peer.HasOpenForwards()) {
    peer.m_heardAt = aContext.m_now;
  }
  ++peer.m_outgoing;
  ++m_board.m_counters.m_forwarded;
  OutgoingForward forward;
  forward.m_peer = aPeer;
  forward.m_forwardedAt = aContext.m_now;
  forward.m_deadline = aContext.m_now + deadline;
  aContext.Send(aPeer,
                ForwardJob{ id,
                            aJob.m_queue,
                            aJob.m_team,
                            aJob.m_name,
                            std::max(deadline - kAnswerTransit, deadline / 2),
                            aJob.m_tasks,
                            aJob.m_steps });
  aContext.Record(EventCode::JobForwarded,
                  id.m_value,
                  DescribeProcess("peer", aPeer)
                    .Add("queue", aJob.m_queue)
                    .Add("items", aJob.m_tasks.size())
                    .Add("deadline_in_ms", deadline)
                    .Add("share_percent", state.m_share.Percent()),
                  aJob.m_name);
  state.m_outgoingCallers[aJob.m_caller] = id;
  if (!aJob.m_name.empty()) {
    state.m_outgoingByName[aJob.m_name] = id;
  }
  forward.m_job = std::move(aJob);
  m_board.m_timers.Add(forward.m_deadline, ForwardDeadlineTimer{ id });
  state.m_outgoing.emplace(id, std::move(forward));
  m_board.ArmForwardTimer(aContext.m_now);
}

void
ForwardController::OnResult(EntryEventContext& aContext,
                            const ProcessId& aFrom,
                            ForwardResult aResult)
{
  ForwardState& state = m_board.m_forwarding;
  const auto found = state.m_outgoing.find(aResult.m_forward);
  if (found == state.m_outgoing.end() || found->second.m_peer != aFrom) {
    ++m_board.m_counters.m_repliesDropped;
    return;
  }
  Answer& answer = aResult.m_answer;
  const bool notTaken = answer.m_execution == Execution::NotRun &&
                        (answer.m_kind == ErrorKind::Draining ||
                         answer.m_kind == ErrorKind::UnknownService);
  if (notTaken) {
    if (answer.m_kind == ErrorKind::Draining) {
      state.m_peers[aFrom].m_load.reset();
    }
    HandleHere(aContext, aResult.m_forward, answer.m_detail);
    return;
  }
  EventDetail detail =
    DescribeForward(found->second, aContext.m_now - found->second.m_forwardedAt)
      .Add("cause", DescribeError(answer.m_kind).m_name)
      .Add("execution", ExecutionName(answer.m_execution));
  if (answer.m_kind != ErrorKind::None) {
    detail.Add("why", answer.m_detail);
  }
  aContext.Record(EventCode::ForwardedJobAnswered,
                  aResult.m_forward.m_value,
                  std::move(detail),
                  found->second.m_job.m_name);
  AnswerCallers(aContext, aResult.m_forward, std::move(answer));
}

void
ForwardController::OnNotSent(EntryEventContext& aContext,
                             const ProcessId& aTo,
                             const ForwardJob& aJob)
{
  ForwardState& state = m_board.m_forwarding;
  state.m_peers[aTo].m_load.reset();
  const auto found = state.m_outgoing.find(aJob.m_forward);
  if (found != state.m_outgoing.end() && found->second.m_peer == aTo) {
    HandleHere(aContext, aJob.m_forward, "the job could not be sent");
  }
}

bool
ForwardController::OnCallerGone(EntryEventContext& aContext,
                                CallerToken aCaller)
{
  ForwardState& state = m_board.m_forwarding;
  const auto waiting = state.m_outgoingCallers.find(aCaller);
  if (waiting == state.m_outgoingCallers.end()) {
    return false;
  }
  const ForwardId id = waiting->second;
  OutgoingForward& forward = state.m_outgoing.at(id);
  aContext.Record(EventCode::CallerGone,
                  id.m_value,
                  EventDetail()
                    .Add("age_ms", aContext.m_now - forward.m_forwardedAt)
                    .Add("others", forward.m_joinedCallers.size()),
                  forward.m_job.m_name);
  std::vector<CallerToken>& joined = forward.m_joinedCallers;
  if (forward.m_job.m_caller == aCaller && joined.empty()) {
    return OnCancel(aContext, { id.m_value });
  }
  state.m_outgoingCallers.erase(waiting);
  if (forward.m_job.m_caller == aCaller) {
    forward.m_job.m_caller = joined.back();
    joined.pop_back();
  } else {
    std::erase(joined, aCaller);
  }
  return true;
}

bool
ForwardController::OnCancel(EntryEventContext& aContext,
                            SubmissionId aSubmission)
{
  const ForwardId id{ aSubmission.m_value };
  const auto found = m_board.m_forwarding.m_outgoing.find(id);
  if (found == m_board.m_forwarding.m_outgoing.end()) {
    return false;
  }
  ++m_board.m_counters.m_forwardsCancelled;
  aContext.Record(EventCode::SubmissionCancelled,
                  id.m_value,
                  DescribeForward(found->second,
                                  aContext.m_now - found->second.m_forwardedAt),
                  found->second.m_job.m_name);
  SendCancel(aContext, id);
  Answer answer;
  answer.m_kind = ErrorKind::CancelledRunning;
  answer.m_execution = Execution::MayHaveRun;
  answer.m_detail = "cancelled by its caller";
  AnswerCallers(aContext, id, std::move(answer));
  return true;
}

void
ForwardController::OnDeadline(EntryEventContext& aContext, ForwardId aForward)
{
  if (!m_board.m_forwarding.m_outgoing.contains(aForward)) {
    return;
  }
  ++m_board.m_counters.m_forwardsUnanswered;
  SendCancel(aContext, aForward);
  Answer answer;
  answer.m_kind = ErrorKind::DeadlinePassedRunning;
  answer.m_execution = Execution::MayHaveRun;
  answer.m_detail = "the deadline has passed";
  answer.m_retryAfter = m_answers.RetryAfter(Duration::zero());
  AnswerCallers(aContext, aForward, std::move(answer));
}

void
ForwardController::OnDoubt(EntryEventContext& aContext, const ProcessId& aPeer)
{
  const Instant answerBy = aContext.m_now + m_board.m_policy.m_agentTimeout;
  for (auto& [id, forward] : m_board.m_forwarding.m_outgoing) {
    if (forward.m_peer == aPeer) {
      forward.m_answerBy = std::min(forward.m_answerBy, answerBy);
    }
  }
}

void
ForwardController::OnPeerLost(EntryEventContext& aContext,
                              const ProcessId& aPeer,
                              std::string_view aWhy)
{
  ForwardState& state = m_board.m_forwarding;
  state.m_peers[aPeer].m_load.reset();
  std::vector<ForwardId> open;
  for (const auto& [id, forward] : state.m_outgoing) {
    if (forward.m_peer == aPeer) {
      open.push_back(id);
    }
  }
  std::sort(open.begin(), open.end());
  for (const ForwardId id : open) {
    FailUnanswered(aContext, id, aWhy);
  }
}

void
ForwardController::CheckDoubtful(EntryEventContext& aContext)
{
  std::vector<ForwardId> expired;
  for (const auto& [id, forward] : m_board.m_forwarding.m_outgoing) {
    if (forward.m_answerBy <= aContext.m_now) {
      expired.push_back(id);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const ForwardId id : expired) {
    FailUnanswered(aContext, id, "messages of the peer may have been lost");
  }
}

std::optional<SubmissionStatus>
ForwardController::Status(SubmissionId aSubmission) const
{
  const ForwardState& state = m_board.m_forwarding;
  const auto found = state.m_outgoing.find(ForwardId{ aSubmission.m_value });
  if (found == state.m_outgoing.end()) {
    return std::nullopt;
  }
  SubmissionStatus status;
  status.m_submission = aSubmission;
  status.m_service = found->second.m_job.m_service;
  status.m_team = found->second.m_job.m_team;
  status.m_waiting =
    static_cast<std::uint32_t>(found->second.m_job.m_tasks.size());
  return status;
}

std::optional<SubmissionId>
ForwardController::Find(const std::string& aName) const
{
  const ForwardState& state = m_board.m_forwarding;
  const auto named = state.m_outgoingByName.find(aName);
  return named == state.m_outgoingByName.end()
           ? std::nullopt
           : std::optional(SubmissionId{ named->second.m_value });
}

OutgoingForward
ForwardController::Close(ForwardId aForward)
{
  ForwardState& state = m_board.m_forwarding;
  auto node = state.m_outgoing.extract(aForward);
  OutgoingForward forward = std::move(node.mapped());
  const auto peer = state.m_peers.find(forward.m_peer);
  if (peer != state.m_peers.end()) {
    --peer->second.m_outgoing;
  }
  state.m_outgoingCallers.erase(forward.m_job.m_caller);
  for (const CallerToken caller : forward.m_joinedCallers) {
    state.m_outgoingCallers.erase(caller);
  }
  const auto named = state.m_outgoingByName.find(forward.m_job.m_name);
  if (named != state.m_outgoingByName.end() && named->second == aForward) {
    state.m_outgoingByName.erase(named);
  }
  return forward;
}

void
ForwardController::HandleHere(EntryEventContext& aContext,
                              ForwardId aForward,
                              std::string_view aWhy)
{
  OutgoingForward forward = Close(aForward);
  ++m_board.m_counters.m_forwardsTakenBack;
  aContext.Record(
    EventCode::ForwardFailed,
    aForward.m_value,
    DescribeForward(forward, aContext.m_now - forward.m_forwardedAt)
      .Add("outcome", "taken-back")
      .Add("why", aWhy),
    forward.m_job.m_name);
  SubmitJob job = std::move(forward.m_job);
  job.m_deadline =
    std::max(forward.m_deadline - aContext.m_now, Duration::zero());
  const CallerToken caller = job.m_caller;
  m_admission.OnJob(aContext, std::move(job));
  if (!forward.m_joinedCallers.empty()) {
    JoinCallers(aContext, caller, forward.m_joinedCallers);
  }
}

void
ForwardController::JoinCallers(EntryEventContext& aContext,
                               CallerToken aCaller,
                               const std::vector<CallerToken>& aJoined)
{
  const auto open = m_board.m_callers.find(aCaller);
  if (open != m_board.m_callers.end()) {
    const SubmissionId id = open->second;
    for (const CallerToken caller : aJoined) {
      m_board.Find(id)->m_joinedCallers.push_back(caller);
      m_board.m_callers[caller] = id;
    }
    return;
  }
  // The job was refused, and the answer is among the commands.
  const auto isAnswer = [&](const EntryCommand& aCommand) {
    const AnswerCaller* const answer = std::get_if<AnswerCaller>(&aCommand);
    return answer != nullptr && answer->m_caller == aCaller;
  };
  const auto found = std::find_if(
    aContext.m_commands.rbegin(), aContext.m_commands.rend(), isAnswer);
  if (found == aContext.m_commands.rend()) {
    return;
  }
  const Answer answer = std::get<AnswerCaller>(*found).m_answer;
  for (const CallerToken caller : aJoined) {
    aContext.m_commands.emplace_back(AnswerCaller{ caller, answer });
  }
}

void
ForwardController::AnswerCallers(EntryEventContext& aContext,
                                 ForwardId aForward,
                                 Answer aAnswer)
{
  OutgoingForward forward = Close(aForward);
  const SubmissionId id{ aForward.m_value };
  aAnswer.m_submission = id;
  SubmissionStatus status;
  status.m_submission = id;
  status.m_service = std::move(forward.m_job.m_service);
  status.m_team = std::move(forward.m_job.m_team);
  status.m_done = static_cast<std::uint32_t>(aAnswer.m_outputs.size());
  status.m_answer = aAnswer;
  // A failed job may be submitted again under the same name.
  if (!forward.m_job.m_name.empty() && aAnswer.m_kind == ErrorKind::None) {
    m_board.m_byName[forward.m_job.m_name] = id;
  }
  m_board.m_finished[id] = { std::move(status), forward.m_job.m_name };
  m_board.m_timers.Add(aContext.m_now + m_board.m_policy.m_statusRetention,
                       RetentionTimer{ id });
  for (const CallerToken caller : forward.m_joinedCallers) {
    aContext.m_commands.emplace_back(AnswerCaller{ caller, aAnswer });
  }
  aContext.m_commands.emplace_back(
    AnswerCaller{ forward.m_job.m_caller, std::move(aAnswer) });
}

void
ForwardController::FailUnanswered(EntryEventContext& aContext,
                                  ForwardId aForward,
                                  std::string_view aWhy)
{
  const OutgoingForward& forward = m_board.m_forwarding.m_outgoing.at(aForward);
  ++m_board.m_counters.m_forwardsUnanswered;
  aContext.Record(
    EventCode::ForwardFailed,
    aForward.m_value,
    DescribeForward(forward, aContext.m_now - forward.m_forwardedAt)
      .Add("outcome", "unanswered")
      .Add("why", aWhy),
    forward.m_job.m_name);
  SendCancel(aContext, aForward);
  Answer answer;
  answer.m_kind = ErrorKind::RunLost;
  answer.m_execution = Execution::MayHaveRun;
  answer.m_detail = "the entry that handled the job did not answer: ";
  answer.m_detail += aWhy;
  answer.m_retryAfter = m_answers.RetryAfter(Duration::zero());
  AnswerCallers(aContext, aForward, std::move(answer));
}

void
ForwardController::SendCancel(EntryEventContext& aContext,
                              ForwardId aForward) const
{
  const OutgoingForward& forward = m_board.m_forwarding.m_outgoing.at(aForward);
  aContext.Send(forward.m_peer, ForwardCancel{ { aForward } });
}

} // namespace mulberrysail::core
