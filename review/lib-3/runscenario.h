#pragma once

#include "record.h"

#include <functional>
#include <string>

namespace mulberrysail::review3 {

struct ScenarioContext
{
  Record& m_record;
  /** For settings and logs; removed at the end. */
  const std::string m_folder;
  /** Whether the disruption is brought about. */
  const bool m_trouble;
};

/** Plays a case.
 * @return whether the rule was broken.
 * @throws std::runtime_error if the case couldn't run. */
using Scenario = std::function<bool(ScenarioContext&)>;

/** Runs a case for a `main` whose arguments are the path of the record and a
 * temporary folder. The disruption is left out if the environment says
 * `TROUBLE=0`.
 * @return 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
 */
int
RunScenario(int aArgc, char** aArgv, const Scenario& aScenario);

} // namespace mulberrysail::review3
