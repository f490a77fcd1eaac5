#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragonlock::control
{

/// One process's metrics by name and labels, as on its metrics address, without the common prefix.
using metric_values = std::map<std::string, double, std::less<>>;

/// What a process of leased jobs tells on its metrics address.
struct process_metrics
{
    std::string address;
    metric_values values;
};

/// @param text  in Prometheus' text format
/// @return the values of our own metrics; lines that are no samples are left out
metric_values parse_metrics(const std::string& text);

/// @param address  metrics address of the process, host:port
/// @return nothing when the process doesn't answer
std::optional<process_metrics> fetch_metrics(const std::string& address);

/// @return tables of entries, agents, and response times by queue, for the terminal
std::string render_metrics(const std::vector<process_metrics>& processes);

} // namespace tarragonlock::control
