#pragma once

#include "core/types/result.h"
#include "daemon/settings/settings.h"

#include <string>
#include <string_view>

namespace mulberrysail::daemon {

/**
 * Parses settings, given as JSON with comments, and checks all fields.
 * @return the settings, or InvalidSettings with one line for each invalid
 * field: its path and the expected value.
 */
core::Result<Settings>
ParseSettings(std::string_view aText);

/** Reads the file at @p aPath and parses it with ParseSettings().
 * @return the settings, or InvalidSettings if the file can't be read or is
 * invalid. */
core::Result<Settings>
LoadSettings(const std::string& aPath);

/** @return the text of docs/SETTINGS.md: a Markdown table of all fields. */
std::string
SettingsPage();

} // namespace mulberrysail::daemon
