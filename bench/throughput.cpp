// Measures how many tasks one entry's dispatcher places per second, on one thread, with 40 teams
// and the given number of agents (840 by default). Also prints the peak resident memory of the
// process.

#include "tarragonlock/request/dispatcher.hpp"

#include <sys/resource.h>

#include <cstring>
#include <iostream>
#include <string>

using namespace tarragonlock;

namespace
{

constexpr std::uint32_t slots_per_agent = 8;
constexpr std::uint32_t team_count = 40;
constexpr std::uint32_t tasks_per_job = 60;
constexpr std::uint32_t min_waiting_tasks = 20'000;

std::string declarations_yaml()
{
    std::string text = "services: [{name: s, max_queued_tasks: 1000000}]\nteams:\n";
    for (std::uint32_t i = 0; i < team_count; ++i)
        text += "  - {name: t" + std::to_string(i) + ", max_queued_tasks: 1000000}\n";
    return text;
}

/// A dispatcher with simulated agents that complete every task immediately.
class dispatcher_bench
{
public:
    explicit dispatcher_bench(std::uint32_t agents)
        : directory_({}, std::chrono::minutes(10)),
          dispatcher_({}, directory_, make_placement("earliest_finish").value(),
                      [](const fencing_token&) { return true; }),
          tasks_received_(agents)
    {
        diagnostics faults;
        dispatcher_.set_declarations(
            now_, 1,
            std::make_shared<const declarations>(
                declarations::parse(declarations_yaml(), "bench", faults).value()));
        for (std::uint32_t i = 0; i < agents; ++i)
        {
            agent_announcement announcement;
            announcement.incarnation = 1;
            announcement.service = "s";
            announcement.slots = slots_per_agent;
            announcement.load.free_slots = slots_per_agent;
            directory_.on_announce(now_, "worker-" + std::to_string(i), announcement);
        }
    }

    void submit()
    {
        submission job;
        job.id = "job-" + std::to_string(submitted_);
        job.service = "s";
        job.team = "t" + std::to_string(submitted_++ % team_count);
        job.deadline_ms = 600'000;
        job.tasks.resize(tasks_per_job);
        if (!dispatcher_.check_admission(job))
            dispatcher_.admit(now_, std::move(job), {});
    }

    /// Refills the queue, places tasks, and reports each started task as succeeded, which frees its
    /// slot.
    void run_round()
    {
        while (dispatcher_.waiting_tasks() < min_waiting_tasks)
            submit();
        dispatcher_.place_waiting_tasks(now_);
        now_ += std::chrono::milliseconds(1);
        for (const auto& outgoing : dispatcher_.take_messages())
        {
            const auto* batch = std::get_if<start_tasks>(&outgoing.body);
            if (batch == nullptr)
                continue;
            const auto worker = *directory_.find(outgoing.to);
            tasks_received_[worker] += batch->tasks.size();
            worker_load load;
            load.free_slots = slots_per_agent;
            load.tasks_received = tasks_received_[worker];
            directory_.on_load_report(now_, outgoing.to, load);
            std::vector<task_outcome> outcomes;
            for (const auto& task : batch->tasks)
                outcomes.push_back(
                    {batch->job, task.index, task.attempt, task_status::succeeded, 300, ""});
            dispatcher_.on_results(now_, worker, outcomes);
        }
        (void)dispatcher_.take_answers();
    }

    std::uint64_t tasks_sent() const { return dispatcher_.counters().tasks_sent; }

private:
    instant now_{std::chrono::seconds(1)};
    worker_directory directory_;
    dispatcher dispatcher_;
    std::vector<std::uint64_t> tasks_received_;
    std::uint64_t submitted_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const auto agents =
        argc > 1 ? static_cast<std::uint32_t>(std::strtoul(argv[1], nullptr, 10)) : 840U;
    dispatcher_bench bench(agents);
    const auto start = std::chrono::steady_clock::now();
    std::chrono::duration<double> elapsed{};
    while (elapsed < std::chrono::seconds(2))
    {
        bench.run_round();
        elapsed = std::chrono::steady_clock::now() - start;
    }
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::cout << "{\"agents\": " << agents
              << ", \"starts_per_s\": " << static_cast<double>(bench.tasks_sent()) / elapsed.count()
              << ", \"max_rss_mb\": " << usage.ru_maxrss / 1024 << "}\n";
    return 0;
}
