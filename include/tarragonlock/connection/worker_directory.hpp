#pragma once

#include "tarragonlock/connection/message.hpp"
#include "tarragonlock/version/declarations.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock
{

/// Index of a worker in the directory; does not change while the entry runs.
using worker_index = std::uint32_t;
/// Index of a pool, which holds the workers that one selector allows for one service.
using pool_index = std::uint32_t;

/// When workers that fail repeatedly are excluded from placement (outlier ejection).
struct ejection_policy
{
    bool enabled = true;
    /// Number of consecutive failures after which a worker is ejected and gets no more tasks.
    std::uint32_t consecutive_failures = 3;
    /// Largest share of a service's workers that may be ejected at once; when more of them fail,
    /// the requests rather than the workers are the likely cause.
    double max_ejected_share = 0.4;
    duration first_ejection_time = std::chrono::seconds(5);
    duration max_ejection_time = std::chrono::seconds(60);
};

/// State of one worker, and of the backend server on it, as received by this entry.
struct worker_view
{
    process_identity id;
    std::string service;
    label_set labels;
    std::uint32_t slots = 0;
    bool connected = false;
    bool leaving = false;
    worker_load load;
    /// Number of tasks sent to this incarnation, as comparable to worker_load::tasks_received;
    /// reset to that number when the worker announces itself on a connection.
    std::uint64_t tasks_sent = 0;
    /// Number of tasks sent that have not ended.
    std::uint32_t outstanding = 0;
    /// Whether the agent was informed that tasks are queued here.
    bool backlog_reported = false;
    /// The team named in that message.
    std::string reported_team;
    std::uint64_t last_result_sequence = 0;
    instant last_message_at;
    instant lost_at;
    bool ejected = false;
    instant next_probe_at;
    /// End of the pause after a refused task; the first tick after it clears paused.
    instant paused_until;
    bool paused = false;
    duration ejection_time{};
    std::vector<pool_index> pools;
    /// Key under which the worker is in the free_workers sets of its pools; none when it is not.
    std::optional<double> free_workers_key;

    /// @return the number of slots that this entry may use now.
    std::uint32_t free_slots() const;
};

/// One step of a pool's cumulative capacity, with the fastest workers first.
struct speed_step
{
    double log_slowness = 0.0;
    /// Sum of slots divided by slowness over all workers up to and including this one, in
    /// milliseconds of expected run time completed per millisecond.
    double cumulative_rate = 0.0;
};

/// The workers that one selector allows for one service.
struct worker_pool
{
    std::string service;
    routing_rule rule;
    std::vector<worker_index> members;
    /// Workers with free slots, ordered by log_slowness, fastest first.
    absl::btree_set<std::pair<double, worker_index>> free_workers;
    /// Ejected workers whose ejection time is over and that may be given one task as a probe.
    absl::btree_set<worker_index> probe_candidates;
    std::vector<speed_step> speed_steps;
    std::uint32_t slots = 0;

    /// @return the combined rate of members faster than the given slowness.
    double rate_faster_than(double log_slowness) const;
};

/// All workers known to an entry, grouped into pools by the declarations in force.
class worker_directory
{
public:
    explicit worker_directory(ejection_policy ejection, duration record_window);

    /// Replaces the declarations and discards all pools; pool_for makes them anew.
    void apply_declarations(std::shared_ptr<const declarations> config);

    /// Processes an announcement.
    /// @return the worker, and whether it has restarted with a new incarnation
    std::pair<worker_index, bool> on_announce(instant now, const std::string& name,
                                              const agent_announcement& announcement);
    /// Processes a load report.
    /// @return the worker, or nothing if it is not in the directory
    std::optional<worker_index> on_load_report(instant now, const std::string& name,
                                               const worker_load& load);
    /// @return the worker; one that never announced itself to this entry is added as lost.
    worker_index find_or_add(instant now, const std::string& name);
    std::optional<worker_index> on_lost(instant now, const std::string& name);
    /// Counts tasks as sent to a worker.
    void on_tasks_sent(worker_index worker, std::uint32_t tasks);
    /// Processes the outcome of one task.
    void on_task_ended(instant now, worker_index worker, const task_outcome& outcome);
    /// Excludes a worker from placement until a given time.
    void pause(worker_index worker, instant until);
    /// Ends pauses, updates probe candidates and pool speeds, and drops replaced incarnations that
    /// are older than the record window.
    void on_tick(instant now);

    std::optional<worker_index> find(const std::string& name) const;
    const worker_view& at(worker_index worker) const { return workers_[worker]; }
    worker_view& at(worker_index worker) { return workers_[worker]; }
    std::size_t size() const { return workers_.size(); }
    const std::vector<worker_view>& workers() const { return workers_; }

    /// @return the pool for a service and a rule, created on first use.
    pool_index pool_for(const std::string& service, const routing_rule& rule);
    const worker_pool& pool(pool_index index) const { return pools_[index]; }
    std::size_t pool_count() const { return pools_.size(); }

    /// @return every incarnation that may hold records, including those lost within the record
    /// window.
    std::vector<process_identity> known_incarnations() const;
    /// @return whether this incarnation of a worker is connected now.
    bool is_connected(const process_identity& id) const;

private:
    void reassign_pools(worker_index worker);
    void fill_pool(pool_index index);
    void update_free_workers(worker_index worker);
    void update_speed_steps(worker_pool& pool);
    void update_ejection(instant now, worker_index worker);
    bool ejection_limit_reached(const worker_view& worker) const;

    ejection_policy ejection_;
    duration record_window_;
    std::shared_ptr<const declarations> config_;
    std::vector<worker_view> workers_;
    absl::flat_hash_map<std::string, worker_index> by_name_;
    std::vector<worker_pool> pools_;
    /// Earlier incarnations of workers and when they were replaced.
    std::vector<std::pair<process_identity, instant>> replaced_incarnations_;
    instant last_tick_;
    instant last_speed_update_;
};

} // namespace tarragonlock
