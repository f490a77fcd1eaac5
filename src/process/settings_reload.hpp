#pragma once

#include "tarragonlock/common/diagnostic.hpp"
#include "tarragonlock/common/log.hpp"
#include "tarragonlock/process/settings.hpp"

#include <string>

namespace tarragonlock
{

/// Reads a daemon's settings file again and applies its log settings. Addresses and limits are
/// fixed for the lifetime of a process, so a change of them is only logged as restart_needed. An
/// invalid file changes nothing.
/// @param current  the settings in use; their log settings are replaced
template<class Settings>
void reload_settings(Settings& current)
{
    diagnostics errors;
    const auto text = read_file(current.file);
    const auto reloaded =
        text ? Settings::parse(text.value(), current.file, errors) : result<Settings>(text.error());
    if (!reloaded)
    {
        log_event(
            log_level::error, "reload_failed",
            {{"file", current.file},
             {"error", errors.empty() ? reloaded.error().message() : to_string(errors.front())}});
        return;
    }
    current.log = reloaded.value().log;
    configure_log(current.log.level, current.log.lines_per_second);
    log_event(log_level::info, "reloaded",
              {{"log_level", current.log.level},
               {"lines_per_second", current.log.lines_per_second},
               {"restart_needed", reloaded.value() == current ? 0 : 1}});
}

} // namespace tarragonlock
