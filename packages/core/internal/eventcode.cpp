#include "core/types/eventcode.h"

#include <algorithm>
#include <array>

namespace mulberrysail::core {

namespace {

constexpr std::array kRows = {
  EventRow{ EventCode::ProcessStarted,
            "process-started",
            "a process is ready to serve" },
  EventRow{ EventCode::ProcessDraining,
            "process-draining",
            "a process takes no new work and finishes what it has" },
  EventRow{ EventCode::ProcessStopped,
            "process-stopped",
            "a process has ended its work" },
  EventRow{ EventCode::SettingsRejected,
            "settings-rejected",
            "the settings file has a fault; its path is in the detail" },
  EventRow{ EventCode::SubmissionAdmitted,
            "submission-admitted",
            "an entry took a request or job" },
  EventRow{ EventCode::SubmissionRefused,
            "submission-refused",
            "an entry refused a request or job on arrival" },
  EventRow{ EventCode::SubmissionAnswered,
            "submission-answered",
            "a submission got its final answer" },
  EventRow{ EventCode::SubmissionCancelled,
            "submission-cancelled",
            "a caller cancelled a submission" },
  EventRow{ EventCode::CallerGone,
            "caller-gone",
            "a caller's connection ended before its answer" },
  EventRow{ EventCode::AttemptOffered,
            "attempt-offered",
            "an entry offered an attempt to an agent" },
  EventRow{ EventCode::AttemptRefused,
            "attempt-refused",
            "an agent refused an attempt, which will never start" },
  EventRow{ EventCode::AttemptQueued,
            "attempt-queued",
            "an agent put an attempt into its queue" },
  EventRow{ EventCode::AttemptStarted,
            "attempt-started",
            "an agent started an attempt" },
  EventRow{ EventCode::AttemptFinished,
            "attempt-finished",
            "an attempt ran to its end" },
  EventRow{ EventCode::AttemptRevoked,
            "attempt-revoked",
            "an attempt was taken out of the queue" },
  EventRow{ EventCode::AttemptLost,
            "attempt-lost",
            "the outcome of an attempt can't be learned" },
  EventRow{ EventCode::AttemptReplyDropped,
            "attempt-reply-dropped",
            "a reply matched no open attempt" },
  EventRow{ EventCode::AttemptRetried,
            "attempt-retried",
            "a request or task was placed again" },
  EventRow{ EventCode::AgentJoined,
            "agent-joined",
            "an entry learned of an agent" },
  EventRow{ EventCode::AgentLeaving,
            "agent-leaving",
            "an agent said that it is leaving" },
  EventRow{ EventCode::AgentForgotten,
            "agent-forgotten",
            "an agent's lease at an entry lapsed" },
  EventRow{ EventCode::EntryJoined,
            "entry-joined",
            "a process learned of an entry" },
  EventRow{ EventCode::EntryForgotten, "entry-forgotten", "an entry is gone" },
  EventRow{ EventCode::EndpointAnnounced,
            "endpoint-announced",
            "an endpoint announced itself to its agent" },
  EventRow{ EventCode::EndpointLeaving,
            "endpoint-leaving",
            "an endpoint said that it is leaving" },
  EventRow{ EventCode::EndpointLapsed,
            "endpoint-lapsed",
            "an endpoint's lease at its agent lapsed" },
  EventRow{ EventCode::WorkerAnnounced,
            "worker-announced",
            "a worker announced itself to an agent" },
  EventRow{ EventCode::WorkerLapsed,
            "worker-lapsed",
            "a worker's lease at its agent lapsed" },
  EventRow{ EventCode::WorkerQuarantined,
            "worker-quarantined",
            "a worker failed too often and gets no work for a while" },
  EventRow{ EventCode::WorkerRestored,
            "worker-restored",
            "a quarantined worker gets work again" },
  EventRow{ EventCode::KeyFenced,
            "key-fenced",
            "an agent refuses earlier submissions of a caller key" },
  EventRow{ EventCode::KeyHeld,
            "key-held",
            "an earlier submission of a caller key was found" },
  EventRow{ EventCode::KeyUncertain,
            "key-uncertain",
            "it can't be learned whether a caller key has run" },
  EventRow{ EventCode::ConfigInForce,
            "config-in-force",
            "a process applies a configuration version" },
  EventRow{ EventCode::ConfigPatchAccepted,
            "config-patch-accepted",
            "a patch became the next version" },
  EventRow{ EventCode::ConfigPatchRejected,
            "config-patch-rejected",
            "a patch was rejected" },
  EventRow{ EventCode::ConfigPatchUncertain,
            "config-patch-uncertain",
            "it can't be learned whether a patch was accepted" },
  EventRow{ EventCode::StoreUnavailable,
            "store-unavailable",
            "the platform's store stopped answering" },
  EventRow{ EventCode::StoreRecovered,
            "store-recovered",
            "the platform's store answers again" },
  EventRow{ EventCode::MessageRejected,
            "message-rejected",
            "a message could not be read" },
  EventRow{ EventCode::MessageDropped,
            "message-dropped",
            "a message could not be sent" },
};

} // namespace

std::span<const EventRow>
EventTable()
{
  return kRows;
}

std::string_view
EventName(EventCode aCode)
{
  const auto row =
    std::find_if(kRows.begin(), kRows.end(), [&](const EventRow& aRow) {
      return aRow.m_code == aCode;
    });
  return row == kRows.end() ? "unknown" : row->m_name;
}

} // namespace mulberrysail::core
