#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragonlock::control
{

/// Metrics of one process by name and labels, as exported, without the prefix tarragonlock_.
using metric_values = std::map<std::string, double, std::less<>>;

/// The metrics that a process of the leased jobs exports.
struct process_metrics
{
    std::string address;
    metric_values values;
};

/// @param text  in Prometheus' text format
/// @return the values of the metrics with the prefix tarragonlock_; lines that are not samples are
///         skipped
metric_values parse_metrics(const std::string& text);

/// @param address  metrics address of the process, host:port
/// @return the metrics, or nothing when the process doesn't answer
std::optional<process_metrics> fetch_metrics(const std::string& address);

/// @return text tables of the entries, of their response times by queue, and of the agents
std::string render_metrics(const std::vector<process_metrics>& processes);

} // namespace tarragonlock::control
