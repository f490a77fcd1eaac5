#include "tarragonlock/process/leased_settings.hpp"

#include "connection/socket.hpp"
#include "process/settings_values.hpp"

namespace tarragonlock
{

namespace
{

constexpr std::int64_t max_port = 65'535;
/// Memory and descriptors of a small host; a deployment's template fills in those of the real one.
constexpr std::int64_t default_memory_mb = 160;
constexpr std::int64_t default_max_fds = 4100;

std::string read_optional_address(yaml_reader& reader, std::string_view key)
{
    auto address = reader.text(key, "");
    if (!address.empty() && !parse_address(address))
        reader.report_error(key, "must be an IP address and a port, as in 127.0.0.1:7100");
    return address;
}

} // namespace

result<leased_entry_settings>
leased_entry_settings::parse(const std::string& text, const std::string& file, diagnostics& errors)
{
    const auto initial_error_count = errors.size();
    const auto invalid = std::make_error_code(std::errc::invalid_argument);
    const auto root = yaml_reader::parse(text, file, errors);
    if (!root)
        return invalid;
    yaml_reader reader(*root, file, "", errors);
    reader.allow_only({"name", "failure_domain", "host", "listen_callers", "listen_readiness",
                       "listen_announcements", "peer_port", "metrics_port", "store",
                       "caller_resend_ms", "grace_s", "max_body_bytes", "remote_data_factor",
                       "memory_mb", "max_fds", "log"});
    leased_entry_settings settings;
    settings.file = file;
    settings.name = reader.required_text("name");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.host = reader.required_text("host");
    settings.listen_callers = read_address(reader, "listen_callers");
    settings.listen_readiness = read_address(reader, "listen_readiness");
    settings.listen_announcements = read_optional_address(reader, "listen_announcements");
    settings.peer_port = read_count(reader, "peer_port", 7100, 1, max_port);
    settings.metrics_port = read_count(reader, "metrics_port", 9464, 0, max_port);
    settings.store = read_address(reader, "store");
    settings.caller_resend_ms = read_count(reader, "caller_resend_ms", 1300, 400, 600'000);
    settings.grace_s = read_count(reader, "grace_s", 6, 1, 600);
    settings.max_body_bytes = read_count(reader, "max_body_bytes", 1'048'576, 1024, 6'291'456);
    settings.memory_mb = read_count(reader, "memory_mb", default_memory_mb, 32, 1'048'576);
    settings.max_fds = read_count(reader, "max_fds", default_max_fds, 240, 1'048'576);
    settings.remote_data_factor = reader.number("remote_data_factor", 1.5, 1.0, 100.0);
    settings.log = read_log(reader);
    if (errors.size() != initial_error_count)
        return invalid;
    return settings;
}

result<leased_agent_settings>
leased_agent_settings::parse(const std::string& text, const std::string& file, diagnostics& errors)
{
    const auto initial_error_count = errors.size();
    const auto invalid = std::make_error_code(std::errc::invalid_argument);
    const auto root = yaml_reader::parse(text, file, errors);
    if (!root)
        return invalid;
    yaml_reader reader(*root, file, "", errors);
    reader.allow_only({"name", "failure_domain", "host", "listen_worker", "peer_port",
                       "metrics_port", "store", "entry_hints", "caller_resend_ms",
                       "execution_lease_ms", "announcement_lifetime_ms", "grace_s", "memory_mb",
                       "max_fds", "log"});
    leased_agent_settings settings;
    settings.file = file;
    settings.name = reader.required_text("name");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.host = reader.required_text("host");
    settings.listen_worker = read_address(reader, "listen_worker");
    settings.peer_port = read_count(reader, "peer_port", 7100, 1, max_port);
    settings.metrics_port = read_count(reader, "metrics_port", 9464, 0, max_port);
    settings.store = read_address(reader, "store");
    settings.entry_hints = reader.string_list("entry_hints");
    settings.caller_resend_ms = read_count(reader, "caller_resend_ms", 1300, 400, 600'000);
    settings.execution_lease_ms = read_count(reader, "execution_lease_ms", 1000, 100, 600'000);
    settings.announcement_lifetime_ms =
        read_count(reader, "announcement_lifetime_ms", 4500, 100, 600'000);
    settings.grace_s = read_count(reader, "grace_s", 6, 1, 600);
    settings.memory_mb = read_count(reader, "memory_mb", default_memory_mb, 32, 1'048'576);
    settings.max_fds = read_count(reader, "max_fds", default_max_fds, 240, 1'048'576);
    settings.log = read_log(reader);
    if (settings.execution_lease_ms >= settings.caller_resend_ms)
        reader.report_error("execution_lease_ms", "must be less than caller_resend_ms");
    if (errors.size() != initial_error_count)
        return invalid;
    return settings;
}

} // namespace tarragonlock
