#include "core/internal/entry/forwardreceiver.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** The tokens of forwarded jobs have this bit; the daemon counts from 1. */
constexpr std::uint64_t kForwardedBit = 1ULL << 63U;
/** How long ids of closed jobs are kept. Covers messages that arrive twice or
 * after the cancellation of their job. */
constexpr Duration kClosedRetention = std::chrono::seconds(10);
/** A process that has just started may receive messages that were sent to its
 * predecessor, so it accepts no jobs until those have been given up. */
constexpr Duration kAcceptAfter = std::chrono::seconds(2);

bool
IsForwarded(CallerToken aCaller)
{
  return (aCaller.m_value & kForwardedBit) != 0;
}

} // namespace

bool
ForwardReceiver::Accepts(Instant aNow) const
{
  const ForwardState& state = m_board.m_forwarding;
  // Without a recent sample, the process was stopped for so long that the peer
  // may have answered the caller already.
  return m_board.ForwardsJobs() && !m_board.m_draining &&
         state.m_firstSampleAt &&
         aNow - *state.m_firstSampleAt >= kAcceptAfter &&
         aNow - state.m_lastSampleAt < m_board.m_policy.m_agentTimeout;
}

void
ForwardReceiver::OnJob(EntryEventContext& aContext,
                       const ProcessId& aFrom,
                       ForwardJob aJob,
                       Duration aTransit)
{
  ForwardPeer& peer = m_board.m_forwarding.m_peers[aFrom];
  const ForwardId id = aJob.m_forward;
  if (peer.m_incoming.contains(id) || peer.m_closed.contains(id)) {
    return;
  }
  const bool late = aTransit >= m_board.m_policy.m_agentTimeout;
  if (late || !Accepts(aContext.m_now)) {
    MarkClosed(peer, aContext.m_now, id);
    Refuse(aContext,
           aFrom,
           id,
           late ? "the job arrived too late"
                : "this entry accepts no forwarded jobs");
    return;
  }
  const CallerToken caller{ kForwardedBit |
                            ++m_board.m_forwarding.m_lastIncoming };
  peer.m_heardAt = aContext.m_now;
  peer.m_incoming[id] = caller;
  m_board.m_forwarding.m_incoming[caller] = { aFrom, id };
  ++m_board.m_counters.m_forwardsAccepted;
  m_board.ArmForwardTimer(aContext.m_now);
  SubmitJob job;
  job.m_caller = caller;
  job.m_team = std::move(aJob.m_team);
  job.m_deadline = aJob.m_deadlineIn;
  job.m_tasks = std::move(aJob.m_tasks);
  job.m_steps = std::move(aJob.m_steps);
  job.m_queue = std::move(aJob.m_queue);
  job.m_name = std::move(aJob.m_name);
  m_admission.OnJob(aContext, std::move(job));
}

void
ForwardReceiver::OnCancel(EntryEventContext& aContext,
                          const ProcessId& aFrom,
                          const ForwardCancel& aCancel)
{
  ForwardPeer& peer = m_board.m_forwarding.m_peers[aFrom];
  for (const ForwardId id : aCancel.m_forwards) {
    if (peer.m_incoming.contains(id)) {
      Cancel(aContext, peer, id);
    } else if (!peer.m_closed.contains(id)) {
      MarkClosed(peer, aContext.m_now, id);
    }
  }
}

void
ForwardReceiver::CancelAll(EntryEventContext& aContext, const ProcessId& aPeer)
{
  ForwardPeer& peer = m_board.m_forwarding.m_peers[aPeer];
  while (!peer.m_incoming.empty()) {
    const ForwardId id = peer.m_incoming.begin()->first;
    Cancel(aContext, peer, id);
    // The peer may only have been stopped, and still wait.
    Answer answer;
    answer.m_kind = ErrorKind::RunLost;
    answer.m_execution = Execution::MayHaveRun;
    answer.m_detail = "cancelled, as the entry that forwarded it was silent";
    answer.m_retryAfter = m_answers.RetryAfter(Duration::zero());
    aContext.Send(aPeer, ForwardResult{ id, std::move(answer) });
  }
}

void
ForwardReceiver::Cancel(EntryEventContext& aContext,
                        ForwardPeer& aPeer,
                        ForwardId aForward)
{
  const CallerToken caller = aPeer.m_incoming.at(aForward);
  aPeer.m_incoming.erase(aForward);
  m_board.m_forwarding.m_incoming.erase(caller);
  MarkClosed(aPeer, aContext.m_now, aForward);
  const auto open = m_board.m_callers.find(caller);
  if (open == m_board.m_callers.end()) {
    return;
  }
  if (Submission* submission = m_board.Find(open->second)) {
    m_answers.OnCallerDisconnected(aContext, *submission, caller);
  }
}

void
ForwardReceiver::Refuse(EntryEventContext& aContext,
                        const ProcessId& aTo,
                        ForwardId aForward,
                        std::string aDetail) const
{
  Answer answer;
  answer.m_kind = ErrorKind::Draining;
  answer.m_execution = Execution::NotRun;
  answer.m_detail = std::move(aDetail);
  aContext.Send(aTo, ForwardResult{ aForward, std::move(answer) });
}

void
ForwardReceiver::MarkClosed(ForwardPeer& aPeer,
                            Instant aNow,
                            ForwardId aForward) const
{
  while (!aPeer.m_closedOrder.empty() &&
         aNow - aPeer.m_closedOrder.front().first > kClosedRetention) {
    aPeer.m_closed.erase(aPeer.m_closedOrder.front().second);
    aPeer.m_closedOrder.pop_front();
  }
  aPeer.m_closed.insert(aForward);
  aPeer.m_closedOrder.emplace_back(aNow, aForward);
}

void
ForwardReceiver::SendResults(EntryEventContext& aContext, std::size_t aFrom)
{
  ForwardState& state = m_board.m_forwarding;
  if (state.m_lastIncoming == 0) {
    return;
  }
  EntryCommands& commands = aContext.m_commands;
  const auto isUnsent = [&](EntryCommand& aCommand) {
    AnswerCaller* const answer = std::get_if<AnswerCaller>(&aCommand);
    if (answer == nullptr || !IsForwarded(answer->m_caller)) {
      return false;
    }
    const auto found = state.m_incoming.find(answer->m_caller);
    if (found == state.m_incoming.end()) {
      // The peer no longer waits for the answer.
      return true;
    }
    const IncomingForward forward = std::move(found->second);
    state.m_incoming.erase(found);
    ForwardPeer& peer = state.m_peers[forward.m_from];
    peer.m_incoming.erase(forward.m_forward);
    MarkClosed(peer, aContext.m_now, forward.m_forward);
    Answer result = std::move(answer->m_answer);
    aCommand =
      SendMessage{ forward.m_from,
                   ForwardResult{ forward.m_forward, std::move(result) } };
    return false;
  };
  const auto begin =
    commands.begin() + static_cast<EntryCommands::difference_type>(aFrom);
  commands.erase(std::remove_if(begin, commands.end(), isUnsent),
                 commands.end());
}

} // namespace mulberrysail::core
