#pragma once

#include "fakes/virtual_fleet.hpp"

#include <string>
#include <vector>

namespace tarragonlock::test
{

/// A scenario file; tests/scenarios/README.md describes the format.
struct scenario
{
    std::string guarantee;
    /// The scenario must fail when any one of these mechanisms is switched off.
    std::vector<std::string> fails_without;
    std::string file;

    static scenario load(const std::string& file);
    /// Runs the steps.
    /// @return unmet expectations and violations found in the history, one line each
    std::vector<std::string> run(const mechanisms& enabled) const;
};

} // namespace tarragonlock::test
