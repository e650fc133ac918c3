#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** The errors of submissions, configuration patches and settings. */
enum class ErrorKind : std::uint8_t
{
  None,
  MalformedRequest,
  BodyTooLarge,
  TooManyTasks,
  NotFound,
  MethodNotAllowed,
  UnknownService,
  UnknownSubmission,
  Unsatisfiable,
  QuotaExceeded,
  Overloaded,
  DeadlineUnreachable,
  DeadlinePassedQueued,
  DeadlinePassedRunning,
  NoEndpoint,
  Draining,
  Cancelled,
  CancelledRunning,
  TaskFailed,
  JobFailed,
  RunLost,
  AgentLost,
  ConnectFailed,
  QueueFull,
  AttemptExpired,
  StaleIncarnation,
  Superseded,
  RepeatUncertain,
  VersionConflict,
  InvalidPatch,
  StoreUnavailable,
  PatchUncertain,
  InvalidSettings,
  Internal,
  CrashesWorkers,
};

/** The last enumerator. New kinds follow it, as the numbers are sent to
 * processes of other versions. */
constexpr ErrorKind kLastErrorKind = ErrorKind::CrashesWorkers;

/** Whether the work of a submission ran, as far as is known. */
enum class Execution : std::uint8_t
{
  NotRun,
  MayHaveRun,
  Ran,
};

/** Whether the caller should retry: never, after a change to the request or the
 * configuration, or later without a change. */
enum class Retry : std::uint8_t
{
  Never,
  AfterChange,
  Later,
};

/** One row of the table that maps error kinds to the parts of an answer. */
struct ErrorRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_httpStatus;
  Execution m_execution;
  Retry m_retry;
  std::string_view m_meaning;
};

/** @return all rows, in the order of the enumerators. */
std::span<const ErrorRow>
ErrorTable();

/** @return the row of @p aKind. */
const ErrorRow&
DescribeError(ErrorKind aKind);

/** @return the kind whose name in answers is @p aName; nothing if there is
 * none. */
std::optional<ErrorKind>
ErrorKindByName(std::string_view aName);

/** @return "not-run", "may-have-run" or "ran". */
std::string_view
ExecutionName(Execution aExecution);

/** An error with a textual description of its cause. */
struct Error
{
  ErrorKind m_kind = ErrorKind::None;
  std::string m_detail;
};

} // namespace mulberrysail::core
