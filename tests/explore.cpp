// Runs random schedules of faults against the production code of entries and agents:
// make explore SEEDS=1000 FIRST_SEED=1

#include "fakes/exploration.hpp"

#include <docopt/docopt.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace
{

constexpr auto usage = R"(Explores random schedules of faults.

Usage:
  explore [--seeds N] [--first-seed S] [--without MECHANISM] [--until-found] [--trace]

Options:
  --seeds N            Schedules to run [default: 100].
  --first-seed S       Seed of the first [default: 1].
  --without MECHANISM  Switch one mechanism off: lease, vote, record-query, epoch, grant-expiry,
                       known-worker, known-attempt, ask-before-restart.
  --until-found        Stop at the first violation.
  --trace              Print the steps of each schedule.

Exit status: 0 without violations, 1 with.
)";

using tarragonlock::test::exploration_result;

struct totals
{
    std::mutex mutex;
    std::uint64_t seeds = 0;
    std::uint64_t faults = 0;
    std::uint64_t submissions = 0;
    std::uint64_t violations = 0;
};

void add(totals& sum, std::uint64_t seed, const exploration_result& result, bool trace)
{
    const std::lock_guard lock(sum.mutex);
    ++sum.seeds;
    sum.faults += result.faults;
    sum.submissions += result.submissions;
    sum.violations += result.violations.size();
    for (const auto& line : result.trace)
    {
        if (trace)
            std::cout << "seed " << seed << ": " << line << '\n';
    }
    for (const auto& violation : result.violations)
        std::cout << "seed " << seed << ": VIOLATION " << violation << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto seeds = static_cast<std::uint64_t>(arguments["--seeds"].asLong());
    const auto first = static_cast<std::uint64_t>(arguments["--first-seed"].asLong());
    const bool until_found = arguments["--until-found"].asBool();
    const bool trace = arguments["--trace"].asBool();
    tarragonlock::test::mechanisms enabled;
    if (arguments["--without"])
    {
        const auto chosen = tarragonlock::test::without(arguments["--without"].asString());
        if (!chosen)
        {
            std::cerr << "unknown mechanism\n";
            return 2;
        }
        enabled = *chosen;
    }
    totals sum;
    std::atomic<std::uint64_t> next{first};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i)
        threads.emplace_back(
            [&]
            {
                for (auto seed = next++; seed < first + seeds; seed = next++)
                {
                    add(sum, seed, tarragonlock::test::explore(seed, enabled), trace);
                    if (until_found && sum.violations > 0)
                        return;
                }
            });
    for (auto& thread : threads)
        thread.join();
    std::cout << "seeds " << sum.seeds << ", submissions " << sum.submissions << ", faults "
              << sum.faults << ", violations " << sum.violations << '\n';
    return sum.violations == 0 ? 0 : 1;
}
