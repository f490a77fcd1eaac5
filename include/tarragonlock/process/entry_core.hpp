#pragma once

#include "tarragonlock/connection/message.hpp"
#include "tarragonlock/connection/worker_directory.hpp"
#include "tarragonlock/request/dispatcher.hpp"
#include "tarragonlock/request/job_registry.hpp"
#include "tarragonlock/version/ownership.hpp"
#include "tarragonlock/version/recovery.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Identifies a caller's request at this entry until it is answered.
using call_id = std::uint64_t;

struct entry_options
{
    process_identity self;
    /// Names of all entries, this one included.
    std::vector<std::string> entries;
    std::string placement = "earliest_finish";
    dispatcher_options dispatch;
    ejection_policy ejection;
    ownership_options ownership;
    /// Time for which records of jobs are kept.
    duration record_window = std::chrono::minutes(10);
    /// Memory for results of finished jobs; the results of the oldest jobs are dropped beyond it.
    std::size_t max_result_bytes = 64U << 20U;
    /// Longest wait for the agents' records before recovered shards are served without them.
    duration recovery_wait = std::chrono::seconds(3);
    /// Largest tolerated difference between the wall clocks of callers and entries.
    duration max_clock_skew = std::chrono::seconds(5);
    /// Wall clock minus process clock.
    unix_milliseconds wall_offset{0};
    /// Shortest time between two attempts to forward the same submission.
    duration forward_retry_interval = std::chrono::milliseconds(500);
};

/// Effect that answers a caller; an empty reply reports that the job is still in progress.
struct reply_to_caller
{
    call_id call = 0;
    std::optional<answer> reply;
};

using entry_effect = std::variant<outgoing_message, reply_to_caller, table_swap>;

/// Counters exported at /metrics.
struct entry_counters
{
    std::uint64_t submissions = 0;
    /// Submissions of a job id that this entry already had in its registry.
    std::uint64_t joined = 0;
    /// Submissions sent on to the entry responsible for the job.
    std::uint64_t forwarded = 0;
    /// Recoveries started, each for a set of shards newly assigned to this entry.
    std::uint64_t takeovers = 0;
    std::uint64_t messages_sent = 0;
    /// Received messages that had no effect: duplicates, late replies, messages for other roles.
    std::uint64_t messages_wasted = 0;
    message_counts sent_by_type{};
    std::map<outcome, std::uint64_t> answers;
};

/// Decision logic of an entry as a state machine without sockets, threads or clock: it takes
/// events with the current time and returns effects, which entry_daemon carries out.
class entry_core
{
public:
    /// @return the core, or std::errc::invalid_argument for an unknown placement
    static result<std::unique_ptr<entry_core>> create(entry_options options, instant now);

    // Requests of callers.
    /// @param wait  time after which the caller is answered that the job is still in progress
    void on_submit(instant now, call_id call, submission job, duration wait = max_deadline);
    /// @return a new job id that permanently belongs to this entry, whoever owns the shards.
    std::string generate_job_id();
    void on_query(instant now, call_id call, const std::string& id, duration wait);
    void on_cancel(instant now, call_id call, const std::string& id);
    /// The caller closed its connection; its job continues.
    void on_caller_disconnected(call_id call);

    // Messages and connections of other processes.
    void on_message(instant now, const std::string& from, const message& received);
    void on_peer_connected(instant now, const std::string& peer);
    void on_peer_lost(instant now, const std::string& peer);

    // Events from the key-value service.
    void on_store_table(instant now, const shard_table& table, std::int64_t revision);
    void on_store_entry(const std::string& name, std::optional<std::uint64_t> incarnation);
    void on_store_read(instant now);
    void on_swap_done(instant now, bool swapped, const table_swap& request, std::int64_t revision);
    void on_swap_in_doubt(instant now);
    /// Applies the operators' declarations; older versions and invalid documents are ignored.
    /// @return whether the document was applied
    bool on_config(instant now, std::uint64_t version, const std::string& document);

    void on_tick(instant now);
    /// Starts a graceful shutdown: shards are handed over, jobs in progress run to their end here.
    void drain(instant now);

    /// @return whether no job is in progress and no caller or entry waits for an answer.
    bool idle() const;
    /// @return whether load balancers may route callers to this entry.
    bool ready(instant now) const;
    std::vector<entry_effect> take_effects();

    const worker_directory& workers() const { return directory_; }
    const dispatcher& jobs() const { return *dispatcher_; }
    const ownership& shards() const { return ownership_; }
    const job_registry& registry() const { return registry_; }
    const entry_counters& counters() const { return counters_; }
    const std::shared_ptr<const declarations>& config() const { return config_; }
    std::uint64_t config_version() const { return config_version_; }
    /// @return one line for operators with the state of a job or the entry that owns it.
    std::string describe(const std::string& id) const;

private:
    /// Time after a job's deadline during which the owner's answer to a forwarded request is
    /// still accepted.
    static constexpr duration forward_grace = std::chrono::seconds(2);
    /// Delay suggested to callers when the entry or the owner cannot serve them yet.
    static constexpr duration not_ready_retry_after = std::chrono::seconds(1);

