#pragma once

#include "ctl/internal/command.h"

#include <string>
#include <string_view>

namespace mulberrysail::ctl {

/**
 * @param aCommand what was asked.
 * @param aBody the body of a successful answer.
 * @return the answer as text for people and pipes; the body itself if it
 * isn't of the expected shape.
 */
std::string
RenderAnswer(const Command& aCommand, std::string_view aBody);

} // namespace mulberrysail::ctl
