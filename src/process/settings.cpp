#include "tarragonlock/process/settings.hpp"

#include "common/yaml_reader.hpp"
#include "connection/socket.hpp"
#include "process/settings_values.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace tarragonlock
{

namespace
{

constexpr std::array log_levels{"debug", "info", "warn", "error"};
constexpr std::array placements{"earliest_finish", "random", "round_robin", "least_outstanding"};

template<std::size_t N>
std::string read_choice(yaml_reader& reader, std::string_view key,
                        const std::array<const char*, N>& choices, std::string_view fallback)
{
    auto value = reader.text(key, fallback);
    if (std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    std::string allowed;
    for (const auto* choice : choices)
        allowed += allowed.empty() ? choice : std::string(", ") + choice;
    reader.report_error(key, "must be one of " + allowed);
    return std::string(fallback);
}

} // namespace

std::string read_address(yaml_reader& reader, std::string_view key)
{
    auto address = reader.required_text(key);
    if (!address.empty() && !parse_address(address))
        reader.report_error(key, "must be an IP address and a port, as in 127.0.0.1:7100");
    return address;
}

std::uint32_t read_count(yaml_reader& reader, std::string_view key, std::int64_t fallback,
                         std::int64_t minimum, std::int64_t maximum)
{
    return static_cast<std::uint32_t>(reader.integer(key, fallback, minimum, maximum));
}

log_settings read_log(yaml_reader& reader)
{
    auto log = reader.child("log");
    log.allow_only({"level", "lines_per_second"});
    return {read_choice(log, "level", log_levels, "info"),
            read_count(log, "lines_per_second", 50, 1, 100'000)};
}

namespace
{

constexpr std::int64_t default_memory_mb = 256;
constexpr std::int64_t default_max_fds = 4100;

std::vector<peer_address> read_entries(yaml_reader& reader)
{
    std::vector<peer_address> entries;
    for (auto& item : reader.children("entries"))
    {
        item.allow_only({"name", "address"});
        entries.push_back({item.required_text("name"), read_address(item, "address")});
    }
    if (entries.empty())
        reader.report_error("entries", "at least one entry is required");
    return entries;
}

} // namespace

result<entry_settings> entry_settings::parse(const std::string& text, const std::string& file,
                                             diagnostics& errors)
{
    const auto errors_before = errors.size();
    const auto invalid_settings = std::make_error_code(std::errc::invalid_argument);
    const auto root = yaml_reader::parse(text, file, errors);
    if (!root)
        return invalid_settings;
    yaml_reader reader(*root, file, "", errors);
    reader.allow_only({"name", "failure_domain", "listen_peers", "listen_http", "entries", "store",
                       "placement", "http_threads", "max_body_bytes", "record_window_s",
                       "result_mb", "lease_ms", "silence_ms", "ejection", "memory_mb", "max_fds",
                       "log"});
    entry_settings settings;
    settings.name = reader.required_text("name");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.listen_peers = read_address(reader, "listen_peers");
    settings.listen_http = read_address(reader, "listen_http");
    settings.entries = read_entries(reader);
    settings.store_addresses = reader.string_list("store");
    settings.placement = read_choice(reader, "placement", placements, "earliest_finish");
    // Has no effect any more; files that contain it stay valid.
    read_count(reader, "http_threads", 256, 4, 4096);
    settings.max_body_bytes = read_count(reader, "max_body_bytes", 4'194'304, 1024, 6'291'456);
    settings.record_window_s = read_count(reader, "record_window_s", 600, 10, 86'400);
    settings.result_mb = read_count(reader, "result_mb", 64, 1, 4096);
    settings.lease_ms = read_count(reader, "lease_ms", 2000, 200, 60'000);
    settings.silence_ms = read_count(reader, "silence_ms", 600, 100, 60'000);
    settings.ejection = reader.boolean("ejection", true);
    settings.memory_mb = read_count(reader, "memory_mb", default_memory_mb, 32, 1'048'576);
    settings.max_fds = read_count(reader, "max_fds", default_max_fds, 240, 1'048'576);
    settings.log = read_log(reader);
    if (settings.store_addresses.empty())
        reader.report_error("store", "at least one address of the key-value store is required");
    const bool listed = std::any_of(settings.entries.begin(), settings.entries.end(),
                                    [&](const auto& entry) { return entry.name == settings.name; });
    if (!listed)
        reader.report_error("entries", "must include this entry's own name");
    if (errors.size() != errors_before)
        return invalid_settings;
    return settings;
}

result<agent_settings> agent_settings::parse(const std::string& text, const std::string& file,
                                             diagnostics& errors)
{
    const auto errors_before = errors.size();
    const auto invalid_settings = std::make_error_code(std::errc::invalid_argument);
    const auto root = yaml_reader::parse(text, file, errors);
    if (!root)
        return invalid_settings;
    yaml_reader reader(*root, file, "", errors);
    reader.allow_only({"name", "failure_domain", "labels", "listen_peers", "listen_http", "entries",
                       "slots", "connections", "record_window_s", "record_mb",
                       "announcement_lifetime_ms", "silence_ms", "memory_mb", "max_fds", "log"});
    agent_settings settings;
    settings.name = reader.required_text("name");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.labels = reader.scalar_map("labels");
    settings.listen_peers = read_address(reader, "listen_peers");
    settings.listen_http = read_address(reader, "listen_http");
    settings.entries = read_entries(reader);
    settings.slots = read_count(reader, "slots", 8, 1, 1024);
    settings.connections = read_count(reader, "connections", 64, 1, 4096);
    settings.record_window_s = read_count(reader, "record_window_s", 600, 10, 86'400);
    settings.record_mb = read_count(reader, "record_mb", 64, 1, 4096);
    settings.announcement_lifetime_ms =
        read_count(reader, "announcement_lifetime_ms", 3000, 100, 600'000);
    settings.silence_ms = read_count(reader, "silence_ms", 600, 100, 60'000);
    settings.memory_mb = read_count(reader, "memory_mb", default_memory_mb, 32, 1'048'576);
    settings.max_fds = read_count(reader, "max_fds", default_max_fds, 240, 1'048'576);
    settings.log = read_log(reader);
    if (settings.connections < settings.slots)
        reader.report_error("connections", "must not be less than slots");
    if (errors.size() != errors_before)
        return invalid_settings;
    return settings;
}

result<std::string> read_file(const std::string& path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::make_error_code(std::errc::no_such_file_or_directory);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace tarragonlock