    entry_core(entry_options options, instant now, std::unique_ptr<placement_strategy> placement);

    /// Recipient of a job's answer: a caller of this entry, or an entry that forwarded the request.
    struct waiter
    {
        call_id call = 0;
        /// The entry that forwarded the request; empty for a caller of this entry.
        std::string entry;
        /// Identifies the forwarded request at that entry.
        std::uint64_t request = 0;
        /// When the recipient is answered that the job is still in progress.
        std::optional<instant> until;
    };

    /// A request forwarded to another entry and not answered yet.
    struct pending_forward
    {
        waiter from;
        std::string target;
        /// Empty for queries and cancellations, which are not retried.
        std::optional<submission> job;
        std::string id;
        bool query = false;
        instant sent;
        instant deadline;
        /// Whether the connection to the target ended or was replaced since the request was sent,
        /// so that the request may be lost.
        bool connection_lost = false;
    };

    /// A submission that waits until its shard has an owner or this entry has recovered it.
    struct deferred_submission
    {
        waiter from;
        submission job;
        instant deadline;
    };

    // Requests (entry_core.cpp).
    void submit(instant now, waiter from, submission job);
    void submit_owned(instant now, waiter from, submission job, fencing_token token);
    bool answer_from_registry(instant now, const waiter& from, const submission& job,
                              fencing_token token);
    void resume_recovered_job(instant now, const waiter& from, const submission& job,
                              const registered_job& known, fencing_token token);
    bool records_may_be_missing(instant now, std::uint32_t shard, const std::string& id) const;
    unix_milliseconds records_complete_since(std::uint32_t shard) const;
    void query_or_cancel(instant now, waiter from, const std::string& id, bool query);
    void forward_submission(instant now, waiter from, const std::string& target, submission job);
    void deliver(const waiter& to, const answer& reply);
    void deliver(const waiter& to, const std::string& id, outcome answer_outcome,
                 reason answer_reason, duration retry_after = {});
    void process_dispatcher_output(instant now);
    void expire_waiters(instant now);
    void retry_forwards(instant now);
    void retry_deferred_submissions(instant now);
    std::string generating_entry(const std::string& id) const;

    // Membership and versions (entry_core_membership.cpp).
    void handle(instant now, const std::string& from, const entry_heartbeat& heartbeat);
    void handle(instant now, const std::string& from, const entry_heartbeat_ack& ack);
    void handle(instant now, const std::string& from, const worker_list_request& request);
    void handle(instant now, const std::string& from, const worker_list_reply& reply);
    void handle(instant now, const std::string& from, const table_update& update);
    void handle(instant now, const std::string& from, const config_update& update);
    void handle(instant now, const std::string& from, const forward_submit& forwarded);
    void handle(instant now, const std::string& from, const forward_answer& reply);
    void handle(instant now, const std::string& from, const forward_control& forwarded);
    void handle(instant now, const std::string& from, const shard_handover& transfer);
    void handle(instant now, const std::string& from, const agent_announcement& announcement);
    void handle(instant now, const std::string& from, const task_results& results);
    void handle(instant now, const std::string& from, const load_report& report);
    void handle(instant now, const std::string& from, const query_reply& reply);
    void handle(instant now, const std::string& from, const fence_reply& reply);
    template<class T>
    void handle(instant, const std::string&, const T&)
    {
        // Messages from entries to agents; an entry ignores them.
        ++counters_.messages_wasted;
    }
    void record_outcomes(instant now, const std::string& worker,
                         const std::vector<task_outcome>& outcomes);
    void start_recoveries(instant now);
    void advance_recoveries(instant now);
    void hand_over(const std::vector<transferred_shards>& moved);
    void process_ownership_output(instant now);
    void send_entry_status(const std::string& worker);
    void send(const std::string& to, message body);
    unix_milliseconds wall_time(instant now) const;

    entry_options options_;
    instant started_;
    /// Time of the event being handled; the dispatcher's start check reads it.
    instant now_;
    worker_directory directory_;
    ownership ownership_;
    job_registry registry_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::shared_ptr<const declarations> config_;
    std::uint64_t config_version_ = 0;
    std::string config_document_;
    std::list<recovery> recoveries_;
    /// Per shard, the value from the last planned transfer, see
    /// shard_handover::records_complete_since_ms.
    std::array<unix_milliseconds, shard_count> transferred_complete_since_{};
    std::uint64_t next_request_;
    /// Number of job ids generated; the counter within the newest id.
    std::uint64_t generated_ids_ = 0;
    absl::flat_hash_map<std::string, std::vector<waiter>> waiters_;
    std::map<std::uint64_t, pending_forward> pending_forwards_;
    /// Newest request numbers received from each other entry, to drop duplicates.
    std::map<std::string, std::deque<std::uint64_t>> seen_forwards_;
    std::vector<deferred_submission> deferred_submissions_;
    /// Jobs that run here although their shards were handed over, with the new owner.
    std::map<std::string, std::string> handed_over_jobs_;
    bool draining_ = false;
    std::vector<entry_effect> effects_;
    entry_counters counters_;
};

} // namespace tarragonlock
