#include "fakes/load_patterns.hpp"

#include <stdexcept>

namespace tarragonlock::fakes
{

namespace
{

using std::chrono::seconds;

constexpr std::size_t lookup = 0;
constexpr std::size_t release = 1;
constexpr std::size_t hold = 2;

leased_fleet_options with_lost_agents(leased_fleet_options options, std::size_t count)
{
    options.lost_agents = count;
    options.lost_at = seconds(8);
    return options;
}

leased_fleet_options with_floods(leased_fleet_options options,
                                 std::initializer_list<std::pair<std::size_t, double>> floods)
{
    for (const auto& [queue, factor] : floods)
        add_flood(options.traffic[queue], factor);
    return options;
}

} // namespace

leased_fleet_options mixed_fleet(double load, std::size_t entries, std::size_t agents)
{
    constexpr double default_agents = 11.0;
    load *= static_cast<double>(agents) / default_agents;
    leased_fleet_options options;
    options.entries = entries;
    options.agents = agents;
    options.tasks_per_worker = 10;
    options.fault_interval = {};
    options.length = seconds(26);
    options.failing_share = 0.002; // as in the users' site configurations
    options.traffic = {{"lookup", 48.5 * load, 8, 60, 0},
                       {"release", 8.5 * load, 4, 900, 2},
                       {"hold", 142.6 * load, 2, 200, 1}};
    return options;
}

void add_flood(queue_traffic& queue, double factor)
{
    queue.flood_factor = factor;
    queue.flood_from = seconds(6);
    queue.flood_for = seconds(6);
}

std::vector<load_pattern> load_patterns()
{
    const auto small = mixed_fleet();
    const auto large = mixed_fleet(busy_load, 12, 44);
    auto unanswered = with_lost_agents(with_floods(large, {{release, 2.5}}), 9);
    unanswered.unanswered_starts = 0.06;
    unanswered.unanswered_from = seconds(4);
    unanswered.unanswered_for = seconds(9);
    unanswered.start_timeout = std::chrono::milliseconds(10);
    auto fleet = mixed_fleet(busy_load, 35, 160);
    fleet.failure_domains = 5;
    fleet.length = seconds(24);
    auto calm_fleet = mixed_fleet(calm_load, 35, 160);
    calm_fleet.failure_domains = 5;
    calm_fleet.length = seconds(18);
    auto moved_callers = calm_fleet;
    moved_callers.first_domain_surplus = 0.3;
    auto stalled = small;
    stalled.stalled_workers = 3;
    stalled.stalled_at = seconds(8);
    stalled.stalled_for = seconds(5);
    const auto all_doubled = [](const leased_fleet_options& options, std::size_t stalled_workers)
    {
        auto doubled = with_floods(options, {{lookup, 2.0}, {release, 2.0}, {hold, 2.0}});
        doubled.stalled_workers = stalled_workers;
        doubled.stalled_at = seconds(7);
        doubled.stalled_for = seconds(4);
        return doubled;
    };
    auto replaced = small;
    replaced.leaving_workers = 7;
    replaced.leaving_at = seconds(5);
    replaced.leave_interval = seconds(2);
    replaced.leave_notice = std::chrono::milliseconds(400);
    auto hot_rack = with_floods(mixed_fleet(busy_load * 1.25, 6, 24), {{lookup, 1.9}});
    hot_rack.racks = 8;
    hot_rack.traffic[lookup].rack_share = 0.5;
    auto lost_rack = with_lost_agents(hot_rack, 3);
    auto tails = small;
    tails.tail_share = 0.03;
    tails.tail_factor = 7.0;
    auto slow = tails;
    slow.slow_workers = 3;
    slow.slow_at = seconds(8);
    slow.slow_for = seconds(6);
    return {
        {"calm", mixed_fleet(calm_load)},
        {"lookups x1.9", with_floods(small, {{lookup, 1.9}})},
        {"releases x2.5", with_floods(small, {{release, 2.5}})},
        {"holds x3", with_floods(small, {{hold, 3.0}})},
        {"releases x2.5, 2 of 11 lost", with_lost_agents(with_floods(small, {{release, 2.5}}), 2)},
        {"lookups x1.7, releases x2.5, 4 of 11 lost",
         with_lost_agents(with_floods(small, {{lookup, 1.7}, {release, 2.5}}), 4)},
        {"3 of 11 stand still", stalled},
        {"all x2, 2 of 11 stand still", all_doubled(small, 2)},
        {"12 entries, all x2, 6 of 44 stand still", all_doubled(large, 6)},
        {"run times with a tail", tails},
        {"run times with a tail, 3 of 11 turn slow", slow},
        {"7 of 11 replaced at short notice", replaced},
        {"lookups x1.9, half of them want one of 8 racks", hot_rack},
        {"lookups x1.9, half of them want one of 8 racks, which is lost", lost_rack},
        {"12 entries, releases x2.5", with_floods(large, {{release, 2.5}})},
        {"12 entries, holds x3", with_floods(large, {{hold, 3.0}})},
        {"12 entries, releases x2.5, 9 of 44 lost",
         with_lost_agents(with_floods(large, {{release, 2.5}}), 9)},
        {"12 entries, releases x2.5, 9 of 44 lost, 6% of starts unanswered", unanswered},
        {"35 entries, calm", calm_fleet},
        {"35 entries, callers move to one domain", moved_callers},
        {"35 entries, releases x2.5, 16 of 160 lost",
         with_lost_agents(with_floods(fleet, {{release, 2.5}}), 16)}};
}

leased_fleet_options load_pattern_named(std::string_view name)
{
    for (const auto& pattern : load_patterns())
    {
        if (pattern.name == name)
            return pattern.options;
    }
    throw std::invalid_argument("no load pattern is named " + std::string(name));
}

leased_fleet_options with_perfect_knowledge(leased_fleet_options options)
{
    options.entries = 1;
    options.link_delay = {};
    options.failure_domains = 1;
    options.estimate_error = 0;
    return options;
}

} // namespace tarragonlock::fakes
