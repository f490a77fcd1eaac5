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

/// Number under which the shell knows a caller that waits.
using call_id = std::uint64_t;

struct entry_options
{
    process_id self;
    /// Names of all entries, this one included.
    std::vector<std::string> entries;
    std::string placement = "earliest_finish";
    dispatcher_options dispatch;
    ejection_policy ejection;
    ownership_options ownership;
    duration record_window = std::chrono::minutes(10);
    std::size_t max_result_bytes = 64U << 20U;
    duration recovery_wait = std::chrono::seconds(3);
    /// Largest difference between wall clocks of callers and entries.
    duration max_clock_skew = std::chrono::seconds(5);
    /// Wall clock minus process clock.
    unix_milliseconds wall_offset{0};
    duration forward_retry_interval = std::chrono::milliseconds(500);
};

/// Answers a caller; no reply means that the job is still in progress.
struct reply_to_caller
{
    call_id call = 0;
    std::optional<answer> reply;
};

using entry_effect = std::variant<send_message, reply_to_caller, swap_table>;

/// Counters that /metrics shows.
struct entry_counters
{
    std::uint64_t submissions = 0;
    std::uint64_t joined = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_wasted = 0;
    message_counts sent_by_type{};
    std::map<outcome, std::uint64_t> answers;
};

/// Every decision of an entry, without sockets, threads or clock: events and the time go in,
/// effects come out.
class entry_core
{
public:
    /// @return the core, or std::errc::invalid_argument for an unknown placement
    static result<std::unique_ptr<entry_core>> create(entry_options options, instant now);

    // Callers.
    /// @param wait  time after which the caller is told that the job is still in progress
    void on_submit(instant now, call_id call, submission job, duration wait = max_deadline);
    /// @return an identifier that this entry owns for good.
    std::string generate_job_id();
    void on_query(instant now, call_id call, const std::string& id, duration wait);
    void on_cancel(instant now, call_id call, const std::string& id);
    /// The caller has gone; the job goes on.
    void on_caller_disconnected(call_id call);

    // Other processes.
    void on_message(instant now, const std::string& from, const message& received);
    void on_peer_connected(instant now, const std::string& peer);
    void on_peer_lost(instant now, const std::string& peer);

    // The key-value service.
    void on_store_table(instant now, const shard_table& table, std::int64_t revision);
    void on_store_entry(const std::string& name, std::optional<std::uint64_t> incarnation);
    void on_store_read(instant now);
    void on_swap_done(instant now, bool swapped, const swap_table& request, std::int64_t revision);
    void on_swap_unknown(instant now);
    /// Takes the operators' document; older versions and faulty documents are ignored.
    /// @return whether the document is in force now
    bool on_config(instant now, std::uint64_t version, const std::string& document);

    void on_tick(instant now);
    /// Starts a graceful shutdown: shards are handed over, jobs in progress end here.
    void drain(instant now);

    /// @return whether no job is in progress and nobody waits.
    bool idle() const;
    /// @return whether callers may be sent here.
    bool ready(instant now) const;
    std::vector<entry_effect> take_effects();

    const worker_directory& workers() const { return directory_; }
    const dispatcher& jobs() const { return *dispatcher_; }
    const ownership& shards() const { return ownership_; }
    const job_registry& registry() const { return registry_; }
    const entry_counters& counters() const { return counters_; }
    const std::shared_ptr<const declarations>& config() const { return config_; }
    std::uint64_t config_version() const { return config_version_; }
    /// One line for operators that tells where a job is and why.
    std::string describe(const std::string& id) const;

private:
    /// Time beyond a job's deadline for which its owner's answer is waited for.
    static constexpr duration forward_grace = std::chrono::seconds(2);
    static constexpr duration not_ready_retry_after = std::chrono::seconds(1);

    entry_core(entry_options options, instant now, std::unique_ptr<placement_strategy> placement);

    /// Who waits for a job: a caller here, or an entry that passed the submission on.
    struct waiter
    {
        call_id call = 0;
        std::string entry;
        std::uint64_t request = 0;
        /// When the caller is told that the job is still in progress.
        std::optional<instant> until;
    };

    /// A request passed on to another entry.
    struct pending_forward
    {
        waiter from;
        std::string target;
        std::optional<submission> job;
        std::string id;
        bool query = false;
        instant sent;
        instant deadline;
        bool connection_lost = false;
    };

    /// A submission that waits for its shard to be recovered.
    struct deferred_submission
    {
        waiter from;
        submission job;
        instant deadline;
    };

    // Requests (entry_core.cpp).
    void submit(instant now, waiter from, submission job);
    void submit_owned(instant now, waiter from, submission job, fencing_token right);
    bool answer_from_registry(instant now, const waiter& from, const submission& job,
                              fencing_token right);
    void resume_recovered_job(instant now, const waiter& from, const submission& job,
                              const registered_job& known, fencing_token right);
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
    std::string issuer_of(const std::string& id) const;

    // Membership and versions (entry_core_membership.cpp).
    void handle(instant now, const std::string& from, const entry_beat& beat);
    void handle(instant now, const std::string& from, const entry_beat_ack& ack);
    void handle(instant now, const std::string& from, const worker_list_request& request);
    void handle(instant now, const std::string& from, const worker_list_reply& reply);
    void handle(instant now, const std::string& from, const table_update& update);
    void handle(instant now, const std::string& from, const config_update& update);
    void handle(instant now, const std::string& from, const forward_submit& forwarded);
    void handle(instant now, const std::string& from, const forward_answer& reply);
    void handle(instant now, const std::string& from, const forward_control& forwarded);
    void handle(instant now, const std::string& from, const handover& transfer);
    void handle(instant now, const std::string& from, const announce& notice);
    void handle(instant now, const std::string& from, const task_results& results);
    void handle(instant now, const std::string& from, const load_report& report);
    void handle(instant now, const std::string& from, const query_reply& reply);
    void handle(instant now, const std::string& from, const fence_reply& reply);
    template<class T>
    void handle(instant, const std::string&, const T&)
    {
        // Messages to agents are not for entries.
        ++counters_.messages_wasted;
    }
    void record_outcomes(instant now, const std::string& worker,
                         const std::vector<task_outcome>& outcomes);
    void start_recoveries(instant now);
    void advance_recoveries(instant now);
    void hand_over(const std::vector<moved_shards>& moved);
    void process_ownership_output(instant now);
    void send_entry_status(const std::string& worker);
    void send(const std::string& to, message body);
    unix_milliseconds wall_time(instant now) const;

    entry_options options_;
    instant started_;
    /// Time of the event being handled.
    instant now_;
    worker_directory directory_;
    ownership ownership_;
    job_registry registry_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::shared_ptr<const declarations> config_;
    std::uint64_t config_version_ = 0;
    std::string config_document_;
    std::list<recovery> recoveries_;
    /// What earlier owners said in planned transfers, see handover::certain_since_ms.
    std::array<unix_milliseconds, shard_count> transferred_complete_since_{};
    std::uint64_t next_request_;
    std::uint64_t generated_ids_ = 0;
    absl::flat_hash_map<std::string, std::vector<waiter>> waiters_;
    std::map<std::uint64_t, pending_forward> pending_forwards_;
    std::map<std::string, std::deque<std::uint64_t>> seen_forwards_;
    std::vector<deferred_submission> deferred_submissions_;
    /// Jobs of shards that were handed over while they ran here, with the new owner.
    std::map<std::string, std::string> handed_over_jobs_;
    bool draining_ = false;
    std::vector<entry_effect> effects_;
    entry_counters counters_;
};

} // namespace tarragonlock
