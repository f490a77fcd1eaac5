#pragma once

#include "tarragonlock/request/job.hpp"
#include "tarragonlock/version/shard_table.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// A process and one of its lives: a restart keeps the name and changes the incarnation.
struct process_identity
{
    std::string name;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const process_identity&, const process_identity&) = default;
};

/// One attempt at one task of a job.
struct task_attempt
{
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const task_attempt&, const task_attempt&) = default;
};

// ---- between entries -------------------------------------------------------------------------

/// Heartbeat of an entry to another entry; also tells which versions the sender runs.
struct entry_heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t table_version = 0;
    std::uint64_t config_version = 0;
    bool leaving = false;
    friend bool operator==(const entry_heartbeat&, const entry_heartbeat&) = default;
};

/// Answers an entry_heartbeat. The receiver acknowledges only beats under a table that is at least
/// as new as its own.
struct entry_heartbeat_ack
{
    std::uint64_t sequence = 0;
    /// Incarnation of the beat's sender that is acknowledged.
    std::uint64_t incarnation = 0;
    std::uint64_t table_version = 0;
    bool refused = false;
    /// No beat under a table older than table_version was acknowledged for a lease's time.
    bool older_leases_expired = false;
    friend bool operator==(const entry_heartbeat_ack&, const entry_heartbeat_ack&) = default;
};

/// Asks which workers an entry knows, and since when.
struct worker_list_request
{
    std::uint64_t request = 0;
    friend bool operator==(const worker_list_request&, const worker_list_request&) = default;
};

struct worker_list_reply
{
    std::uint64_t request = 0;
    /// How long the sender has been collecting the list.
    std::uint64_t collecting_for_ms = 0;
    /// Lost workers within the record window included.
    std::vector<process_identity> workers;
    friend bool operator==(const worker_list_reply&, const worker_list_reply&) = default;
};

struct table_update
{
    shard_table table;
    friend bool operator==(const table_update&, const table_update&) = default;
};

struct config_update
{
    std::uint64_t version = 0;
    std::string document;
    friend bool operator==(const config_update&, const config_update&) = default;
};

/// A submission passed on to the entry that owns its identifier.
struct forward_submit
{
    std::uint64_t request = 0;
    submission job;
    friend bool operator==(const forward_submit&, const forward_submit&) = default;
};

struct forward_answer
{
    std::uint64_t request = 0;
    /// The job is still in progress and there is no reply yet.
    bool pending = false;
    answer reply;
    friend bool operator==(const forward_answer&, const forward_answer&) = default;
};

/// Passes on a cancellation (or, with query set, a question about a job).
struct forward_control
{
    std::uint64_t request = 0;
    std::string job;
    bool query = false;
    /// How long a query waits for the job's end.
    std::uint32_t wait_ms = 0;
    friend bool operator==(const forward_control&, const forward_control&) = default;
};

/// What an owner that leaves knows about one job.
struct job_record
{
    std::string id;
    std::uint64_t digest = 0;
    bool finished = false;
    answer reply;
    friend bool operator==(const job_record&, const job_record&) = default;
};

/// Planned transfer of shards with all records about their jobs.
struct shard_handover
{
    std::uint64_t table_version = 0;
    std::vector<std::uint32_t> shards;
    /// For each shard, the wall clock in milliseconds before which jobs without a record are
    /// uncertain; 0 when none is.
    std::vector<std::int64_t> records_complete_since_ms;
    std::vector<job_record> records;
    friend bool operator==(const shard_handover&, const shard_handover&) = default;
};

// ---- from entry to agent ---------------------------------------------------------------------

struct task_start
{
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string body;
    /// Run time that the entry expects on a worker of slowness 1.
    std::uint32_t expected_ms = 0;
    friend bool operator==(const task_start&, const task_start&) = default;
};

/// Tasks that wait at an entry, and the team whose task goes next.
struct backlog
{
    std::uint32_t tasks = 0;
    std::string team;
    /// The team's share of the slots relative to other teams'.
    double weight = 1.0;
    friend bool operator==(const backlog&, const backlog&) = default;
};

/// Starts tasks of one job on one worker.
struct start_tasks
{
    std::string job;
    std::string service;
    std::string team;
    std::uint64_t digest = 0;
    std::uint32_t task_count = 0;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t config_version = 0;
    /// Agent's clock stamp of the newest status that the entry holds.
    std::uint64_t grant_timestamp_ms = 0;
    std::uint32_t deadline_ms = 0;
    /// What waits at the entry for this service after this message.
    backlog waiting;
    std::vector<task_start> tasks;
    friend bool operator==(const start_tasks&, const start_tasks&) = default;
};

