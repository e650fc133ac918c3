#include "runscenario.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string_view>

namespace mulberrysail::review3 {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace

int
RunScenario(int aArgc, char** aArgv, const Scenario& aScenario)
{
  if (aArgc != 3) {
    std::cerr << "usage: " << aArgv[0] << " RECORD FOLDER\n";
    return kNotRun;
  }
  const char* const trouble = std::getenv("TROUBLE");
  Record record(aArgv[1]);
  ScenarioContext context{
    record,
    aArgv[2],
    trouble == nullptr || std::string_view(trouble) != "0",
  };
  try {
    const bool broken = aScenario(context);
    record.Add(broken ? "the rule was broken" : "the rule held");
    return broken ? kBroken : kHeld;
  } catch (const std::exception& error) {
    record.Add(std::string("the case couldn't run: ") + error.what());
    return kNotRun;
  }
}

} // namespace mulberrysail::review3
