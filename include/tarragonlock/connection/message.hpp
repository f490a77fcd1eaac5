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

/// One run of a process: a restart keeps the name and changes the incarnation.
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

// Messages between entries.

/// Heartbeat from one entry to another; also carries the versions of the shard table and of the
/// configuration that the sender uses.
struct entry_heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t table_version = 0;
    std::uint64_t config_version = 0;
    bool leaving = false;
    friend bool operator==(const entry_heartbeat&, const entry_heartbeat&) = default;
};

/// Response to an entry_heartbeat; refused is set when the heartbeat is not acknowledged. It is
/// acknowledged only if its shard table is at least as new as the receiver's own.
struct entry_heartbeat_ack
{
    std::uint64_t sequence = 0;
    /// Incarnation of the entry whose heartbeat is acknowledged.
    std::uint64_t incarnation = 0;
    std::uint64_t table_version = 0;
    bool refused = false;
    /// The sender acknowledged no heartbeat with a table older than table_version for the duration
    /// of a lease.
    bool older_leases_expired = false;
    friend bool operator==(const entry_heartbeat_ack&, const entry_heartbeat_ack&) = default;
};

/// Requests the list of workers that an entry has, and for how long it has been collecting it.
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
    /// Includes workers that were lost within the record window.
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

/// A submission forwarded to the entry that owns its job identifier.
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

/// Forwards a cancellation or, with query set, a status query for a job to the entry that owns it.
struct forward_control
{
    std::uint64_t request = 0;
    std::string job;
    bool query = false;
    /// How long a query waits for the job to end.
    std::uint32_t wait_ms = 0;
    friend bool operator==(const forward_control&, const forward_control&) = default;
};

/// Record of one job, sent by an owner that is leaving.
struct job_record
{
    std::string id;
    std::uint64_t digest = 0;
    bool finished = false;
    answer reply;
    friend bool operator==(const job_record&, const job_record&) = default;
};

/// Planned transfer of shards to a new owner, with all records of their jobs.
struct shard_handover
{
    std::uint64_t table_version = 0;
    std::vector<std::uint32_t> shards;
    /// For each shard, a wall clock time in milliseconds: the records may lack jobs from before it,
    /// so the state of an earlier job without a record is uncertain. 0 when the records are
    /// complete.
    std::vector<std::int64_t> records_complete_since_ms;
    std::vector<job_record> records;
    friend bool operator==(const shard_handover&, const shard_handover&) = default;
};

// Messages from an entry to an agent.

struct task_start
{
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string body;
    /// Expected run time on a worker of slowness 1.
    std::uint32_t expected_ms = 0;
    friend bool operator==(const task_start&, const task_start&) = default;
};

/// Number of tasks queued at an entry, and the team whose task is scheduled next.
struct backlog
{
    std::uint32_t tasks = 0;
    std::string team;
    /// Weight of the team in the fair sharing of slots between teams.
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
    /// Value of worker_load::grant_timestamp_ms in the newest load report that the entry has.
    std::uint64_t grant_timestamp_ms = 0;
    std::uint32_t deadline_ms = 0;
    /// Tasks of this service that remain queued at the entry after this message.
    backlog waiting;
    std::vector<task_start> tasks;
    friend bool operator==(const start_tasks&, const start_tasks&) = default;
};

/// Informs an agent that tasks are queued at this entry, so that it offers freed slots to the
/// entry.
struct slot_request
{
    std::string service;
    backlog waiting;
    friend bool operator==(const slot_request&, const slot_request&) = default;
};

/// Cancels those tasks of several jobs that have not started.
struct cancel_jobs
{
    std::vector<std::string> jobs;
    friend bool operator==(const cancel_jobs&, const cancel_jobs&) = default;
};

/// Requests the outcome of task attempts. The agent refuses attempts that it has not received if
/// they arrive later.
struct query_tasks
{
    std::vector<task_attempt> tasks;
    friend bool operator==(const query_tasks&, const query_tasks&) = default;
};

/// Makes an agent refuse starts with older epochs of these shards and report its records of them.
struct fence_shards
{
    std::uint64_t request = 0;
    std::vector<shard_epoch> shards;
    friend bool operator==(const fence_shards&, const fence_shards&) = default;
};

/// Sent to an agent when there is no other traffic to it, or when nothing has come from it.
struct entry_status
{
    std::uint64_t config_version = 0;
    /// Highest sequence of task_results received from this agent.
    std::uint64_t last_result_sequence = 0;
    bool leaving = false;
    friend bool operator==(const entry_status&, const entry_status&) = default;
};

// Messages from an agent to an entry.

/// Load of a worker as measured by its agent.
struct worker_load
{
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;
    /// Reading of the agent's clock. The entry returns it in start_tasks, and the agent refuses the
    /// start when it is too old.
    std::uint64_t grant_timestamp_ms = 0;
    /// Number of tasks that the agent has received from the entry to which this load is sent.
    std::uint64_t tasks_received = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint64_t config_version = 0;
    /// Natural logarithm of the ratio of run time to expected run time, estimated from the tasks of
    /// all entries.
    double log_slowness = 0.0;
    friend bool operator==(const worker_load&, const worker_load&) = default;
};

/// A backend server as it announced itself, and the worker on which it runs.
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
    failed,      ///< has run, or may have run, without a result
    not_started, ///< has not started, and this attempt will never start
    running      ///< used only in records
};

/// Outcome of one attempt at a task or, in a record, its present state.
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

/// Load without task results, sent as a heartbeat or to offer free slots to an entry with a
/// backlog.
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

/// An agent's record of the tasks that it received of one job of a fenced shard.
struct start_record
{
    std::string job;
    std::uint64_t digest = 0;
    std::uint32_t task_count = 0;
    std::vector<task_outcome> tasks;
    friend bool operator==(const start_record&, const start_record&) = default;
};

/// One part of the response to fence_shards; last is set in the final part.
struct fence_reply
{
    std::uint64_t request = 0;
    std::uint64_t incarnation = 0;
    bool last = true;
    std::vector<start_record> records;
    friend bool operator==(const fence_reply&, const fence_reply&) = default;
};

/// Any message between entries or between an entry and an agent.
using message =
    std::variant<entry_heartbeat, entry_heartbeat_ack, worker_list_request, worker_list_reply,
                 table_update, config_update, forward_submit, forward_answer, forward_control,
                 shard_handover, start_tasks, slot_request, cancel_jobs, query_tasks, fence_shards,
                 entry_status, agent_announcement, task_results, load_report, query_reply,
                 fence_reply>;

/// Number of messages of each type, indexed by the position of the type in message.
using message_counts = std::array<std::uint64_t, std::variant_size_v<message>>;

/// @param type  position of the type in message
/// @return the name of the message type in metrics
std::string_view message_name(std::size_t type);

/// A message to be sent to another process, as returned by decision code that does no I/O itself.
struct outgoing_message
{
    std::string to;
    message body;
};

} // namespace tarragonlock
