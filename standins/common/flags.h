#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mulberrysail::standins {

/** The command line of a program. What can't be read throws
 * std::exception. */
class Flags
{
public:
  Flags(const std::string& aProgram, const std::string& aHelp);
  ~Flags();
  Flags(const Flags&) = delete;
  Flags& operator=(const Flags&) = delete;

  /** Declares a flag that takes a text. */
  void AddText(const std::string& aName,
               const std::string& aHelp,
               const std::string& aDefault = "");

  /** Declares a flag that takes texts separated by commas. */
  void AddList(const std::string& aName, const std::string& aHelp);

  /** Declares a flag that takes a whole number. */
  void AddNumber(const std::string& aName,
                 const std::string& aHelp,
                 std::uint32_t aDefault);

  /** Declares a flag that takes a decimal number. */
  void AddDecimal(const std::string& aName,
                  const std::string& aHelp,
                  double aDefault);

  void Parse(int aArgc, char** aArgv);

  /** @return the help text if it was asked for, else nothing. */
  std::string AskedHelp() const;

  std::string Text(const std::string& aName) const;
  std::vector<std::string> List(const std::string& aName) const;
  std::uint32_t Number(const std::string& aName) const;
  double Decimal(const std::string& aName) const;
  /** @return a whole number of milliseconds. */
  std::chrono::milliseconds Milliseconds(const std::string& aName) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace mulberrysail::standins
