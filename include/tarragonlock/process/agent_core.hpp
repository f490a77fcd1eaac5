#pragma once

#include "tarragonlock/connection/message.hpp"
#include "tarragonlock/process/speed_estimate.hpp"
#include "tarragonlock/request/start_records.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Safety checks of an agent. A test may switch one off to show that a proof depends on it.
struct agent_mechanisms
{
    bool refuse_fenced_epochs = true;
    bool refuse_stale_grants = true;
    bool refuse_known_attempts = true;
    bool refuse_older_config = true;
    bool require_majority = true;
};

struct agent_options
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    /// Labels of the worker, merged with those that the backend server announces.
    label_set labels;
    /// Number of configured entries, of which a majority must have registered the worker.
    std::uint32_t entry_count = 1;
    duration record_window = std::chrono::minutes(10);
    std::size_t max_record_bytes = 64U << 20U;
    /// Maximum age of start_tasks::grant_timestamp_ms; starts with an older one are refused.
    duration grant_lifetime = std::chrono::seconds(20);
    duration heartbeat_interval = std::chrono::seconds(9);
    /// Time for which slots offered to one entry are reserved for it.
    duration offer_lifetime = std::chrono::milliseconds(20);
    /// Time without an announcement after which the backend server is treated as unavailable.
    duration announcement_lifetime = std::chrono::seconds(3);
    /// Maximum time that results wait to be sent in one message while other tasks of their job
    /// still run on this worker.
    duration max_result_delay = std::chrono::milliseconds(20);
    /// Number of consecutive failures at which the load is sent to every entry at once.
    std::uint32_t failure_broadcast_threshold = 3;
    agent_mechanisms mechanisms;
};

/// Announcement that a backend server sends to the agent on its host.
struct backend_announcement
{
    std::string service;
    label_set labels;
    std::string address;
    std::uint32_t slots = 8;
    friend bool operator==(const backend_announcement&, const backend_announcement&) = default;
};

/// Effect: run one task on the backend server.
struct run_task
{
    task_attempt attempt;
    std::string address;
    std::string body;
    std::uint32_t timeout_ms = 0;
};

using agent_effect = std::variant<outgoing_message, run_task>;

/// Counters exported by /metrics.
struct agent_counters
{
    std::uint64_t tasks_started = 0;
    std::uint64_t tasks_succeeded = 0;
    std::uint64_t tasks_failed = 0;
    std::uint64_t starts_refused_fenced = 0;
    std::uint64_t starts_refused_grant = 0;
    std::uint64_t starts_refused_known = 0;
    std::uint64_t starts_refused_config = 0;
    std::uint64_t starts_refused_leaving = 0;
    std::uint64_t starts_refused_majority = 0;
    std::uint64_t messages_sent = 0;
    message_counts sent_by_type{};
    std::uint64_t offers_unused = 0;
};

/// Decision logic of an agent, without sockets, threads or a clock: receives events with the
/// current time and returns effects to be carried out.
class agent_core
{
public:
    explicit agent_core(agent_options options);

    void on_entry_connected(instant now, const std::string& entry);
    void on_entry_lost(instant now, const std::string& entry);
    void on_message(instant now, const std::string& entry, const message& received);
    void on_backend_announced(instant now, const backend_announcement& announcement);
    void on_backend_leaving(instant now);
    /// Records the outcome of a task that was started by a run_task effect.
    void on_task_finished(instant now, const task_outcome& outcome);
    void on_tick(instant now);
    /// Starts a graceful shutdown: refuses new tasks and finishes those accepted.
    void drain(instant now);

    /// @return whether no task runs or is queued, and no outcome waits for a connected entry.
    bool idle() const;
    /// @return the effects since the last call, and clears them.
    std::vector<agent_effect> take_effects();

    const agent_counters& counters() const { return counters_; }
    const start_records& records() const { return records_; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t queued() const { return queued_; }
    bool has_backend() const { return backend_present_; }
    std::uint64_t config_version() const { return config_version_; }

private:
    struct queued_task
    {
        task_attempt attempt;
        std::string body;
        instant deadline;
        std::uint32_t shard = no_shard;
        std::uint64_t epoch = 0;
        std::uint32_t expected_ms = 0;
        std::string team;
    };

    /// State that the agent keeps for one entry.
    struct entry_state
    {
        bool connected = false;
        /// The entry answered the announcement on this connection, so it lists this worker.
        bool worker_registered = false;
        backlog reported_backlog;
        std::uint32_t offered_slots = 0;
        instant offer_expires_at;
        instant backlog_reported_at;
        instant last_sent;
        std::uint64_t tasks_received = 0;
        std::uint64_t result_sequence = 0;
        std::deque<queued_task> queue;
        std::uint32_t running = 0;
        std::vector<task_outcome> unsent_outcomes;
        /// When the oldest of unsent_outcomes was added.
        instant unsent_since;
        std::deque<task_results> unacknowledged_results;
    };

    struct running_task
    {
        std::string owner;
        std::string team;
        instant started;
        std::uint32_t expected_ms = 0;
    };

    void handle(instant now, const std::string& entry, const start_tasks& batch);
    void handle(instant now, const std::string& entry, const slot_request& request);
    void handle(instant now, const std::string& entry, const cancel_jobs& request);
    void handle(instant now, const std::string& entry, const query_tasks& request);
    void handle(instant now, const std::string& entry, const fence_shards& request);
    void handle(instant now, const std::string& entry, const entry_status& status);
    template<class T>
    void handle(instant, const std::string&, const T&)
    {
        // Agents handle no other message types.
    }

    /// @return the agent's clock in milliseconds.
    static std::uint64_t agent_clock_ms(instant now);
    bool may_start(instant now, const start_tasks& batch);
    bool registered_with_majority() const;
    bool fenced(std::uint32_t shard, std::uint64_t epoch) const;
    void start_queued(instant now);
    entry_state* next_entry();
    void launch(instant now, const std::string& owner, queued_task task);
    void queue_outcome(instant now, const std::string& entry, task_outcome outcome);
    bool has_running_tasks(const std::string& job) const;
    void send_outcomes(instant now, const std::string& entry, bool immediately);
    void offer_slots(instant now);
    /// @return the sort key of an entry with a backlog; the lowest is offered slots first.
    std::pair<double, std::uint32_t> offer_rank(const entry_state& entry) const;
    void announce_to(instant now, const std::string& entry);
    void announce_to_all(instant now);
    void broadcast_load(instant now);
    worker_load load_for(instant now, entry_state& entry);
    std::uint32_t free_slots() const;
    std::uint32_t offered_to_others(instant now, const entry_state& entry);
    void update_config_version(std::uint64_t version);
    void send(instant now, const std::string& entry, message body);
    bool accepting() const { return backend_present_ && !draining_; }

    agent_options options_;
    speed_estimate speed_;
    start_records records_;
    std::map<std::string, entry_state> entries_;
    /// Number of running tasks by team, over all entries.
    std::map<std::string, std::uint32_t> running_by_team_;
    absl::flat_hash_map<std::string, running_task> running_;
    /// Lowest epoch accepted for each shard; starts of an older epoch are refused.
    std::array<std::uint64_t, shard_count> fence_epochs_{};
    backend_announcement backend_;
    instant last_announcement_;
    bool backend_present_ = false;
    bool draining_ = false;
    std::uint32_t queued_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    instant last_failure_;
    std::uint64_t config_version_ = 0;
    std::vector<agent_effect> effects_;
    agent_counters counters_;
};

} // namespace tarragonlock
