#pragma once

#include "core/types/events.h"
#include "core/types/result.h"
#include "core/types/status.h"
#include "daemon/settings/settings.h"
#include "network/ihttpserver.h"

#include <optional>
#include <string>
#include <string_view>

/** Submissions and their answers in the JSON of docs/API.md. */
namespace mulberrysail::daemon {

/** A job as its caller sent it. */
struct JobBody
{
  core::SubmitJob m_job;
  /** Whether the caller waits for the answer on its connection. */
  bool m_wait = true;
};

/** @return the request without its caller, or what is wrong with it. */
core::Result<core::SubmitRequest>
ParseRequestBody(std::string_view aService,
                 std::string_view aBody,
                 const LimitSettings& aLimits);

/** @return the job without its caller, or what is wrong with it. */
core::Result<JobBody>
ParseJobBody(std::string_view aService,
             std::string_view aBody,
             const LimitSettings& aLimits);

/** @return the id as callers see it: a decimal number. */
std::string
FormatSubmission(core::SubmissionId aSubmission);

/** @return the id that a caller sent, if it is one. */
std::optional<core::SubmissionId>
ParseSubmission(std::string_view aText);

/** @return the answer to a request or, with all its outputs, to a job. */
network::HttpResponse
MakeRequestResponse(const core::Answer& aAnswer);
network::HttpResponse
MakeJobResponse(const core::Answer& aAnswer);

/** @return 202 with the submission's id. */
network::HttpResponse
MakeAcceptedResponse(core::SubmissionId aSubmission);

network::HttpResponse
MakeStatusResponse(const core::SubmissionStatus& aStatus);

} // namespace mulberrysail::daemon
