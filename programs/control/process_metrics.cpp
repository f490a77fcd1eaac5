#include "process_metrics.hpp"

#include "status_client.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>

namespace tarragonlock::control
{

namespace
{

constexpr std::string_view prefix = "tarragonlock_";
constexpr std::string_view bucket_prefix = "response_ms_bucket{";
/// Only entries count jobs.
constexpr std::string_view entry_metric = "jobs_submitted_total";

struct column
{
    const char* title;
    const char* metric;
};

constexpr std::array entry_columns{
    column{"SUBMITTED", "jobs_submitted_total"}, column{"COMPLETED", "jobs_completed_total"},
    column{"FAILED", "jobs_failed_total"},       column{"REFUSED", "jobs_refused_total"},
    column{"GIVEN-UP", "jobs_given_up_total"},   column{"AGENTS", "agents"}};

constexpr std::array agent_columns{
    column{"STARTED", "tasks_started_total"}, column{"DONE", "tasks_done_total"},
    column{"FAILED", "tasks_failed_total"},   column{"STOPPED", "tasks_stopped_total"},
    column{"WAITING", "tasks_waiting"},       column{"RUNNING", "tasks_running"}};

template<std::size_t Size>
std::string table(const char* title, const std::array<column, Size>& columns,
                  const std::vector<const process_metrics*>& processes)
{
    std::string text = fmt::format("{:<22}", title);
    for (const auto& each : columns)
        text += fmt::format(" {:>10}", each.title);
    text += '\n';
    for (const auto* process : processes)
    {
        text += fmt::format("{:<22}", process->address);
        for (const auto& each : columns)
        {
            const auto found = process->values.find(each.metric);
            text += found == process->values.end() ? fmt::format(" {:>10}", "-")
                                                   : fmt::format(" {:>10.0f}", found->second);
        }
        text += '\n';
    }
    return text;
}

/// Counts of one queue's response times up to each bound.
using buckets = std::map<double, double>;

/// @return the bound below which a share of the times lies
double quantile(const buckets& counts, double share)
{
    if (counts.empty())
        return 0.0;
    const auto wanted = counts.rbegin()->second * share;
    const auto found = std::find_if(counts.begin(), counts.end(),
                                    [&](const auto& item) { return item.second >= wanted; });
    return found->first;
}

/// @return the value of a label, or an empty text
std::string label(const std::string& name_and_labels, const std::string& label_name)
{
    const auto key = label_name + "=\"";
    const auto found = name_and_labels.find(key);
    if (found == std::string::npos)
        return {};
    const auto begin = found + key.size();
    return name_and_labels.substr(begin, name_and_labels.find('"', begin) - begin);
}

/// @return the number at the start of a text; "+Inf" is one
std::optional<double> number_in(const std::string& text)
{
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    return end == text.c_str() ? std::nullopt : std::optional(value);
}

/// @return the buckets of an entry's queues
std::map<std::string, buckets> queues_of(const process_metrics& entry)
{
    std::map<std::string, buckets> queues;
    for (const auto& [name, value] : entry.values)
    {
        if (!name.starts_with(bucket_prefix))
            continue;
        if (const auto bound = number_in(label(name, "le")))
            queues[label(name, "service")][*bound] = value;
    }
    return queues;
}

std::string queue_table(const std::vector<const process_metrics*>& entries)
{
    std::string text = fmt::format("{:<22} {:<16} {:>10} {:>10} {:>10}\n", "ENTRY", "QUEUE",
                                   "ANSWERED", "P50-MS", "P99-MS");
    for (const auto* entry : entries)
    {
        for (const auto& [queue, counts] : queues_of(*entry))
            text +=
                fmt::format("{:<22} {:<16} {:>10.0f} {:>10.1f} {:>10.1f}\n", entry->address, queue,
                            counts.rbegin()->second, quantile(counts, 0.5), quantile(counts, 0.99));
    }
    return text;
}

} // namespace

metric_values parse_metrics(const std::string& text)
{
    metric_values values;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        const auto end = line.rfind(' ');
        if (!line.starts_with(prefix) || end == std::string::npos)
            continue;
        if (const auto value = number_in(line.substr(end + 1)))
            values[line.substr(prefix.size(), end - prefix.size())] = *value;
    }
    return values;
}

std::optional<process_metrics> fetch_metrics(const std::string& address)
{
    const auto text = fetch(address, "/metrics");
    if (!text)
        return std::nullopt;
    return process_metrics{address, parse_metrics(*text)};
}

std::string render_metrics(const std::vector<process_metrics>& processes)
{
    std::vector<const process_metrics*> entries;
    std::vector<const process_metrics*> agents;
    for (const auto& process : processes)
        (process.values.contains(entry_metric) ? entries : agents).push_back(&process);
    std::string text;
    if (!entries.empty())
        text += table("ENTRY", entry_columns, entries) + '\n' + queue_table(entries);
    if (!entries.empty() && !agents.empty())
        text += '\n';
    if (!agents.empty())
        text += table("AGENT", agent_columns, agents);
    return text;
}

} // namespace tarragonlock::control
