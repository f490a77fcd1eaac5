#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock::control
{

/// @return the body of a GET, or nothing when the process doesn't answer.
std::optional<std::string> fetch(const std::string& address, const std::string& path);

/// @return the status of each entry that answers.
std::vector<nlohmann::json> fetch_status(const std::vector<std::string>& entries);

/// @return a table for the terminal.
std::string render_status(const std::vector<nlohmann::json>& entry_statuses);

/// @return how many processes run at least a version, and how many there are.
std::pair<std::size_t, std::size_t>
count_processes_at_version(const std::vector<std::string>& entries, std::int64_t version);

/// Asks a process to finish what it has and take nothing new. @return whether it answered
bool request_drain(const std::string& address);

} // namespace tarragonlock::control
