#pragma once

#include "fakes/leased_fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock::fakes
{

/// Load of the users' days with trouble, as a share of the fleet; their calm days have 0.72 of it.
constexpr double busy_load = 0.61;
constexpr double calm_load = 0.44;

/// Workers of three speeds with room for ten tasks each: short wide lookups, long releases, and
/// many holds.
/// @param load     share of the fleet that the queues take without floods
/// @param entries  entries that share the jobs
/// @param agents   workers; the jobs a second grow with them
leased_fleet_options mixed_fleet(double load = busy_load, std::size_t entries = 3,
                                 std::size_t agents = 11);

/// Jobs of one queue come in a multiple of their number for six seconds.
void flood(queue_traffic& queue, double factor);

/// A load that admission, order and placement answer.
struct load_pattern
{
    std::string name;
    leased_fleet_options options;
};

/// @return the patterns that policies are compared on
std::vector<load_pattern> load_patterns();

/// @param name  of one of the patterns; any other one is a mistake of the test and throws
leased_fleet_options load_pattern_named(std::string_view name);

/// The same load for a fleet with perfect knowledge: one entry that sees every change of the
/// workers at once, and callers that declare the true run times.
leased_fleet_options with_perfect_knowledge(leased_fleet_options options);

} // namespace tarragonlock::fakes
