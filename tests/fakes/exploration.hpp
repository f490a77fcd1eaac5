#pragma once

#include "fakes/virtual_fleet.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tarragonlock::test
{

struct exploration_result
{
    std::uint32_t faults = 0;
    std::uint32_t submissions = 0;
    std::vector<std::string> violations;
    /// What was done, one line each.
    std::vector<std::string> trace;
};

/// Runs one random schedule of submissions and faults against the shipped decision code.
exploration_result explore(std::uint64_t seed, const mechanisms& enabled);

/// @return the mechanisms with one switched off, or nothing for an unknown name.
std::optional<mechanisms> without(const std::string& mechanism);

/// Names that without knows.
std::vector<std::string> mechanism_names();

} // namespace tarragonlock::test
