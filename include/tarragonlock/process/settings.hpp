#pragma once

#include "tarragonlock/common/diagnostic.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/request/job.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Name and address of another process.
struct peer_address
{
    std::string name;
    std::string address;
    friend bool operator==(const peer_address&, const peer_address&) = default;
};

struct log_settings
{
    /// "debug", "info", "warn" or "error".
    std::string level = "info";
    /// Maximum number of lines of one event per second; further lines are dropped and counted.
    std::uint32_t lines_per_second = 50;
    friend bool operator==(const log_settings&, const log_settings&) = default;
};

/// Settings of an entry. docs/SETTINGS.md lists every key.
struct entry_settings
{
    std::string name;
    std::string failure_domain;
    std::string listen_peers;
    std::string listen_http;
    std::vector<peer_address> entries;
    std::vector<std::string> store_addresses;
    std::string placement;
    std::uint32_t max_body_bytes = 0;
    std::uint32_t record_window_s = 0;
    std::uint32_t result_mb = 0;
    std::uint32_t lease_ms = 0;
    std::uint32_t silence_ms = 0;
    bool ejection = true;
    /// Memory and descriptors that the host has for the process.
    std::uint32_t memory_mb = 0;
    std::uint32_t max_fds = 0;
    log_settings log;

    /// Parses and checks a settings file's text.
    /// @param errors  receives every error with file, line and key
    static result<entry_settings> parse(const std::string& text, const std::string& file,
                                        diagnostics& errors);
    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/// Settings of an agent. docs/SETTINGS.md lists every key.
struct agent_settings
{
    std::string name;
    std::string failure_domain;
    label_set labels;
    std::string listen_peers;
    std::string listen_http;
    std::vector<peer_address> entries;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t record_window_s = 0;
    std::uint32_t record_mb = 0;
    std::uint32_t announcement_lifetime_ms = 0;
    std::uint32_t silence_ms = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t max_fds = 0;
    log_settings log;

    static result<agent_settings> parse(const std::string& text, const std::string& file,
                                        diagnostics& errors);
    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

/// @return the whole text of a file, or no_such_file_or_directory when it cannot be opened.
result<std::string> read_file(const std::string& path);

} // namespace tarragonlock
