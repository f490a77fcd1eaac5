#include "tarragonlock/common/log.hpp"

#include "tarragonlock/common/time.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <map>
#include <mutex>

namespace tarragonlock
{

namespace
{

/// Capacity of the queue to standard output; when it is full, the oldest lines are dropped.
constexpr std::size_t max_queued_lines = 8192;

/// Counts the lines of one event in the current second, for the rate limit.
struct event_line_rate
{
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    /// Lines suppressed since the event's last written line.
    std::uint32_t suppressed = 0;
};

struct log_state
{
    std::mutex mutex;
    std::string process;
    std::uint32_t lines_per_second = 50;
    std::map<std::string, event_line_rate, std::less<>> rates;
    std::shared_ptr<spdlog::logger> logger;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warn:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

void set_level_and_rate_limit(log_state& log, std::string_view level,
                              std::uint32_t lines_per_second)
{
    log.lines_per_second = lines_per_second;
    log.logger->set_level(spdlog::level::from_str(level == "error" ? "err" : std::string(level)));
}

} // namespace

void open_log(const std::string& process, std::string_view level, std::uint32_t lines_per_second)
{
    auto& log = state();
    const std::lock_guard lock(log.mutex);
    log.process = process;
    spdlog::init_thread_pool(max_queued_lines, 1);
    log.logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("json");
    log.logger->set_pattern("%v");
    log.logger->flush_on(spdlog::level::info);
    set_level_and_rate_limit(log, level, lines_per_second);
}

void configure_log(std::string_view level, std::uint32_t lines_per_second)
{
    auto& log = state();
    const std::lock_guard lock(log.mutex);
    if (log.logger)
        set_level_and_rate_limit(log, level, lines_per_second);
}

void close_log()
{
    auto& log = state();
    const std::lock_guard lock(log.mutex);
    log.logger.reset();
    spdlog::shutdown();
}

std::uint64_t dropped_log_line_count()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    auto& log = state();
    const std::lock_guard lock(log.mutex);
    if (!log.logger || !log.logger->should_log(to_spdlog(level)))
        return;
    const auto now = wall_clock_now();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    auto& rate = log.rates[std::string(event)];
    if (rate.second != second)
    {
        rate.second = second;
        rate.lines = 0;
    }
    if (++rate.lines > log.lines_per_second)
    {
        ++rate.suppressed;
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = now.count();
    line["level"] = spdlog::level::to_string_view(to_spdlog(level)).data();
    line["process"] = log.process;
    line["event"] = std::string(event);
    for (const auto& [key, value] : fields)
        std::visit([&, name = std::string(key)](const auto& v) { line[name] = v; }, value);
    if (const auto suppressed = std::exchange(rate.suppressed, 0))
        line["left_out"] = suppressed;
    log.logger->log(to_spdlog(level),
                    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace tarragonlock
