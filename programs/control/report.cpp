#include "commands.hpp"
#include "status_client.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <tuple>

namespace tarragonlock::control
{

namespace
{

using nlohmann::json;

/// Counts of answers for one service, team and urgency, summed over all entries.
struct service_level
{
    double objective_ms = 0;
    /// Share of answers that must arrive within the objective.
    double target = 0;
    double total_5_minutes = 0;
    double good_5_minutes = 0;
    double total_hour = 0;
    double good_hour = 0;
    /// Quantiles: the largest of the entries' values, because quantiles can't be summed.
    double p50_ms = 0;
    double p99_ms = 0;

    static double burn_rate(double total, double good, double target)
    {
        return total > 0 ? (total - good) / total / (1.0 - target) : 0.0;
    }
    double burn_5_minutes() const { return burn_rate(total_5_minutes, good_5_minutes, target); }
    double burn_hour() const { return burn_rate(total_hour, good_hour, target); }
    double budget_left() const { return std::max(0.0, 1.0 - burn_hour()); }
};

using level_map = std::map<std::tuple<std::string, std::string, int>, service_level>;

level_map sum_levels(const std::vector<json>& entry_statuses)
{
    level_map levels;
    for (const auto& entry : entry_statuses)
    {
        for (const auto& item : entry.at("levels"))
        {
            auto& sum = levels[{item.at("service"), item.at("team"), item.at("urgency")}];
            sum.objective_ms = item.at("objective_ms");
            sum.target = item.at("target");
            sum.total_5_minutes += item.at("last_5_minutes").at("total").get<double>();
            sum.good_5_minutes += item.at("last_5_minutes").at("good").get<double>();
            sum.total_hour += item.at("last_hour").at("total").get<double>();
            sum.good_hour += item.at("last_hour").at("good").get<double>();
            sum.p50_ms = std::max(sum.p50_ms, item.at("p50_ms").get<double>());
            sum.p99_ms = std::max(sum.p99_ms, item.at("p99_ms").get<double>());
        }
    }
    return levels;
}

std::string terminal_table(const level_map& levels)
{
    auto text = fmt::format("{:<14} {:<12} {:>7} {:>12} {:>8} {:>9} {:>9} {:>11} {:>8} {:>8}\n",
                            "SERVICE", "TEAM", "URGENCY", "OBJECTIVE", "ANSWERS", "BURN 5m",
                            "BURN 1h", "BUDGET LEFT", "P50 ms", "P99 ms");
    for (const auto& [key, level] : levels)
        text += fmt::format(
            "{:<14} {:<12} {:>7} {:>6.2f}%<{:>4.0f} {:>8.0f} {:>9.2f} {:>9.2f} {:>10.1f}% {:>8.0f} "
            "{:>8.0f}\n",
            std::get<0>(key), std::get<1>(key), std::get<2>(key), level.target * 100,
            level.objective_ms, level.total_hour, level.burn_5_minutes(), level.burn_hour(),
            level.budget_left() * 100, level.p50_ms, level.p99_ms);
    return text;
}

std::string escape_html(const std::string& text)
{
    std::string escaped;
    for (const char c : text)
        escaped += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    return escaped;
}

/// @return an SVG bar and the number; a burn rate of 10 or more fills the bar
std::string burn_rate_bar(double burn_rate)
{
    constexpr double full_width = 200.0;
    constexpr double full_burn = 10.0;
    const double width = std::min(full_width, burn_rate / full_burn * full_width);
    const char* color = burn_rate > 1.0 ? "#c0392b" : "#27ae60";
    return fmt::format("<svg width=\"200\" height=\"12\"><rect width=\"{:.0f}\" height=\"12\" "
                       "fill=\"{}\"/></svg> {:.2f}",
                       width, color, burn_rate);
}

std::string html_page(const level_map& levels)
{
    std::string rows;
    for (const auto& [key, level] : levels)
        rows +=
            fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.2f}% within {:.0f} ms</td>"
                        "<td>{:.0f}</td><td>{}</td><td>{}</td><td>{:.1f}%</td><td>{:.0f}</td>"
                        "<td>{:.0f}</td></tr>\n",
                        escape_html(std::get<0>(key)), escape_html(std::get<1>(key)),
                        std::get<2>(key), level.target * 100, level.objective_ms, level.total_hour,
                        burn_rate_bar(level.burn_5_minutes()), burn_rate_bar(level.burn_hour()),
                        level.budget_left() * 100, level.p50_ms, level.p99_ms);
    return "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>"
           "<style>body{font-family:sans-serif}td,th{padding:4px 10px;text-align:left}"
           "tr:nth-child(even){background:#f4f4f4}</style><h1>Service-level burn</h1>"
           "<p>At a burn rate of 1 the error budget lasts exactly as long as its window.</p>"
           "<table><tr><th>Service<th>Team<th>Urgency<th>Objective<th>Answers<th>Burn, 5 minutes"
           "<th>Burn, 1 hour<th>Budget left<th>p50 ms<th>p99 ms</tr>" +
           rows + "</table>\n";
}

json levels_to_json(const level_map& levels)
{
    auto all = json::array();
    for (const auto& [key, level] : levels)
        all.push_back({{"service", std::get<0>(key)},
                       {"team", std::get<1>(key)},
                       {"urgency", std::get<2>(key)},
                       {"burn_5_minutes", level.burn_5_minutes()},
                       {"burn_hour", level.burn_hour()},
                       {"budget_left", level.budget_left()},
                       {"answers", level.total_hour},
                       {"p50_ms", level.p50_ms},
                       {"p99_ms", level.p99_ms}});
    return all;
}

} // namespace

exit_status report(const arguments& args)
{
    const auto entry_statuses = fetch_status(split_addresses(args.at("--entries")));
    if (entry_statuses.empty())
    {
        std::cerr << "no entry answers\n";
        return exit_status::unreachable;
    }
    const auto levels = sum_levels(entry_statuses);
    if (args.at("--json").asBool())
        std::cout << levels_to_json(levels).dump() << '\n';
    else
        std::cout << terminal_table(levels);
    if (args.at("--html"))
        std::ofstream(args.at("--html").asString()) << html_page(levels);
    return exit_status::success;
}

} // namespace tarragonlock::control
