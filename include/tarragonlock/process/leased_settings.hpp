#pragma once

#include "tarragonlock/common/diagnostic.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/process/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Settings of an entry of leased jobs. docs/SETTINGS.md lists every key.
struct leased_entry_settings
{
    /// File that the settings were read from.
    std::string file;
    std::string name;
    std::string failure_domain;
    /// IP address of the host.
    std::string host;
    std::string listen_callers;
    std::string listen_readiness;
    /// Address on which worker announcements, which belong to an agent, are refused with 503;
    /// empty to disable.
    std::string listen_announcements;
    std::uint32_t peer_port = 0;
    std::uint32_t metrics_port = 0;
    std::string store;
    std::uint32_t caller_resend_ms = 0;
    std::uint32_t grace_s = 0;
    std::uint32_t max_body_bytes = 0;
    double remote_data_factor = 1.0;
    /// Memory of the host for this process, in MiB.
    std::uint32_t memory_mb = 0;
    /// Limit of open descriptors of this process.
    std::uint32_t max_fds = 0;
    log_settings log;

    static result<leased_entry_settings> parse(const std::string& text, const std::string& file,
                                               diagnostics& errors);
    friend bool operator==(const leased_entry_settings&, const leased_entry_settings&) = default;
};

/// Settings of an agent of leased jobs. docs/SETTINGS.md lists every key.
struct leased_agent_settings
{
    /// File that the settings were read from.
    std::string file;
    std::string name;
    std::string failure_domain;
    std::string host;
    /// Address on which the agent accepts announcements of the worker on this host.
    std::string listen_worker;
    /// Port on which every entry accepts agents.
    std::uint32_t peer_port = 0;
    std::uint32_t metrics_port = 0;
    std::string store;
    /// Addresses of some entries' hosts, as host:port; used until the store lists the entries.
    std::vector<std::string> entry_hints;
    std::uint32_t caller_resend_ms = 0;
    std::uint32_t execution_lease_ms = 0;
    std::uint32_t announcement_lifetime_ms = 0;
    std::uint32_t grace_s = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t max_fds = 0;
    log_settings log;

    static result<leased_agent_settings> parse(const std::string& text, const std::string& file,
                                               diagnostics& errors);
    friend bool operator==(const leased_agent_settings&, const leased_agent_settings&) = default;
};

} // namespace tarragonlock
