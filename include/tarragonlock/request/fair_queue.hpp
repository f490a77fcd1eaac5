#pragma once

#include "tarragonlock/connection/worker_directory.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Number of a job in progress at this entry.
using job_handle = std::uint64_t;

/// A job's place among those of its team that are as urgent; the lowest goes first.
struct job_rank
{
    /// Moment by which the job would be over if it had the pool for itself, in milliseconds.
    double isolated_finish_ms = 0.0;
    job_handle job = 0;
    friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

/// Waiting tasks, shared between teams by weight and, inside a team, ordered by urgency and rank.
///
/// Each team has a virtual time that grows with the slot time it uses over its weight, the
/// start-time fair queueing of Goyal, Vin and Cheng (1996). The team with the least goes next, so
/// an idle team's share is lent out and comes back as soon as it has work.
class fair_queue
{
public:
    static constexpr std::size_t urgency_levels = 10;

    /// Adds tasks of a job.
    void push(pool_index pool, const std::string& team, double weight, std::uint32_t urgency,
              const job_rank& job, std::uint32_t tasks);

    struct choice
    {
        pool_index pool = 0;
        job_handle job = 0;
        friend bool operator==(const choice&, const choice&) = default;
    };

    /// @param usable  whether tasks of a pool can be placed now
    /// @return the job whose task goes next, or nothing
    std::optional<choice> next(const std::function<bool(pool_index)>& usable) const;

    /// @return the job of one pool whose task goes next, or nothing when none waits
    std::optional<job_handle> head(pool_index pool) const;

    /// @return the job that goes last of the team whose task goes next in a pool
    std::optional<job_handle> last(pool_index pool) const;

    /// Takes one task of the job that next returned for this pool.
    /// @param cost_ms  slot time the task is expected to use
    void pop(pool_index pool, double cost_ms);
    /// Takes one task of the job that last returned for this pool.
    void pop_last(pool_index pool, double cost_ms);

    /// Adds slot time to (or takes it from) a team's account once the true value is known.
    void charge(const std::string& team, double cost_ms);

    /// Removes a job's waiting tasks.
    void remove(pool_index pool, const std::string& team, const job_rank& job);

    std::uint32_t waiting(pool_index pool) const;
    std::uint32_t waiting_of_team(const std::string& team) const;
    std::uint32_t waiting() const { return waiting_; }

    /// Moves nothing over: all pools are dropped, because a change of declarations regroups them.
    void clear();

private:
    using team_index = std::uint32_t;

    /// Number of waiting tasks by job.
    using urgency_queue = absl::btree_map<job_rank, std::uint32_t>;

    struct team_queue
    {
        std::array<urgency_queue, urgency_levels> by_urgency;
        std::uint32_t waiting = 0;
        /// Key under which the team stands in the pool's order.
        double virtual_time_key = 0.0;

        std::size_t highest_urgency() const;
        std::size_t lowest_urgency() const;
    };

    struct team_account
    {
        std::string name;
        double weight = 1.0;
        double virtual_time = 0.0;
        std::uint32_t waiting = 0;
    };

    struct pool_queue
    {
        absl::flat_hash_map<team_index, team_queue> teams;
        absl::btree_set<std::pair<double, team_index>> teams_by_virtual_time;
        std::uint32_t waiting = 0;
    };

    team_index find_or_add_account(const std::string& team, double weight);
    void advance(team_index team, double cost_ms);
    /// @return the jobs of the team whose task goes next in a pool, or nullptr when none waits
    const team_queue* next_team(pool_index pool) const;
    void subtract_waiting(pool_index pool, team_index team, std::uint32_t tasks);
    void pop(pool_index pool, urgency_queue& jobs, urgency_queue::iterator job, double cost_ms);

    std::vector<pool_queue> pools_;
    std::vector<team_account> accounts_;
    absl::flat_hash_map<std::string, team_index> by_name_;
    /// Virtual time of the last task that went out; where a team that was idle joins.
    double system_virtual_time_ = 0.0;
    std::uint32_t waiting_ = 0;
};

} // namespace tarragonlock
