#include "ctl/internal/subcommand.h"

#include "ctl/internal/jobtasks.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace mulberrysail::ctl {

namespace {

using cxxopts::ParseResult;
using cxxopts::value;

void
AddNothing(cxxopts::Options& /*aOptions*/)
{
}

template<typename Empty>
Command
MakeEmpty(const ParseResult& /*aParsed*/)
{
  return Empty{};
}

std::optional<std::string>
OptionalText(const ParseResult& aParsed, const std::string& aName)
{
  return aParsed.count(aName) > 0
           ? std::optional(aParsed[aName].as<std::string>())
           : std::nullopt;
}

std::optional<std::chrono::milliseconds>
OptionalMs(const ParseResult& aParsed, const std::string& aName)
{
  return aParsed.count(aName) > 0 ? std::optional(std::chrono::milliseconds(
                                      aParsed[aName].as<std::uint32_t>()))
                                  : std::nullopt;
}

/** Reads a file, or the standard input if it is called "-". */
std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file;
  if (aPath != "-") {
    file.open(aPath, std::ios::binary);
    if (!file) {
      throw std::invalid_argument("can't read " + aPath);
    }
  }
  std::istream& input = aPath == "-" ? std::cin : file;
  return { std::istreambuf_iterator<char>(input), {} };
}

void
AddCallerOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options() //
    ("deadline",
     "MS from arrival until the answer is of no use", //
     value<std::uint32_t>(),
     "MS")                                                           //
    ("team", "whose quota it counts against", value<std::string>()); //
}

void
AddRequestOptions(cxxopts::Options& aOptions)
{
  AddCallerOptions(aOptions);
  aOptions.add_options()                                        //
    ("payload", "what the endpoint gets", value<std::string>()) //
    ("payload-file",
     "a file with it, - for the standard input", //
     value<std::string>(),
     "FILE")                                                          //
    ("repeatable", "it may run more than once")                       //
    ("key", "your name for this piece of work", value<std::string>()) //
    ("submission",
     "1 for the first submission of the key, 2 for the next", //
     value<std::uint32_t>(),
     "N") //
    ("expected-run", "MS that it should take", value<std::uint32_t>(), "MS");
}

void
AddJobOptions(cxxopts::Options& aOptions)
{
  AddCallerOptions(aOptions);
  aOptions.add_options() //
    ("file",
     "a JSON list of tasks, - for the standard input", //
     value<std::string>(),
     "FILE") //
    ("tasks",
     "number of equal tasks, in place of a file", //
     value<std::uint32_t>(),
     "N") //
    ("payload",
     "what each of them gets",                //
     value<std::string>()->default_value("")) //
    ("cores",
     "what each of them needs",           //
     value<double>()->default_value("1")) //
    ("memory",
     "megabytes that each of them needs", //
     value<std::uint32_t>()->default_value("64"),
     "MB") //
    ("accelerators",
     "how many each of them needs", //
     value<std::uint32_t>()->default_value("0"),
     "N") //
    ("expected-run",
     "MS that each should take", //
     value<std::uint32_t>(),
     "MS") //
    ("no-wait", "print the submission's id and don't wait for the answer");
}

void
AddPatchOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options() //
    ("base",
     "the version that the patch is based on", //
     value<std::uint64_t>(),
     "N") //
    ("id",
     "names the patch: sent again with the same id it is applied once",
     value<std::string>());
}

void
AddTimelineOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()                                  //
    ("chrome", "print the JSON of Chrome's trace viewer") //
    ("since",
     "only events from this stamp on", //
     value<std::uint64_t>()->default_value("0"),
     "STAMP");
}

void
AddExplainOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options() //
    ("log",
     "a file with log lines, - for the standard input; give one for each "
     "process, or one with all",
     value<std::vector<std::string>>()->default_value("-"),
     "FILE[,FILE]");
}

Command
MakeSubmitRequest(const ParseResult& aParsed)
{
  if (aParsed.count("payload") + aParsed.count("payload-file") != 1) {
    throw std::invalid_argument("give one of --payload and --payload-file");
  }
  if (aParsed.count("submission") > 0 && aParsed.count("key") == 0) {
    throw std::invalid_argument("--submission needs --key");
  }
  SubmitRequestCommand command;
  command.m_service = aParsed["service"].as<std::string>();
  command.m_payload = aParsed.count("payload") > 0
                        ? aParsed["payload"].as<std::string>()
                        : ReadFile(aParsed["payload-file"].as<std::string>());
  command.m_repeatable = aParsed.count("repeatable") > 0;
  command.m_key = OptionalText(aParsed, "key");
  if (aParsed.count("submission") > 0) {
    command.m_submission = aParsed["submission"].as<std::uint32_t>();
  }
  command.m_deadline = OptionalMs(aParsed, "deadline");
  command.m_expectedRun = OptionalMs(aParsed, "expected-run");
  command.m_team = OptionalText(aParsed, "team");
  return command;
}

std::string
TasksOf(const ParseResult& aParsed)
{
  if (aParsed.count("file") + aParsed.count("tasks") != 1) {
    throw std::invalid_argument("give one of --file and --tasks");
  }
  if (aParsed.count("file") > 0) {
    return ReadTasks(ReadFile(aParsed["file"].as<std::string>()));
  }
  const std::uint32_t count = aParsed["tasks"].as<std::uint32_t>();
  if (count == 0) {
    throw std::invalid_argument("--tasks must be at least 1");
  }
  TaskTemplate task;
  task.m_payload = aParsed["payload"].as<std::string>();
  task.m_cores = aParsed["cores"].as<double>();
  task.m_memoryMb = aParsed["memory"].as<std::uint32_t>();
  task.m_accelerators = aParsed["accelerators"].as<std::uint32_t>();
  if (aParsed.count("expected-run") > 0) {
    task.m_expectedRunMs = aParsed["expected-run"].as<std::uint32_t>();
  }
  return MakeTasks(count, task);
}

