#pragma once

#include "tarragonlock/process/task_host.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tarragonlock::fakes
{

/// Identifies a task in all its runs: job, step and index.
using task_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

/// Tracks the runs on all workers of a test, to detect violations across workers.
struct run_tracker
{
    /// Number of runs of each task at present; more than one is a violation.
    std::map<task_key, std::uint32_t> running;
    std::map<task_key, bool> done;
    std::set<std::string> started_jobs;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
};

/// Simulates a worker in virtual time, with the calls that an agent makes to it. It implements the
/// worker's lease, the fence, the refusal of superseded runs and the list of ended runs. It starts
/// every other run and records a violation when a task runs twice at a time or the capacity is
/// exceeded.
class virtual_worker
{
public:
    struct options
    {
        std::string id;
        resource_amount capacity;
        /// Factor on the speed at which tasks run.
        double speed = 1.0;
        /// Rate of its clock; 0.98 is the slowest that is allowed.
        double clock_rate = 1.0;
    };

    virtual_worker(options settings, run_tracker& tracker);

    /// Restarts the worker: ends all runs and discards the state of fence, lease and lists.
    void restart(instant now);
    /// Restarts as another worker at the same address.
    void replace(instant now, const std::string& id);
    worker_announcement announcement(instant now);
    /// @param work   run time on a worker of speed 1
    /// @param fails  whether the run ends as failed
    /// @return the reply and the worker's clock in milliseconds
    std::pair<start_reply, std::int64_t> start(instant now, const start_request& request,
                                               duration work, bool fails);
    /// Stops the given run of a task and earlier ones, and refuses to start them from then on.
    stop_reply stop(instant now, const stop_request& request);
    /// Renews the lease and removes the acknowledged ends.
    /// @return why the request was refused, in which case nothing is done
    std::optional<renewal_failure> renew(instant now, const renewal_request& request);
    run_listing listing(instant now) const;
    /// Refuses all requests as unhealthy until a time. Announcements and runs go on.
    void refuse_requests(instant until) { unhealthy_until_ = until; }
    bool refuses_requests(instant now) const { return now < unhealthy_until_; }
    /// Sets the clock from which restart() takes the start time, relative to the fleet's.
    void set_wall_clock_offset(duration offset) { wall_clock_offset_ = offset; }
    /// Suspends the progress of all runs until a time.
    void stall(instant until) { stalled_until_ = until; }
    /// Makes all runs take factor times as long until a time.
    void slow_down(instant until, double factor)
    {
        slow_until_ = until;
        slow_factor_ = factor;
    }
    /// Announces that the worker leaves at a time, until it restarts.
    void drain(instant leaves_at) { leaves_at_ = leaves_at; }
    /// Ends the runs that are due or whose lease has expired; to be called every millisecond.
    void on_tick(instant now);
    /// @return whether the list holds ended runs that the agent has not acknowledged
    bool has_unacknowledged_ends() const { return !unacknowledged_ends_.empty(); }

private:
    struct active_run
    {
        resource_amount demand;
        duration work;
        instant end;
        bool fails = false;
        bool stopping = false;
    };

    std::int64_t clock(instant now) const;
    void extend_lease(instant now, std::int64_t lease_end_ms);
    void end_run(std::map<run_key, active_run>::iterator run, run_end_kind kind);

    options settings_;
    run_tracker& tracker_;
    instant start_time_;
    instant last_tick_;
    instant stalled_until_;
    instant slow_until_;
    double slow_factor_ = 1.0;
    std::optional<instant> leaves_at_;
    instant unhealthy_until_;
    duration wall_clock_offset_{};
    std::int64_t start_time_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::int64_t lease_end_ms_ = 0;
    std::uint64_t last_end_number_ = 0;
    std::map<run_key, active_run> active_;
    /// Highest run number of each task that has ended or was stopped; start() refuses this run and
    /// earlier ones.
    std::map<task_key, std::uint32_t> superseded_up_to_;
    std::vector<run_end> unacknowledged_ends_;
};

} // namespace tarragonlock::fakes
