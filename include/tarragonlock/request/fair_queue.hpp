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

/// Number that identifies a job in progress within this entry.
using job_handle = std::uint64_t;

/// Orders the jobs of a team that have the same urgency; the lowest is first.
struct job_rank
{
    /// Time at which the job would finish if it had the pool to itself, in milliseconds of the
    /// process clock.
    double isolated_finish_ms = 0.0;
    job_handle job = 0;
    friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

/// Queue of waiting tasks that divides slot time between teams by weight and orders the tasks of a
/// team by urgency and rank.
///
/// Implements start-time fair queueing (Goyal, Vin and Cheng, 1996): the virtual time of a team
/// grows by the slot time it uses divided by its weight, and the team with the lowest virtual time
/// is next. The share of an idle team is used by the others and returns to it as soon as it has
/// work.
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
    /// @return the pool and the job of the next task, or nothing
    std::optional<choice> next(const std::function<bool(pool_index)>& usable) const;

    /// @return the job of the next task in a pool, or nothing when none waits
    std::optional<job_handle> head(pool_index pool) const;

    /// @return the last job, by urgency and rank, of the team that is next in a pool, or nothing
    /// when no task waits
    std::optional<job_handle> last(pool_index pool) const;

    /// Removes one task of the job that next returned for this pool.
    /// @param cost_ms  slot time the task is expected to use
    void pop(pool_index pool, double cost_ms);
    /// Removes one task of the job that last returned for this pool.
    void pop_last(pool_index pool, double cost_ms);

    /// Corrects the slot time charged to a team once the actual time is known.
    /// @param cost_ms  actual minus expected slot time; negative when the task used less
    void charge(const std::string& team, double cost_ms);

    /// Removes a job's waiting tasks.
    void remove(pool_index pool, const std::string& team, const job_rank& job);

    std::uint32_t waiting(pool_index pool) const;
    std::uint32_t waiting_of_team(const std::string& team) const;
    std::uint32_t waiting() const { return waiting_; }

    /// Removes all pools and their tasks, because a change of declarations regroups the pools. The
    /// virtual times of the teams stay.
    void clear();

private:
    using team_index = std::uint32_t;

    /// Number of waiting tasks of each job, for one team and urgency.
    using urgency_queue = absl::btree_map<job_rank, std::uint32_t>;

    struct team_queue
    {
        std::array<urgency_queue, urgency_levels> by_urgency;
        std::uint32_t waiting = 0;
        /// Virtual time under which the team is listed in teams_by_virtual_time.
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
    /// @return the waiting tasks of the team that is next in a pool, or nullptr when none waits
    const team_queue* next_team(pool_index pool) const;
    void subtract_waiting(pool_index pool, team_index team, std::uint32_t tasks);
    void pop(pool_index pool, urgency_queue& jobs, urgency_queue::iterator job, double cost_ms);

    std::vector<pool_queue> pools_;
    std::vector<team_account> accounts_;
    absl::flat_hash_map<std::string, team_index> by_name_;
    /// Virtual time at which the last task was taken; a team that was idle continues from here.
    double system_virtual_time_ = 0.0;
    std::uint32_t waiting_ = 0;
};

} // namespace tarragonlock
