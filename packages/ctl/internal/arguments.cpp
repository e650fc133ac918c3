#include "ctl/internal/arguments.h"

#include "ctl/internal/subcommand.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace mulberrysail::ctl {

namespace {

using cxxopts::ParseResult;
using cxxopts::value;

constexpr const char* kDefaultEntry = "http://127.0.0.1:8080";
constexpr const char* kDefaultTimeoutMs = "30000";

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
