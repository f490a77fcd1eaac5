// Runs scenario files. Each scenario must pass, and must fail when any one of the mechanisms in its
// fails_without is switched off.

#include "fakes/exploration.hpp"
#include "fakes/scenario.hpp"

#include <filesystem>
#include <iostream>

namespace
{

using tarragonlock::test::scenario;

/// @return whether the scenario passes, and fails without each mechanism in fails_without
bool check(const scenario& tested)
{
    bool passed = true;
    const auto name = std::filesystem::path(tested.file).stem().string();
    for (const auto& failure : tested.run({}))
    {
        std::cout << name << ": " << failure << '\n';
        passed = false;
    }
    for (const auto& mechanism : tested.fails_without)
    {
        const auto enabled = tarragonlock::test::without(mechanism);
        if (enabled && !tested.run(*enabled).empty())
            continue;
        std::cout << name << ": passes without " << mechanism
                  << ", although fails_without lists it\n";
        passed = false;
    }
    std::cout << (passed ? "ok     " : "FAILED ") << name << '\n';
    return passed;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> files(argv + 1, argv + argc);
    if (files.empty())
    {
        std::cerr << "usage: run_scenarios FILE...\n";
        return 2;
    }
    int failed = 0;
    for (const auto& file : files)
        failed += check(scenario::load(file)) ? 0 : 1;
    std::cout << files.size() - static_cast<std::size_t>(failed) << " passed, " << failed
              << " failed\n";
    return failed == 0 ? 0 : 1;
}
