#include "ctl/internal/arguments.h"

#include "ctl/internal/jobtasks.h"

#include <nlohmann/json.hpp>

// The library's own code is not ours to check.
#include <cxxopts.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace mulberrysail::ctl {

namespace {

using cxxopts::ParseResult;
using cxxopts::value;

constexpr const char* kDefaultEntry = "http://127.0.0.1:8080";
constexpr const char* kDefaultTimeoutMs = "30000";

/** How one subcommand is read. */
struct Subcommand
{
  /** One or two words. */
  std::string m_name;
  std::string m_arguments;
  std::string m_summary;
  /** Arguments that must be given, in their order. */
  std::vector<std::string> m_positional;
  void (*m_addOptions)(cxxopts::Options&);
  Command (*m_make)(const ParseResult&);
};

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

Command
MakeTimeline(const ParseResult& aParsed)
{
  return TimelineCommand{ aParsed["since"].as<std::uint64_t>(),
                          aParsed.count("chrome") > 0 };
}

const std::vector<Subcommand>&
Subcommands()
{
  static const std::vector<Subcommand> sSubcommands = {
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
    { "version",
      "",
      "prints the version of this program",
      {},
      AddNothing,
      MakeEmpty<VersionCommand> },
  };
  return sSubcommands;
}

cxxopts::Options
MakeOptions(const Subcommand& aSubcommand)
{
  cxxopts::Options options("mulberryctl " + aSubcommand.m_name,
                           aSubcommand.m_summary);
  options.custom_help("[OPTIONS]").positional_help(aSubcommand.m_arguments);
  options.add_options() //
    ("entry",
     "where the entries are",                                         //
     value<std::vector<std::string>>()->default_value(kDefaultEntry), //
     "URL[,URL]")                                                     //
    ("json", "print answers as the service gave them")                //
    ("timeout",
     "wait this long for the answer", //
     value<std::uint32_t>()->default_value(kDefaultTimeoutMs),
     "MS") //
    ("help", "print this text");
  aSubcommand.m_addOptions(options);
  for (const std::string& name : aSubcommand.m_positional) {
    options.add_options("positional")(name, "", value<std::string>());
  }
  options.parse_positional(aSubcommand.m_positional);
  return options;
}

std::vector<std::string>
EntriesOf(const ParseResult& aParsed)
{
  std::vector<std::string> entries =
    aParsed["entry"].as<std::vector<std::string>>();
  for (std::string& entry : entries) {
    if (!entry.starts_with("http://")) {
      throw std::invalid_argument(entry + " is no URL; use http://HOST:PORT");
    }
    while (entry.ends_with('/')) {
      entry.pop_back();
    }
  }
  return entries;
}

Invocation
ParseSubcommand(const Subcommand& aSubcommand,
                std::span<const std::string> aArguments)
{
  cxxopts::Options options = MakeOptions(aSubcommand);
  std::vector<const char*> arguments = { "mulberryctl" };
  for (const std::string& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  const ParseResult parsed =
    options.parse(static_cast<int>(arguments.size()), arguments.data());
  Invocation invocation;
  if (parsed.count("help") > 0) {
    invocation.m_command = HelpCommand{ options.help({ "" }) };
    return invocation;
  }
  if (!parsed.unmatched().empty()) {
    throw std::invalid_argument("too many arguments: " +
                                parsed.unmatched().front());
  }
  const bool optional = aSubcommand.m_arguments.starts_with('[');
  for (const std::string& name : aSubcommand.m_positional) {
    if (!optional && parsed.count(name) == 0) {
      throw std::invalid_argument("expected " + aSubcommand.m_arguments);
    }
  }
  invocation.m_command = aSubcommand.m_make(parsed);
  invocation.m_entries = EntriesOf(parsed);
  invocation.m_json = parsed.count("json") > 0;
  invocation.m_timeout =
    std::chrono::milliseconds(parsed["timeout"].as<std::uint32_t>());
  return invocation;
}

std::vector<std::string>
WordsOf(const std::string& aName)
{
  std::istringstream words(aName);
  return { std::istream_iterator<std::string>(words), {} };
}

Invocation
ParseOrThrow(std::span<const std::string> aArguments)
{
  if (aArguments.empty()) {
    throw std::invalid_argument("no command is given; try --help");
  }
  if (aArguments.front() == "--help" || aArguments.front() == "help") {
    Invocation invocation;
    invocation.m_command = HelpCommand{ HelpText() };
    return invocation;
  }
  for (const Subcommand& subcommand : Subcommands()) {
    const std::vector<std::string> words = WordsOf(subcommand.m_name);
    if (aArguments.size() >= words.size() &&
        std::equal(words.begin(), words.end(), aArguments.begin())) {
      return ParseSubcommand(subcommand, aArguments.subspan(words.size()));
    }
  }
  throw std::invalid_argument("there is no command " + aArguments.front() +
                              "; try --help");
}

} // namespace

core::Result<Invocation>
ParseArguments(std::span<const std::string> aArguments)
{
  try {
    return ParseOrThrow(aArguments);
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::MalformedRequest, error.what());
  }
}

std::string
HelpText()
{
  constexpr std::size_t kSummaryColumn = 30;
  std::string text = "mulberryctl COMMAND [OPTIONS]\n\n";
  for (const Subcommand& subcommand : Subcommands()) {
    std::string line = "  " + subcommand.m_name + " " + subcommand.m_arguments;
    line.resize(std::max(kSummaryColumn, line.size() + 2), ' ');
    text += line + subcommand.m_summary + "\n";
  }
  return text + "\nEach takes --entry URL[,URL], --json, --timeout MS and "
                "--help.\n";
}

} // namespace mulberrysail::ctl
