#include "bench/internal/experiment.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace mulberrysail;
using nlohmann::json;

/** Reads "SECONDS:kill|restart:MEMBER" or "SECONDS:control:MEMBER:JSON". */
bench::Disturbance
ReadDisturbance(const std::string& aText)
{
  std::istringstream text(aText);
  std::string seconds;
  std::string kind;
  bench::Disturbance disturbance;
  std::getline(text, seconds, ':');
  std::getline(text, kind, ':');
  std::getline(text, disturbance.m_member, ':');
  disturbance.m_at = std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(std::stod(seconds)));
  if (kind == "kill") {
    disturbance.m_kind = bench::Disturbance::Kind::Kill;
  } else if (kind == "restart") {
    disturbance.m_kind = bench::Disturbance::Kind::Restart;
  } else if (kind == "control") {
    disturbance.m_kind = bench::Disturbance::Kind::Control;
    std::string control;
    std::getline(text, control);
    disturbance.m_control = json::parse(control);
  } else {
    throw std::invalid_argument("no disturbance is called " + kind);
  }
  return disturbance;
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("mulberrysail_bench",
                           "Runs the system's processes under a load.");
  cxxopts::OptionAdder add = options.add_options();
  add("help", "print this text");
  add("profile",
      "shape of the load",
      cxxopts::value<std::string>()->default_value("steady70"));
  add("place",
      "tasdira or tala",
      cxxopts::value<std::string>()->default_value("tasdira"));
  add("seconds",
      "length of the run; 0 for the profile's own",
      cxxopts::value<int>()->default_value("0"));
  add("seed",
      "of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("slow-endpoint",
      "factor on the run times of endpoint-1",
      cxxopts::value<double>()->default_value("1"));
  add(
    "entries", "entries", cxxopts::value<std::uint32_t>()->default_value("3"));
  add("endpoints",
      "endpoints, each with its agent",
      cxxopts::value<std::uint32_t>()->default_value("11"));
  add(
    "workers", "workers", cxxopts::value<std::uint32_t>()->default_value("0"));
  add("entry-settings",
      "JSON merge patch of the entries' settings",
      cxxopts::value<std::string>()->default_value("{}"));
  add("agent-settings",
      "JSON merge patch of the agents' settings",
      cxxopts::value<std::string>()->default_value("{}"));
  add("disturb",
      "SECONDS:kill|restart:MEMBER or SECONDS:control:MEMBER:JSON",
      cxxopts::value<std::vector<std::string>>());
  add("json",
      "file for the whole report",
      cxxopts::value<std::string>()->default_value(""));
  return options;
}

bench::Experiment
ReadExperiment(const cxxopts::ParseResult& aArguments)
{
  bench::Experiment experiment;
  const std::string name = aArguments["profile"].as<std::string>();
  const std::optional<bench::Profile> profile = bench::FindProfile(name);
  if (!profile) {
    throw std::invalid_argument("no profile is called " + name);
  }
  experiment.m_profile = *profile;
  if (aArguments["seconds"].as<int>() > 0) {
    experiment.m_profile.m_length =
      std::chrono::seconds(aArguments["seconds"].as<int>());
  }
  experiment.m_place = bench::PlaceNamed(aArguments["place"].as<std::string>());
  experiment.m_fleet.m_entries = aArguments["entries"].as<std::uint32_t>();
  experiment.m_fleet.m_endpoints = aArguments["endpoints"].as<std::uint32_t>();
  experiment.m_seed = aArguments["seed"].as<std::uint64_t>();
  experiment.m_slowEndpoint = aArguments["slow-endpoint"].as<double>();
  experiment.m_workers = aArguments["workers"].as<std::uint32_t>();
  if (experiment.m_workers == 0 && profile->m_jobsPerSecond > 0) {
    experiment.m_workers = 11;
  }
  experiment.m_entrySettings =
    json::parse(aArguments["entry-settings"].as<std::string>());
  experiment.m_agentSettings =
    json::parse(aArguments["agent-settings"].as<std::string>());
  if (aArguments.count("disturb") > 0) {
    for (const std::string& text :
         aArguments["disturb"].as<std::vector<std::string>>()) {
      experiment.m_disturbances.push_back(ReadDisturbance(text));
    }
  }
  return experiment;
}

void
PrintRow(const std::string& aName, const json& aFigures)
{
  std::cout << std::left << std::setw(18) << aName << std::right << std::fixed
            << std::setprecision(3);
  for (const char* key : { "sent",
                           "complete_in_time",
                           "late",
                           "refused",
                           "failed",
                           "wrong",
                           "ratio_mean",
                           "ratio_p50",
                           "ratio_p99",
                           "response_mean_ms",
                           "response_p99_ms",
                           "refusal_p99_ms" }) {
    std::cout << ' ' << key << '=' << aFigures.at(key).get<double>();
  }
  std::cout << '\n';
}

void
PrintTable(const json& aReport)
{
  std::cout << aReport.at("profile").get<std::string>() << " at "
            << aReport.at("place").get<std::string>() << ", seed "
            << aReport.at("seed") << ", " << aReport.at("seconds") << " s\n";
  for (const char* row :
       { "requests", "jobs", "central_fifo", "central_shortest" }) {
    if (aReport.at(row).at("sent").get<double>() > 0) {
      PrintRow(row, aReport.at(row));
    }
  }
  for (const char* row : { "kinds", "entries", "agents" }) {
    std::cout << row << ' ' << aReport.at(row).dump() << '\n';
  }
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult arguments = options.parse(aArgc, aArgv);
    if (arguments.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    const json report = bench::RunExperiment(ReadExperiment(arguments));
    PrintTable(report);
    const std::string file = arguments["json"].as<std::string>();
    if (!file.empty()) {
      std::ofstream(file) << report.dump(2) << '\n';
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "mulberrysail_bench: " << error.what() << '\n';
    return 2;
  }
}
