#include "core/types/errorkind.h"

#include <algorithm>
#include <array>

namespace mulberrysail::core {

namespace {

constexpr std::array kRows = {
  ErrorRow{ ErrorKind::None,
            "none",
            200,
            Execution::Ran,
            Retry::Never,
            "complete" },
  ErrorRow{ ErrorKind::MalformedRequest,
            "malformed-request",
            400,
            Execution::NotRun,
            Retry::AfterChange,
            "the request can't be read" },
  ErrorRow{ ErrorKind::BodyTooLarge,
            "body-too-large",
            413,
            Execution::NotRun,
            Retry::AfterChange,
            "the body is over the size limit" },
  ErrorRow{ ErrorKind::TooManyTasks,
            "too-many-tasks",
            413,
            Execution::NotRun,
            Retry::AfterChange,
            "the job has more tasks than the limit" },
  ErrorRow{ ErrorKind::NotFound,
            "not-found",
            404,
            Execution::NotRun,
            Retry::AfterChange,
            "there is no such path" },
  ErrorRow{ ErrorKind::MethodNotAllowed,
            "method-not-allowed",
            405,
            Execution::NotRun,
            Retry::AfterChange,
            "the path doesn't take this method" },
  ErrorRow{ ErrorKind::UnknownService,
            "unknown-service",
            404,
            Execution::NotRun,
            Retry::AfterChange,
            "the configuration has no such service" },
  ErrorRow{ ErrorKind::UnknownSubmission,
            "unknown-submission",
            404,
            Execution::MayHaveRun,
            Retry::Never,
            "this entry holds no submission of that id" },
  ErrorRow{ ErrorKind::Unsatisfiable,
            "unsatisfiable",
            422,
            Execution::NotRun,
            Retry::AfterChange,
            "no worker of the fleet could ever hold a task of the job" },
  ErrorRow{ ErrorKind::QuotaExceeded,
            "quota-exceeded",
            429,
            Execution::NotRun,
            Retry::Later,
            "the team has used up its quota" },
  ErrorRow{ ErrorKind::Overloaded,
            "overloaded",
            503,
            Execution::NotRun,
            Retry::Later,
            "the queue is full" },
  ErrorRow{ ErrorKind::DeadlineUnreachable,
            "deadline-unreachable",
            503,
            Execution::NotRun,
            Retry::Later,
            "the work can't be done by its deadline" },
  ErrorRow{ ErrorKind::DeadlinePassedQueued,
            "deadline-passed-queued",
            504,
            Execution::NotRun,
            Retry::Later,
            "the deadline came before the work was started" },
  ErrorRow{ ErrorKind::DeadlinePassedRunning,
            "deadline-passed-running",
            504,
            Execution::MayHaveRun,
            Retry::Later,
            "the deadline came while the work may have been running" },
  ErrorRow{ ErrorKind::NoEndpoint,
            "no-endpoint",
            503,
            Execution::NotRun,
            Retry::Later,
            "no endpoint or worker for it is known now" },
  ErrorRow{ ErrorKind::Draining,
            "draining",
            503,
            Execution::NotRun,
            Retry::Later,
            "the process is shutting down" },
  ErrorRow{ ErrorKind::Cancelled,
            "cancelled",
            409,
            Execution::NotRun,
            Retry::Never,
            "cancelled before it was started" },
  ErrorRow{ ErrorKind::CancelledRunning,
            "cancelled-running",
            409,
            Execution::MayHaveRun,
            Retry::Never,
            "cancelled when it may have been started" },
  ErrorRow{ ErrorKind::TaskFailed,
            "task-failed",
            502,
            Execution::Ran,
            Retry::AfterChange,
            "the endpoint or worker ran it and reported a failure" },
  ErrorRow{ ErrorKind::JobFailed,
            "job-failed",
            502,
            Execution::MayHaveRun,
            Retry::AfterChange,
            "a task of the job failed, so the job did" },
  ErrorRow{ ErrorKind::RunLost,
            "run-lost",
            502,
            Execution::MayHaveRun,
            Retry::Later,
            "the endpoint or worker was lost while it may have been running" },
  ErrorRow{ ErrorKind::AgentLost,
            "agent-lost",
            502,
            Execution::MayHaveRun,
            Retry::Later,
            "the agent was lost while the work may have been running" },
  ErrorRow{ ErrorKind::ConnectFailed,
            "connect-failed",
            503,
            Execution::NotRun,
            Retry::Later,
            "no connection to the endpoint or worker could be opened" },
  ErrorRow{ ErrorKind::QueueFull,
            "queue-full",
            503,
            Execution::NotRun,
            Retry::Later,
            "the agent's queue is full" },
  ErrorRow{ ErrorKind::AttemptExpired,
            "attempt-expired",
            503,
            Execution::NotRun,
            Retry::Later,
            "the attempt reached the agent after its start-by time" },
  ErrorRow{ ErrorKind::StaleIncarnation,
            "stale-incarnation",
            503,
            Execution::NotRun,
            Retry::Later,
            "the attempt was meant for an earlier life of the agent" },
  ErrorRow{ ErrorKind::Superseded,
            "superseded",
            409,
            Execution::NotRun,
            Retry::Never,
            "a later submission with the same caller key took its place" },
  ErrorRow{ ErrorKind::RepeatUncertain,
            "repeat-uncertain",
            409,
            Execution::MayHaveRun,
            Retry::Never,
            "an earlier submission with this caller key may have run" },
  ErrorRow{ ErrorKind::VersionConflict,
            "version-conflict",
            409,
            Execution::NotRun,
            Retry::AfterChange,
            "the patch is not based on the newest version" },
  ErrorRow{ ErrorKind::InvalidPatch,
            "invalid-patch",
            422,
            Execution::NotRun,
            Retry::AfterChange,
            "the patched configuration would not be valid" },
  ErrorRow{ ErrorKind::StoreUnavailable,
            "store-unavailable",
            503,
            Execution::NotRun,
            Retry::Later,
            "the platform's store doesn't answer; nothing was written" },
  ErrorRow{ ErrorKind::PatchUncertain,
            "patch-uncertain",
            504,
            Execution::MayHaveRun,
            Retry::Later,
            "the patch may have been accepted; send it again with its id" },
  ErrorRow{ ErrorKind::InvalidSettings,
            "invalid-settings",
            500,
            Execution::NotRun,
            Retry::AfterChange,
            "the settings file has faults" },
  ErrorRow{ ErrorKind::Internal,
            "internal",
            500,
            Execution::MayHaveRun,
            Retry::Never,
            "a fault of the dispatcher itself" },
  ErrorRow{ ErrorKind::CrashesWorkers,
            "crashes-workers",
            502,
            Execution::MayHaveRun,
            Retry::AfterChange,
            "its runs were lost with their workers too often" },
};

constexpr bool
RowsFollowKinds()
{
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    if (static_cast<std::size_t>(kRows[i].m_kind) != i) {
      return false;
    }
  }
  return kRows.size() == static_cast<std::size_t>(kLastErrorKind) + 1;
}

static_assert(RowsFollowKinds(),
              "kRows must hold one row for each ErrorKind, in enum order");

} // namespace

std::span<const ErrorRow>
ErrorTable()
{
  return kRows;
}

const ErrorRow&
DescribeError(ErrorKind aKind)
{
  return kRows.at(static_cast<std::size_t>(aKind));
}

std::optional<ErrorKind>
ErrorKindByName(std::string_view aName)
{
  const auto row =
    std::find_if(kRows.begin(), kRows.end(), [&](const ErrorRow& aRow) {
      return aRow.m_name == aName;
    });
  if (row == kRows.end()) {
    return std::nullopt;
  }
  return row->m_kind;
}

std::string_view
ExecutionName(Execution aExecution)
{
  switch (aExecution) {
    case Execution::NotRun:
      return "not-run";
    case Execution::MayHaveRun:
      return "may-have-run";
    case Execution::Ran:
      return "ran";
  }
  return "may-have-run";
}

} // namespace mulberrysail::core
