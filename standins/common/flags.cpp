#include "standins/common/flags.h"

#include <cxxopts.hpp>

namespace mulberrysail::standins {

struct Flags::Impl
{
  Impl(const std::string& aProgram, const std::string& aHelp)
    : m_options(aProgram, aHelp)
  {
  }

  cxxopts::Options m_options;
  cxxopts::ParseResult m_result;
};

Flags::Flags(const std::string& aProgram, const std::string& aHelp)
  : m_impl(std::make_unique<Impl>(aProgram, aHelp))
{
  m_impl->m_options.add_options()("help", "print this text");
}

Flags::~Flags() = default;

void
Flags::AddText(const std::string& aName,
               const std::string& aHelp,
               const std::string& aDefault)
{
  m_impl->m_options.add_options()(
    aName, aHelp, cxxopts::value<std::string>()->default_value(aDefault));
}

void
Flags::AddList(const std::string& aName, const std::string& aHelp)
{
  m_impl->m_options.add_options()(
    aName, aHelp, cxxopts::value<std::vector<std::string>>());
}

void
Flags::AddNumber(const std::string& aName,
                 const std::string& aHelp,
                 std::uint32_t aDefault)
{
  m_impl->m_options.add_options()(
    aName,
    aHelp,
    cxxopts::value<std::uint32_t>()->default_value(std::to_string(aDefault)));
}

void
Flags::AddDecimal(const std::string& aName,
                  const std::string& aHelp,
                  double aDefault)
{
  m_impl->m_options.add_options()(
    aName,
    aHelp,
    cxxopts::value<double>()->default_value(std::to_string(aDefault)));
}

void
Flags::Parse(int aArgc, char** aArgv)
{
  m_impl->m_result = m_impl->m_options.parse(aArgc, aArgv);
}

std::string
Flags::AskedHelp() const
{
  return m_impl->m_result.count("help") > 0 ? m_impl->m_options.help() : "";
}

std::string
Flags::Text(const std::string& aName) const
{
  return m_impl->m_result[aName].as<std::string>();
}

std::vector<std::string>
Flags::List(const std::string& aName) const
{
  return m_impl->m_result[aName].as<std::vector<std::string>>();
}

std::uint32_t
Flags::Number(const std::string& aName) const
{
  return m_impl->m_result[aName].as<std::uint32_t>();
}

double
Flags::Decimal(const std::string& aName) const
{
  return m_impl->m_result[aName].as<double>();
}

std::chrono::milliseconds
Flags::Milliseconds(const std::string& aName) const
{
  return std::chrono::milliseconds(Number(aName));
}

} // namespace mulberrysail::standins
