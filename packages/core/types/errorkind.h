#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mulberrysail::core {

/** Every way in which a submission, a patch or a setting can fail. */
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
};

/** What is known about the work behind an answer. */
enum class Execution : std::uint8_t
{
  NotRun,
  MayHaveRun,
  Ran,
};

/** Whether submitting again makes sense. */
enum class Retry : std::uint8_t
{
  Never,
  AfterChange,
  Later,
};

/** One row of the table from error kind to answer. */
struct ErrorRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_httpStatus;
  Execution m_execution;
  Retry m_retry;
  std::string_view m_meaning;
};

/** @return all rows, in the order of the kinds. */
std::span<const ErrorRow>
ErrorTable();

/** @return the row of @p aKind. */
const ErrorRow&
DescribeError(ErrorKind aKind);

/** @return the kind called @p aName in answers, if there is one. */
std::optional<ErrorKind>
ErrorKindByName(std::string_view aName);

/** @return "not-run", "may-have-run" or "ran". */
std::string_view
ExecutionName(Execution aExecution);

/** A failure with its cause in words. */
struct Error
{
  ErrorKind m_kind = ErrorKind::None;
  std::string m_detail;
};

} // namespace mulberrysail::core
