#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace tarragonlock
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warn,
    error
};

/// A named value of a log line.
using log_field = std::pair<std::string_view, std::variant<std::string, std::int64_t>>;

/// Sets up logging for the process: JSON lines on standard output.
/// @param process           name written with every line
/// @param level             "debug", "info", "warn" or "error"
/// @param lines_per_second  most lines of one event a second; what is left out is counted
void open_log(const std::string& process, std::string_view level, std::uint32_t lines_per_second);

/// Changes what is written from now on.
void configure_log(std::string_view level, std::uint32_t lines_per_second);

/// Writes what is left and ends logging.
void close_log();

/// @return lines that were dropped because standard output did not take them in time.
std::uint64_t dropped_log_line_count();

/// Writes one line for one event; never waits for standard output.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace tarragonlock
