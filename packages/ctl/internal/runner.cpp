#include "ctl/internal/runner.h"

#include "core/types/errorkind.h"
#include "ctl/internal/apiclient.h"
#include "ctl/internal/explainer.h"
#include "ctl/internal/failure.h"
#include "ctl/internal/rendering.h"
#include "ctl/internal/timelinecollector.h"

#include <ostream>

namespace mulberrysail::ctl {

namespace {

constexpr const char* kVersion = "0.1.0";

bool
IsUnknownSubmission(const network::HttpOutcome& aOutcome)
{
  const std::string_view kind =
    core::DescribeError(core::ErrorKind::UnknownSubmission).m_name;
  return aOutcome.m_delivery == network::HttpDelivery::Answered &&
         aOutcome.m_body.find(kind) != std::string::npos;
}

/** Carries out commands that are one call. */
class CallRunner
{
public:
  CallRunner(const Invocation& aInvocation,
             network::IHttpClient& aClient,
             std::ostream& aOut,
             std::ostream& aErrors)
    : m_invocation(aInvocation)
    , m_client(aClient, aInvocation.m_timeout)
    , m_out(aOut)
    , m_errors(aErrors)
  {
  }

  /** Calls the first entry that can be connected to. */
  ExitCode CallFirst(const ApiCall& aCall)
  {
    ExitCode exitCode = ExitCode::CantConnect;
    for (const std::string& entry : m_invocation.m_entries) {
      const network::HttpOutcome outcome = m_client.Call(entry, aCall);
      exitCode = Report(entry, aCall, outcome);
      if (outcome.m_delivery != network::HttpDelivery::NeverSent) {
        break;
      }
    }
    return exitCode;
  }

  /** Asks one entry after the other until one holds the submission. */
  ExitCode CallHolder(const ApiCall& aCall)
  {
    ExitCode exitCode = ExitCode::NotRun;
    for (const std::string& entry : m_invocation.m_entries) {
      const network::HttpOutcome outcome = m_client.Call(entry, aCall);
      if (IsUnknownSubmission(outcome)) {
        continue;
      }
      exitCode = Report(entry, aCall, outcome);
      if (outcome.m_delivery == network::HttpDelivery::Answered) {
        return exitCode;
      }
    }
    if (exitCode == ExitCode::NotRun) {
      m_errors << "mulberryctl: no entry holds this submission\n";
    }
    return exitCode;
  }

  /** Calls every process named. */
  ExitCode CallEach(const ApiCall& aCall)
  {
    ExitCode exitCode = ExitCode::Done;
    for (const std::string& entry : m_invocation.m_entries) {
      const ExitCode reported =
        Report(entry, aCall, m_client.Call(entry, aCall));
      if (reported != ExitCode::Done) {
        exitCode = reported;
      }
    }
    return exitCode;
  }

private:
  ExitCode Report(const std::string& aEntry,
                  const ApiCall& aCall,
                  const network::HttpOutcome& aOutcome)
  {
    const bool succeeded = Succeeded(aOutcome);
    if (m_invocation.m_json &&
        aOutcome.m_delivery == network::HttpDelivery::Answered) {
      m_out << aOutcome.m_body << '\n';
    } else if (succeeded) {
      m_out << RenderAnswer(m_invocation.m_command, aOutcome.m_body);
    }
    if (succeeded) {
      return ExitCode::Done;
    }
    const Failure failure = DescribeFailure(aCall, aOutcome);
    m_errors << "mulberryctl: " << aEntry << ": " << failure.m_text << '\n';
    return failure.m_exitCode;
  }

  const Invocation& m_invocation;
  ApiClient m_client;
  std::ostream& m_out;
  std::ostream& m_errors;
};

/** Chooses which entries a command goes to. */
struct CommandRunner
{
  const Invocation& m_invocation;
  network::IHttpClient& m_client;
  std::ostream& m_out;
  std::ostream& m_errors;

  ExitCode operator()(const HelpCommand& aCommand) const
  {
    m_out << aCommand.m_text;
    return ExitCode::Done;
  }

  ExitCode operator()(const VersionCommand& /*aCommand*/) const
  {
    m_out << "mulberryctl " << kVersion << '\n';
    return ExitCode::Done;
  }

  ExitCode operator()(const TimelineCommand& aCommand) const
  {
    ApiClient client(m_client, m_invocation.m_timeout);
    return PrintTimeline(
      aCommand, m_invocation.m_entries, client, m_out, m_errors);
  }

  ExitCode operator()(const ExplainCommand& aCommand) const
  {
    return Explain(aCommand, m_out, m_errors);
  }

  ExitCode operator()(const CancelCommand& /*aCommand*/) const
  {
    return Calls().CallHolder(Call());
  }

  ExitCode operator()(const StatusCommand& aCommand) const
  {
    return aCommand.m_submission ? Calls().CallHolder(Call())
                                 : Calls().CallFirst(Call());
  }

  ExitCode operator()(const DrainCommand& /*aCommand*/) const
  {
    return Calls().CallEach(Call());
  }

  template<typename Other>
  ExitCode operator()(const Other& /*aCommand*/) const
  {
    return Calls().CallFirst(Call());
  }

private:
  ApiCall Call() const { return *MakeApiCall(m_invocation.m_command); }

  CallRunner Calls() const
  {
    return { m_invocation, m_client, m_out, m_errors };
  }
};

} // namespace

ExitCode
Run(const Invocation& aInvocation,
    network::IHttpClient& aClient,
    std::ostream& aOut,
    std::ostream& aErrors)
{
  return std::visit(CommandRunner{ aInvocation, aClient, aOut, aErrors },
                    aInvocation.m_command);
}

} // namespace mulberrysail::ctl