Command
MakeSubmitJob(const ParseResult& aParsed)
{
  SubmitJobCommand command;
  command.m_service = aParsed["service"].as<std::string>();
  command.m_tasks = TasksOf(aParsed);
  command.m_wait = aParsed.count("no-wait") == 0;
  command.m_deadline = OptionalMs(aParsed, "deadline");
  command.m_team = OptionalText(aParsed, "team");
  return command;
}

/** Submission ids become parts of paths, so only digits are let through. */
std::string
SubmissionOf(const ParseResult& aParsed)
{
  std::string id = aParsed["submission"].as<std::string>();
  if (id.find_first_not_of("0123456789") != std::string::npos) {
    throw std::invalid_argument(id + " is no submission id");
  }
  return id;
}

Command
MakeCancel(const ParseResult& aParsed)
{
  return CancelCommand{ SubmissionOf(aParsed) };
}

Command
MakeStatus(const ParseResult& aParsed)
{
  if (aParsed.count("submission") == 0) {
    return StatusCommand{};
  }
  return StatusCommand{ SubmissionOf(aParsed) };
}

Command
MakePatch(const ParseResult& aParsed)
{
  if (aParsed.count("base") == 0 || aParsed.count("id") == 0) {
    throw std::invalid_argument("--base and --id are needed");
  }
  const std::string text = ReadFile(aParsed["file"].as<std::string>());
  const nlohmann::json patch =
    nlohmann::json::parse(text, nullptr, false, true);
  if (!patch.is_object()) {
    throw std::invalid_argument("the file holds no JSON object");
  }
  return PatchCommand{ aParsed["base"].as<std::uint64_t>(),
                       aParsed["id"].as<std::string>(),
                       patch.dump() };
}

template<bool Drained>
Command
MakeChangeDrain(const ParseResult& aParsed)
{
  return ChangeDrainCommand{ aParsed["zone"].as<std::string>(), Drained };
}

Command
MakeTimeline(const ParseResult& aParsed)
{
  return TimelineCommand{ aParsed["since"].as<std::uint64_t>(),
                          aParsed.count("chrome") > 0 };
}

Command
MakeExplain(const ParseResult& aParsed)
{
  ExplainCommand command;
  command.m_id = aParsed["id"].as<std::string>();
  for (const std::string& path :
       aParsed["log"].as<std::vector<std::string>>()) {
    command.m_logs.push_back(ReadFile(path));
  }
  return command;
}

} // namespace

const std::vector<Subcommand>&
Subcommands()
{
  static const std::vector<Subcommand> kSubcommands = {
    { "submit request",
      "SERVICE",
      "submits a request and prints its output",
      { "service" },
      AddRequestOptions,
      MakeSubmitRequest },
    { "submit job",
      "SERVICE",
      "submits a job and prints the output of each task",
      { "service" },
      AddJobOptions,
      MakeSubmitJob },
    { "cancel",
      "SUBMISSION",
      "cancels a submission",
      { "submission" },
      AddNothing,
      MakeCancel },
    { "status",
      "[SUBMISSION]",
      "shows where a submission stands, or the entry itself",
      { "submission" },
      AddNothing,
      MakeStatus },
    { "services",
      "",
      "lists the services with their endpoints",
      {},
      AddNothing,
      MakeEmpty<ServicesCommand> },
    { "config get",
      "",
      "prints the configuration in force",
      {},
      AddNothing,
      MakeEmpty<ConfigGetCommand> },
    { "patch",
      "FILE",
      "sends a patch of the configuration, - for the standard input",
      { "file" },
      AddPatchOptions,
      MakePatch },
    { "drain",
      "",
      "lets every process given finish its work and end",
      {},
      AddNothing,
      MakeEmpty<DrainCommand> },
    { "drain-zone",
      "ZONE",
      "sends no more work to the workers and endpoints of a zone",
      { "zone" },
      AddNothing,
      MakeChangeDrain<true> },
    { "undrain-zone",
      "ZONE",
      "sends work to a drained zone again",
      { "zone" },
      AddNothing,
      MakeChangeDrain<false> },
    { "drains",
      "",
      "lists the drained zones and how far each drain has come",
      {},
      AddNothing,
      MakeEmpty<DrainsCommand> },
    { "endpoints",
      "",
      "lists the endpoints with their agents",
      {},
      AddNothing,
      MakeEmpty<EndpointsCommand> },
    { "workers",
      "",
      "lists the workers with their agents",
      {},
      AddNothing,
      MakeEmpty<WorkersCommand> },
    { "timeline",
      "",
      "prints the events of all entries given and all agents in one order",
      {},
      AddTimelineOptions,
      MakeTimeline },
    { "explain",
      "ID",
      "tells from log lines what became of a request, job or task",
      { "id" },
      AddExplainOptions,
      MakeExplain },
    { "version",
      "",
      "prints the version of this program",
      {},
      AddNothing,
      MakeEmpty<VersionCommand> },
  };
  return kSubcommands;
}

} // namespace mulberrysail::ctl
