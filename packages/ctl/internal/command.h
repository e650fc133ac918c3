#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What an operator can ask of mulberryctl. */
namespace mulberrysail::ctl {

struct SubmitRequestCommand
{
  std::string m_service;
  std::string m_payload;
  bool m_repeatable = false;
  std::optional<std::string> m_key;
  std::optional<std::uint32_t> m_submission;
  std::optional<std::chrono::milliseconds> m_deadline;
  std::optional<std::chrono::milliseconds> m_expectedRun;
  std::optional<std::string> m_team;
};

struct SubmitJobCommand
{
  std::string m_service;
  /** A JSON list of tasks. */
  std::string m_tasks;
  bool m_wait = true;
  std::optional<std::chrono::milliseconds> m_deadline;
  std::optional<std::string> m_team;
};

struct CancelCommand
{
  std::string m_submission;
};

/** Of a submission; of the process if none is named. */
struct StatusCommand
{
  std::optional<std::string> m_submission;
};

struct ServicesCommand
{};

struct ConfigGetCommand
{};

struct PatchCommand
{
  std::uint64_t m_base = 0;
  std::string m_id;
  /** A JSON merge patch. */
  std::string m_patch;
};

struct DrainCommand
{};

/** Drains a zone, or ends its drain. */
struct ChangeDrainCommand
{
  std::string m_zone;
  bool m_drained = true;
};

/** Lists the drained zones. */
struct DrainsCommand
{};

struct EndpointsCommand
{};

struct WorkersCommand
{};

struct TimelineCommand
{
  std::uint64_t m_since = 0;
  bool m_chrome = false;
};

/** Tells from logs what became of one piece of work. */
struct ExplainCommand
{
  /** What its caller called it. */
  std::string m_id;
  /** What the logs hold. */
  std::vector<std::string> m_logs;
};

struct VersionCommand
{};

/** Prints a text, as for --help. */
struct HelpCommand
{
  std::string m_text;
};

using Command = std::variant<SubmitRequestCommand,
                             SubmitJobCommand,
                             CancelCommand,
                             StatusCommand,
                             ServicesCommand,
                             ConfigGetCommand,
                             PatchCommand,
                             DrainCommand,
                             ChangeDrainCommand,
                             DrainsCommand,
                             EndpointsCommand,
                             WorkersCommand,
                             TimelineCommand,
                             ExplainCommand,
                             VersionCommand,
                             HelpCommand>;

/** A whole command line. */
struct Invocation
{
  Command m_command;
  /** Tried in their order until one can be connected to. */
  std::vector<std::string> m_entries;
  /** Print the service's answers as they are. */
  bool m_json = false;
  std::chrono::milliseconds m_timeout{ 30000 };
};

} // namespace mulberrysail::ctl
