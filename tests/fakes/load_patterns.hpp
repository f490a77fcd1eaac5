#pragma once

#include "fakes/leased_fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock::fakes
{

/// Load on the users' days with disturbances, as a share of the fleet's capacity; the load on their
/// calm days is 0.72 of it.
constexpr double busy_load = 0.61;
constexpr double calm_load = 0.44;

/// Workers of three speeds that run ten tasks at a time each, with three queues: lookups with many
/// short tasks, releases with long tasks, and frequent holds.
/// @param load     share of the fleet's capacity that the queues use without floods
/// @param entries  number of entries that share the jobs
/// @param agents   number of workers; the job rates are proportional to it
leased_fleet_options mixed_fleet(double load = busy_load, std::size_t entries = 3,
                                 std::size_t agents = 11);

/// Multiplies the job rate of one queue for six seconds.
void add_flood(queue_traffic& queue, double factor);

/// A load for comparing policies of admission, ordering and placement.
struct load_pattern
{
    std::string name;
    leased_fleet_options options;
};

/// @return the patterns on which policies are compared
std::vector<load_pattern> load_patterns();

/// @param name  name of one of the patterns
/// @throws std::invalid_argument for any other name
leased_fleet_options load_pattern_named(std::string_view name);

/// The same load for a fleet with perfect knowledge: a single entry that receives every change of
/// the workers without delay, and callers that declare the exact run times.
leased_fleet_options with_perfect_knowledge(leased_fleet_options options);

} // namespace tarragonlock::fakes
