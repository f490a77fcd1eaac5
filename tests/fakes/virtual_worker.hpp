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

/// A task of a job, whichever run of it.
using task_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

/// What all workers of a test see together: which task runs where.
struct run_tracker
{
    std::map<task_key, std::uint32_t> running;
    std::map<task_key, bool> done;
    std::set<std::string> started_jobs;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
};

/// A worker in virtual time, with the calls that an agent makes of it: lease, fence, bars and the
/// list of ends. It starts whatever it is told to and reports a violation when that is too much.
class virtual_worker
{
public:
    struct options
    {
        std::string id;
        resource_amount capacity;
        double speed = 1.0;
        /// Rate of its clock; 0.98 is the slowest that is allowed.
        double clock_rate = 1.0;
    };

    virtual_worker(options settings, run_tracker& tracker);

    /// Begins a new life, in which nothing of the old one is known.
    void restart(instant now);
    /// Another worker takes the address.
    void replace(instant now, const std::string& id);
    worker_announcement announcement(instant now);
    std::pair<start_reply, std::int64_t> start(instant now, const start_request& request,
                                               duration work, bool fails);
    stop_reply stop(instant now, const stop_request& request);
    run_listing listing(instant now, const renewal_request& request);
    /// Lets what runs stand still until then.
    void stall(instant until) { stalled_until_ = until; }
    /// Ends what is over; to be called every millisecond.
    void on_tick(instant now);
    /// @return whether ends are listed that the agent has not confirmed.
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
    std::int64_t start_time_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::int64_t lease_end_ms_ = 0;
    std::uint64_t last_end_number_ = 0;
    std::map<run_key, active_run> active_;
    std::map<task_key, std::uint32_t> superseded_up_to_;
    std::vector<run_end> unacknowledged_ends_;
};

} // namespace tarragonlock::fakes
