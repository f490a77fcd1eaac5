#pragma once

#include "fakes/virtual_fleet.hpp"

#include <string>
#include <vector>

namespace tarragonlock::test
{

/// A scenario file, see tests/scenarios/README.md.
struct scenario
{
    std::string guarantee;
    /// Mechanisms without each of which the scenario must fail.
    std::vector<std::string> fails_without;
    std::string file;

    static scenario load(const std::string& file);
    /// Runs the steps.
    /// @return what was not as expected, violations of the history included
    std::vector<std::string> run(const mechanisms& enabled) const;
};

} // namespace tarragonlock::test
