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

constexpr std::string_view metric_prefix = "tarragonlock_";
constexpr std::string_view bucket_prefix = "response_ms_bucket{";
/// Exported by entries only; tells their metrics from those of agents.
constexpr std::string_view entry_only_metric = "jobs_submitted_total";

struct metric_column
{
    const char* title;
    const char* metric;
};

constexpr std::array entry_columns{metric_column{"SUBMITTED", "jobs_submitted_total"},
                                   metric_column{"COMPLETED", "jobs_completed_total"},
                                   metric_column{"FAILED", "jobs_failed_total"},
                                   metric_column{"REFUSED", "jobs_refused_total"},
                                   metric_column{"GIVEN-UP", "jobs_given_up_total"},
                                   metric_column{"AGENTS", "agents"},
                                   metric_column{"EVACUATED", "evacuated_domains"}};

constexpr std::array agent_columns{metric_column{"STARTED", "tasks_started_total"},
                                   metric_column{"DONE", "tasks_done_total"},
                                   metric_column{"FAILED", "tasks_failed_total"},
                                   metric_column{"STOPPED", "tasks_stopped_total"},
                                   metric_column{"WAITING", "tasks_waiting"},
                                   metric_column{"RUNNING", "tasks_running"},
                                   metric_column{"EVACUATED", "evacuated_domains"}};

template<std::size_t Size>
std::string format_table(const char* title, const std::array<metric_column, Size>& columns,
                         const std::vector<const process_metrics*>& processes)
{
    std::string text = fmt::format("{:<22}", title);
    for (const auto& column : columns)
        text += fmt::format(" {:>10}", column.title);
    text += '\n';
    for (const auto* process : processes)
    {
        text += fmt::format("{:<22}", process->address);
        for (const auto& column : columns)
        {
            const auto found = process->values.find(column.metric);
            text += found == process->values.end() ? fmt::format(" {:>10}", "-")
                                                   : fmt::format(" {:>10.0f}", found->second);
        }
        text += '\n';
    }
    return text;
}

/// Cumulative histogram of one queue's response times: for each upper bound in milliseconds, the
/// number of responses within it.
using response_histogram = std::map<double, double>;

/// @param share  in 0 to 1
/// @return the smallest upper bound in milliseconds that at least this share of the times lies
///         within; 0 without any times
double quantile(const response_histogram& histogram, double share)
{
    if (histogram.empty())
        return 0.0;
    const auto rank = histogram.rbegin()->second * share;
    const auto found = std::find_if(histogram.begin(), histogram.end(),
                                    [&](const auto& item) { return item.second >= rank; });
    return found->first;
}

/// @return the value of a label, or an empty string when the label is absent
std::string label_value(const std::string& name_and_labels, const std::string& label_name)
{
    const auto key = label_name + "=\"";
    const auto found = name_and_labels.find(key);
    if (found == std::string::npos)
        return {};
    const auto begin = found + key.size();
    return name_and_labels.substr(begin, name_and_labels.find('"', begin) - begin);
}

/// @return the number at the start of a text, "+Inf" included; nothing when there is none
std::optional<double> parse_number(const std::string& text)
{
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    return end == text.c_str() ? std::nullopt : std::optional(value);
}

/// @return the response time histogram of each queue of an entry, by the name of the queue
std::map<std::string, response_histogram> queue_histograms(const process_metrics& entry)
{
    std::map<std::string, response_histogram> queues;
    for (const auto& [name, value] : entry.values)
    {
        if (!name.starts_with(bucket_prefix))
            continue;
        if (const auto bound = parse_number(label_value(name, "le")))
            queues[label_value(name, "service")][*bound] = value;
    }
    return queues;
}

std::string format_queue_table(const std::vector<const process_metrics*>& entries)
{
    std::string text = fmt::format("{:<22} {:<16} {:>10} {:>10} {:>10}\n", "ENTRY", "QUEUE",
                                   "ANSWERED", "P50-MS", "P99-MS");
    for (const auto* entry : entries)
    {
        for (const auto& [queue, histogram] : queue_histograms(*entry))
            text += fmt::format("{:<22} {:<16} {:>10.0f} {:>10.1f} {:>10.1f}\n", entry->address,
                                queue, histogram.rbegin()->second, quantile(histogram, 0.5),
                                quantile(histogram, 0.99));
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
        if (!line.starts_with(metric_prefix) || end == std::string::npos)
            continue;
        if (const auto value = parse_number(line.substr(end + 1)))
            values[line.substr(metric_prefix.size(), end - metric_prefix.size())] = *value;
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
        (process.values.contains(entry_only_metric) ? entries : agents).push_back(&process);
    std::string text;
    if (!entries.empty())
        text += format_table("ENTRY", entry_columns, entries) + '\n' + format_queue_table(entries);
    if (!entries.empty() && !agents.empty())
        text += '\n';
    if (!agents.empty())
        text += format_table("AGENT", agent_columns, agents);
    return text;
}

} // namespace tarragonlock::control
