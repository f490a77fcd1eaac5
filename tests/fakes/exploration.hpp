#pragma once

#include "fakes/virtual_fleet.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tarragonlock::test
{

/// Result of one random schedule.
struct exploration_result
{
    std::uint32_t faults = 0;
    std::uint32_t submissions = 0;
    std::vector<std::string> violations;
    /// One line for each step, start and answer, each with its time in milliseconds first.
    std::vector<std::string> trace;
};

/// Runs one random schedule of submissions and faults against the production code of entries and
/// agents.
exploration_result explore(std::uint64_t seed, const mechanisms& enabled);

/// @return all mechanisms with one switched off, or nullopt for an unknown name
std::optional<mechanisms> without(const std::string& mechanism);

/// @return the names that without() accepts
std::vector<std::string> mechanism_names();

} // namespace tarragonlock::test
