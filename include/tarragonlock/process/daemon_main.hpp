#pragma once

#include "tarragonlock/common/diagnostic.hpp"
#include "tarragonlock/common/log.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/process/settings.hpp"

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>

namespace tarragonlock
{

inline constexpr auto version_text = "tarragonlock 0.1.0";

/// Installs handlers for SIGTERM and SIGINT, and ignores SIGPIPE.
/// @return a flag that SIGTERM and SIGINT set
const std::atomic<bool>& install_stop_handlers();

/// Loads a settings file and runs a daemon with it.
/// @param path        settings file
/// @param check_only  whether to stop after checking the file
/// @return the process's exit status: 0, or 2 for an unreadable or invalid settings file, or 1 when
///         the daemon cannot start
template<class Daemon, class Settings>
int run_daemon(const std::string& path, bool check_only)
{
    const auto text = read_file(path);
    if (!text)
    {
        std::cerr << path << ": " << text.error().message() << '\n';
        return 2;
    }
    diagnostics errors;
    const auto settings = Settings::parse(text.value(), path, errors);
    for (const auto& error : errors)
        std::cerr << to_string(error) << '\n';
    if (!settings)
        return 2;
    if (check_only)
        return EXIT_SUCCESS;
    const auto& stop = install_stop_handlers();
    open_log(settings.value().name, settings.value().log.level,
             settings.value().log.lines_per_second);
    auto daemon = Daemon::create(settings.value());
    if (!daemon)
    {
        log_event(log_level::error, "cannot_start", {{"error", daemon.error().message()}});
        close_log();
        return EXIT_FAILURE;
    }
    daemon.value()->run(stop);
    close_log();
    return EXIT_SUCCESS;
}

} // namespace tarragonlock
