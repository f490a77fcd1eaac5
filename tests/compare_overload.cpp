// Runs load patterns with the production policy and with perfect knowledge, and compares both with
// an upper bound.

#include "fakes/load_patterns.hpp"

#include <docopt/docopt.h>

#include <iomanip>
#include <iostream>
#include <map>
#include <string>

namespace
{

using namespace tarragonlock;
using fakes::leased_fleet_options;

constexpr auto usage = R"(Compares the share of jobs in time under heavy load, by queue.

Usage:
  compare_overload [--seeds N] [--pattern TEXT] [--spread S]

Options:
  --seeds N       Seeds to run each pattern with [default: 4].
  --pattern TEXT  Only the patterns whose name contains this [default: ].
  --spread S      Standard deviation of the run times' logarithm in a queue [default: 0.4].

For each pattern and queue it prints the share in time and, in brackets, the share that is complete:
as shipped; with one entry that sees every change at once and true declared times; and the share
in time of a schedule that completes the most jobs, if jobs were divisible at will.
)";

/// Outcome of a queue's jobs over all seeds, and the upper bound of jobs in time.
struct queue_total
{
    fakes::queue_result result;
    double bound = 0.0;

    double completed_share() const { return share(static_cast<double>(result.completed)); }
    double bound_share() const { return share(bound); }
    double share(double count) const { return count / static_cast<double>(result.jobs); }
};

/// Traffic between entries and agents over all seeds.
struct message_total
{
    double messages_per_s = 0.0;
    double remote_messages_per_s = 0.0;
    double remote_kb_per_s = 0.0;
    double tasks_placed = 0.0;
    double tasks_returned = 0.0;
};

std::map<std::string, queue_total> run_pattern(leased_fleet_options options, std::uint64_t seeds,
                                               message_total& traffic)
{
    std::map<std::string, queue_total> total;
    const auto seconds =
        std::chrono::duration<double>(options.length).count() * static_cast<double>(seeds);
    for (options.seed = 1; options.seed <= seeds; ++options.seed)
    {
        fakes::leased_fleet fleet(options);
        const auto result = fleet.run();
        auto bound = fleet.bound();
        traffic.tasks_placed += static_cast<double>(result.tasks_placed);
        traffic.tasks_returned += static_cast<double>(result.tasks_returned);
        traffic.messages_per_s += static_cast<double>(result.messages) / seconds;
        traffic.remote_messages_per_s += static_cast<double>(result.remote_messages) / seconds;
        traffic.remote_kb_per_s += static_cast<double>(result.remote_bytes) / 1000.0 / seconds;
        for (const auto& violation : result.violations)
            std::cerr << "violation with seed " << options.seed << ": " << violation << '\n';
        for (const auto& [name, queue] : result.queues)
        {
            total[name].result.add(queue);
            total[name].bound += bound[name];
        }
    }
    return total;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto seeds = static_cast<std::uint64_t>(arguments["--seeds"].asLong());
    const auto name_part = arguments["--pattern"].asString();
    std::cout << std::fixed << std::setprecision(3);
    for (auto& [name, options] : fakes::load_patterns())
    {
        if (name.find(name_part) == std::string::npos)
            continue;
        for (auto& queue : options.traffic)
            queue.work_spread = std::stod(arguments["--spread"].asString());
        message_total traffic;
        const auto shipped = run_pattern(options, seeds, traffic);
        message_total ideal_traffic;
        auto perfect = run_pattern(fakes::with_perfect_knowledge(options), seeds, ideal_traffic);
        std::cout << name << ": messages " << traffic.messages_per_s << "/s, between domains "
                  << traffic.remote_messages_per_s << "/s, " << traffic.remote_kb_per_s
                  << " kB/s, returned tasks " << traffic.tasks_returned / traffic.tasks_placed
                  << '\n';
        for (const auto& [queue, sum] : shipped)
        {
            const auto& ideal = perfect[queue];
            std::cout << "  " << std::left << std::setw(8) << queue << " shipped "
                      << sum.result.in_time_share() << " (" << sum.completed_share()
                      << "), perfect knowledge " << ideal.result.in_time_share() << " ("
                      << ideal.completed_share() << "), bound " << sum.bound_share() << '\n';
        }
        std::cout.flush();
    }
    return 0;
}
