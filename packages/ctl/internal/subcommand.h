#pragma once

#include "ctl/internal/command.h"

#include <cxxopts.hpp>

#include <string>
#include <vector>

namespace mulberrysail::ctl {

/** How one subcommand is read. */
struct Subcommand
{
  /** One or two words. */
  std::string m_name;
  /** Shown in the help; in brackets if they may be left out. */
  std::string m_arguments;
  std::string m_summary;
  /** The names of the arguments, in their order. */
  std::vector<std::string> m_positional;
  void (*m_addOptions)(cxxopts::Options&);
  /** Throws std::exception if the options don't fit together. */
  Command (*m_make)(const cxxopts::ParseResult&);
};

/** @return all subcommands, in the order of the help. */
const std::vector<Subcommand>&
Subcommands();

} // namespace mulberrysail::ctl