/// Tells an agent that tasks wait at this entry, so that freed slots are offered to it.
struct slot_request
{
    std::string service;
    backlog waiting;
    friend bool operator==(const slot_request&, const slot_request&) = default;
};

/// Cancels tasks of many jobs that have not started.
struct cancel_jobs
{
    std::vector<std::string> jobs;
    friend bool operator==(const cancel_jobs&, const cancel_jobs&) = default;
};

/// Asks what became of tasks; those that the agent never received are refused from then on.
struct query_tasks
{
    std::vector<task_attempt> tasks;
    friend bool operator==(const query_tasks&, const query_tasks&) = default;
};

/// Makes an agent refuse older epochs and report its records of these shards.
struct fence_shards
{
    std::uint64_t request = 0;
    std::vector<shard_epoch> shards;
    friend bool operator==(const fence_shards&, const fence_shards&) = default;
};

/// Sent to an agent that has been silent or has no other traffic.
struct entry_status
{
    std::uint64_t config_version = 0;
    /// Highest result sequence received from this agent.
    std::uint64_t last_result_sequence = 0;
    bool leaving = false;
    friend bool operator==(const entry_status&, const entry_status&) = default;
};

// ---- from agent to entry ---------------------------------------------------------------------

/// Load of a worker as its agent sees it.
struct worker_load
{
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;
    /// Agent's clock in milliseconds; returned in starts, which are refused when it is too old.
    std::uint64_t grant_timestamp_ms = 0;
    /// Tasks that the agent has received from the entry it reports to.
    std::uint64_t tasks_received = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint64_t config_version = 0;
    /// Logarithm of run time over expected time, learned from the tasks of all entries.
    double log_slowness = 0.0;
    friend bool operator==(const worker_load&, const worker_load&) = default;
};

/// A backend server as announced, and the worker it runs on.
struct agent_announcement
{
    std::uint64_t incarnation = 0;
    std::string service;
    label_set labels;
    std::string failure_domain;
    std::uint32_t slots = 0;
    bool leaving = false;
    worker_load load;
    friend bool operator==(const agent_announcement&, const agent_announcement&) = default;
};

enum class task_status : std::uint8_t
{
    succeeded,
    failed,      ///< ran, or may have run, without a result
    not_started, ///< certain not to have started, and never will for this attempt
    running      ///< only in records
};

/// The end of one attempt at a task, or its state in a record.
struct task_outcome
{
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    task_status status = task_status::failed;
    std::uint32_t run_ms = 0;
    std::string body;
    friend bool operator==(const task_outcome&, const task_outcome&) = default;
};

struct task_results
{
    std::uint64_t sequence = 0;
    std::vector<task_outcome> outcomes;
    worker_load load;
    friend bool operator==(const task_results&, const task_results&) = default;
};

/// Load without results: a heartbeat, or an offer of free slots to an entry with a backlog.
struct load_report
{
    std::uint64_t incarnation = 0;
    worker_load load;
    friend bool operator==(const load_report&, const load_report&) = default;
};

struct query_reply
{
    std::vector<task_outcome> outcomes;
    worker_load load;
    friend bool operator==(const query_reply&, const query_reply&) = default;
};

/// What an agent knows about one job of a fenced shard.
struct start_record
{
    std::string job;
    std::uint64_t digest = 0;
    std::uint32_t task_count = 0;
    std::vector<task_outcome> tasks;
    friend bool operator==(const start_record&, const start_record&) = default;
};

/// Part of the answer to fence_shards; the last part has last set.
struct fence_reply
{
    std::uint64_t request = 0;
    std::uint64_t incarnation = 0;
    bool last = true;
    std::vector<start_record> records;
    friend bool operator==(const fence_reply&, const fence_reply&) = default;
};

/// Everything that processes of the system say to each other.
using message =
    std::variant<entry_heartbeat, entry_heartbeat_ack, worker_list_request, worker_list_reply,
                 table_update, config_update, forward_submit, forward_answer, forward_control,
                 shard_handover, start_tasks, slot_request, cancel_jobs, query_tasks, fence_shards,
                 entry_status, agent_announcement, task_results, load_report, query_reply,
                 fence_reply>;

/// Numbers of messages by their type.
using message_counts = std::array<std::uint64_t, std::variant_size_v<message>>;

/// @return the name of a message type, by its position in message.
std::string_view message_name(std::size_t type);

/// Effect of a decision: a message to another process.
struct outgoing_message
{
    std::string to;
    message body;
};

} // namespace tarragonlock
