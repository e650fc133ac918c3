#pragma once

#include "core/types/events.h"
#include "core/types/result.h"
#include "core/types/status.h"
#include "daemon/settings/settings.h"
#include "network/ihttpserver.h"

#include <optional>
#include <string>
#include <string_view>

/** Submissions and their answers, in the JSON format of docs/API.md. */
namespace mulberrysail::daemon {

/** The parsed body of a job submission. */
struct JobBody
{
  core::SubmitJob m_job;
  /** Whether the caller's connection stays open until the answer. */
  bool m_wait = true;
};

/** @return the request, with no caller set, or the error in the body. */
core::Result<core::SubmitRequest>
ParseRequestBody(std::string_view aService,
                 std::string_view aBody,
                 const LimitSettings& aLimits);

/** @return the job, with no caller set, or the error in the body. */
core::Result<JobBody>
ParseJobBody(std::string_view aService,
             std::string_view aBody,
             const LimitSettings& aLimits);

/** @return the id in the format for callers, a decimal number. */
std::string
FormatSubmission(core::SubmissionId aSubmission);

/** @return the id in @p aText, or nothing if it is not a decimal number. */
std::optional<core::SubmissionId>
ParseSubmission(std::string_view aText);

/** @return the response with the output of a request, or the error. */
network::HttpResponse
MakeRequestResponse(const core::Answer& aAnswer);

/** @return the response with all outputs of a job, or the error. */
network::HttpResponse
MakeJobResponse(const core::Answer& aAnswer);

/** @return status 202 with the id of the submission. */
network::HttpResponse
MakeAcceptedResponse(core::SubmissionId aSubmission);

network::HttpResponse
MakeStatusResponse(const core::SubmissionStatus& aStatus);

} // namespace mulberrysail::daemon
