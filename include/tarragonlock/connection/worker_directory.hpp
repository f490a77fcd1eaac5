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

/// Position of a worker in the directory; stays the same while the entry runs.
using worker_index = std::uint32_t;
/// Position of a pool: the workers that one selector allows for one service.
using pool_index = std::uint32_t;

struct ejection_policy
{
    bool enabled = true;
    /// Failures in a row after which a worker gets no more work.
    std::uint32_t consecutive_failures = 3;
    /// Largest share of a pool that may be ejected; beyond it the requests are at fault.
    double max_ejected_share = 0.4;
    duration first_ejection_time = std::chrono::seconds(5);
    duration max_ejection_time = std::chrono::seconds(60);
};

/// What an entry knows about one worker and the backend server on it.
struct worker_view
{
    process_identity id;
    std::string service;
    label_set labels;
    std::uint32_t slots = 0;
    bool connected = false;
    bool leaving = false;
    worker_load load;
    /// Tasks sent to this incarnation since it announced itself on the present connection.
    std::uint64_t tasks_sent = 0;
    /// Tasks sent and not ended.
    std::uint32_t outstanding = 0;
    /// Whether the agent was told that tasks wait here.
    bool backlog_reported = false;
    /// The team that it was told of.
    std::string reported_team;
    std::uint64_t last_result_sequence = 0;
    instant last_message_at;
    instant lost_at;
    bool ejected = false;
    instant next_probe_at;
    /// End of a pause after a refusal; the worker is resting until a tick after it.
    instant paused_until;
    bool paused = false;
    duration ejection_time{};
    std::vector<pool_index> pools;
    /// Present key in its pools' sets of free workers.
    std::optional<double> free_workers_key;

    /// @return slots that this entry may use now.
    std::uint32_t free_slots() const;
};

/// Part of a pool's capacity by speed, fastest workers first.
struct speed_step
{
    double log_slowness = 0.0;
    /// Slots over slowness of all workers up to and with this one: tasks of unit length in
    /// parallel.
    double cumulative_rate = 0.0;
};

struct worker_pool
{
    std::string service;
    routing_rule rule;
    std::vector<worker_index> members;
    /// Workers with free slots, fastest first.
    absl::btree_set<std::pair<double, worker_index>> free_workers;
    /// Ejected workers whose pause is over and that may take one probe.
    absl::btree_set<worker_index> probe_candidates;
    std::vector<speed_step> speed_steps;
    std::uint32_t slots = 0;

    /// @return the combined rate of members faster than the given slowness.
    double rate_faster_than(double log_slowness) const;
};

/// All workers an entry has heard of, grouped into pools by the declarations in force.
class worker_directory
{
public:
    explicit worker_directory(ejection_policy ejection, duration record_window);

    /// Regroups workers after a change of the declarations.
    void apply_declarations(std::shared_ptr<const declarations> config);

    /// Takes an announcement. @return the worker and whether its incarnation is new.
    std::pair<worker_index, bool> on_announce(instant now, const std::string& name,
                                              const agent_announcement& notice);
    /// Takes a load report. @return the worker, if it has announced itself.
    std::optional<worker_index> on_load_report(instant now, const std::string& name,
                                               const worker_load& load);
    /// @return the worker; one that never announced itself here is added as lost.
    worker_index find_or_add(instant now, const std::string& name);
    std::optional<worker_index> on_lost(instant now, const std::string& name);
    /// Notes that tasks go out to a worker.
    void on_tasks_sent(worker_index worker, std::uint32_t tasks);
    /// Notes the end of one task.
    void on_task_ended(instant now, worker_index worker, const task_outcome& outcome);
    /// Gives a worker no tasks until a later moment.
    void pause(worker_index worker, instant until);
    /// Forgets workers that have been lost for the record window, and lets ejected ones be probed.
    void on_tick(instant now);

    std::optional<worker_index> find(const std::string& name) const;
    const worker_view& at(worker_index worker) const { return workers_[worker]; }
    worker_view& at(worker_index worker) { return workers_[worker]; }
    std::size_t size() const { return workers_.size(); }
    const std::vector<worker_view>& workers() const { return workers_; }

    /// @return the pool for a service and a rule, made on first use.
    pool_index pool_for(const std::string& service, const routing_rule& rule);
    const worker_pool& pool(pool_index index) const { return pools_[index]; }
    std::size_t pool_count() const { return pools_.size(); }

    /// @return every incarnation that may hold records, lost ones within the window included.
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
