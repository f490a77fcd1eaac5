#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock::control
{

/// @param address  host:port
/// @return the body of the response to a GET, without trailing newlines; nothing when the process
///         doesn't answer or the status isn't 200
std::optional<std::string> fetch(const std::string& address, const std::string& path);

/// @param entries  HTTP addresses, host:port
/// @return the status of each entry that answers
std::vector<nlohmann::json> fetch_status(const std::vector<std::string>& entries);

/// @return text tables of the entries and of the workers that the first entry reports
std::string render_status(const std::vector<nlohmann::json>& entry_statuses);

/// Counts the entries, and the workers connected to them.
/// @return how many run at least this version of the configuration, and how many there are
std::pair<std::size_t, std::size_t>
count_processes_at_version(const std::vector<std::string>& entries, std::int64_t version);

/// Asks a process to finish its tasks and accept no new ones.
/// @return whether it accepted the request
bool request_drain(const std::string& address);

} // namespace tarragonlock::control
