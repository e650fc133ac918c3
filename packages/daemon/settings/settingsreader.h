#pragma once

#include "core/types/result.h"
#include "daemon/settings/settings.h"

#include <string>
#include <string_view>

namespace mulberrysail::daemon {

/**
 * Reads settings, JSON with comments, and checks them whole.
 * @return the settings, or InvalidSettings with one line for each fault: the
 * field's path and what is expected there.
 */
core::Result<Settings>
ParseSettings(std::string_view aText);

/** Reads the file at @p aPath as ParseSettings() does. */
core::Result<Settings>
LoadSettings(const std::string& aPath);

/** @return docs/SETTINGS.md: the table of all fields, in Markdown. */
std::string
SettingsPage();

} // namespace mulberrysail::daemon
