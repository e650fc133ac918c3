#pragma once

#include "ctl/internal/apicall.h"
#include "ctl/internal/exitcode.h"
#include "network/ihttpclient.h"

#include <string>

namespace mulberrysail::ctl {

/** How a call that did not succeed is reported. */
struct Failure
{
  ExitCode m_exitCode = ExitCode::NotRun;
  /** For the operator, in one line. */
  std::string m_text;
};

/** @return whether the call succeeded. */
bool
Succeeded(const network::HttpOutcome& aOutcome);

/** @return what a call that did not succeed means. */
Failure
DescribeFailure(const ApiCall& aCall, const network::HttpOutcome& aOutcome);

} // namespace mulberrysail::ctl
