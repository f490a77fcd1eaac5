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

/// Name and value of a field of a log line.
using log_field = std::pair<std::string_view, std::variant<std::string, std::int64_t>>;

/// Starts logging for the process: one JSON object per line on standard output.
/// @param process           name of the process, written in every line
/// @param level             "debug", "info", "warn" or "error"
/// @param lines_per_second  limit for each event name; the number of suppressed lines is written
///                          with the event's next line as `left_out`
void open_log(const std::string& process, std::string_view level, std::uint32_t lines_per_second);

/// Changes the level and the rate limit; does nothing before open_log().
void configure_log(std::string_view level, std::uint32_t lines_per_second);

/// Writes the queued lines and stops logging.
void close_log();

/// @return lines dropped so far because the queue to standard output was full.
std::uint64_t dropped_log_line_count();

/// Queues one line for an event; never blocks on standard output.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace tarragonlock
