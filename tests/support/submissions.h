#pragma once

#include "support/journalchecker.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace mulberrysail::testsupport {

/** @return work with a payload of its own that runs for @p aRun. */
SubmittedWork
MakeWork(const std::string& aId, std::chrono::milliseconds aRun);

/** @return the body of POST .../requests. */
nlohmann::json
RequestBody(const SubmittedWork& aWork, std::chrono::milliseconds aDeadline);

/** @return the body of POST .../jobs; each task takes @p aCores. */
nlohmann::json
JobBody(const std::vector<SubmittedWork>& aTasks,
        double aCores,
        std::chrono::milliseconds aDeadline);

} // namespace mulberrysail::testsupport
