#pragma once

#include "tarragonlock/connection/worker_directory.hpp"
#include "tarragonlock/request/fair_queue.hpp"
#include "tarragonlock/request/placement.hpp"
#include "tarragonlock/request/retry_budget.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock
{

struct dispatcher_options
{
    /// Time within which a disconnected worker may reconnect before its tasks count as lost.
    duration worker_lost_after = std::chrono::seconds(5);
    /// Time for which no tasks are sent to a worker that refused one.
    duration refusal_backoff = std::chrono::milliseconds(100);
    /// Most workers per pool that are notified of a backlog in one placement round.
    std::uint32_t max_backlog_notices = 16;
    /// Only for tests: restarts lost tasks that may have run, even of jobs that are not idempotent.
    bool restart_uncertain = false;
};

/// Authorizes the start of a job's tasks: the shard and the epoch under which the job was admitted.
/// Agents refuse epochs of a shard older than the newest one they were fenced with.
struct fencing_token
{
    std::uint32_t shard = no_shard;
    std::uint64_t epoch = 0;
    friend bool operator==(const fencing_token&, const fencing_token&) = default;
};

/// Counters exported at /metrics.
struct dispatcher_counters
{
    std::uint64_t jobs_admitted = 0;
    std::uint64_t tasks_sent = 0;
    std::uint64_t tasks_succeeded = 0;
    std::uint64_t tasks_failed = 0;
    std::uint64_t tasks_not_started = 0;
    std::uint64_t tasks_retried = 0;
    std::uint64_t task_queries = 0;
};

/// Runs the jobs of one entry: queues their tasks, places them on workers, collects the results and
/// determines each job's outcome.
class dispatcher
{
public:
    using token_check = std::function<bool(const fencing_token&)>;

    /// @param directory  must outlive the dispatcher
    /// @param may_start  whether tasks of jobs admitted under a token may be sent now
    dispatcher(dispatcher_options options, worker_directory& directory,
               std::unique_ptr<placement_strategy> placement, token_check may_start);

    /// Applies new declarations: routes waiting tasks again and ends jobs whose service is no
    /// longer declared.
    void set_declarations(instant now, std::uint64_t version,
                          std::shared_ptr<const declarations> config);

    /// Checks whether a job can be admitted.
    /// @return the refusal, with a time to retry; nothing when the job can be admitted
    std::optional<answer> check_admission(const submission& job);

    /// Admits a job that check_admission did not refuse.
    /// @param recovered  outcomes recovered from agents, with the names of their workers; tasks
    /// that may have started are not started again
    void admit(instant now, submission job, fencing_token token,
               const std::vector<std::pair<std::string, task_outcome>>& recovered = {});

    void on_results(instant now, worker_index worker, const std::vector<task_outcome>& outcomes);
    /// Queries a reconnected worker for its tasks without a known outcome, or handles them as lost
    /// when its agent has restarted.
    void on_worker_reconnected(instant now, worker_index worker, bool restarted);
    /// Cancels a job. @return whether the job was in progress here.
    bool cancel(instant now, const std::string& id);
    /// Ends the jobs of a shard that is now owned by another entry.
    void on_shard_lost(instant now, std::uint32_t shard);
    void on_tick(instant now);
    /// Places waiting tasks, and produces the messages that start them and announce the backlog.
    void place_waiting_tasks(instant now);

    bool in_progress(const std::string& id) const { return by_id_.contains(id); }
    std::size_t job_count() const { return jobs_.size(); }
    std::uint32_t waiting_tasks() const { return queue_.waiting(); }

    /// @return messages to workers since the last call.
    std::vector<outgoing_message> take_messages();
    /// @return answers of jobs that ended since the last call.
    std::vector<answer> take_answers() { return std::exchange(answers_, {}); }
    const dispatcher_counters& counters() const { return counters_; }
    /// @return a status line for operators about a job in progress at this entry; empty for other
    /// jobs.
    std::string describe(const std::string& id) const;

private:
    enum class task_state : std::uint8_t
    {
        waiting,
        sent,
        succeeded
    };

    struct task
    {
        task_state state = task_state::waiting;
        std::uint32_t attempt = 0;
        worker_index worker = 0;
        /// Run time expected on a worker of slowness 1, in milliseconds.
        double expected_ms = 0.0;
        std::string result;
    };

    struct job_state
    {
        submission job;
        std::uint64_t digest = 0;
        fencing_token token;
        pool_index pool = 0;
        std::uint32_t urgency = 0;
        instant admitted;
        instant deadline;
        std::vector<task> tasks;
        /// Indices of waiting tasks; the one at the back is placed next.
        std::vector<std::uint32_t> waiting_indices;
        /// Sum of the waiting tasks' expected run times.
        double waiting_work_ms = 0.0;
        /// Key of the job in the fair queue.
        job_rank rank;
        std::uint32_t unfinished = 0;
        bool any_sent = false;
        /// Not queued while the entry may not start the tasks.
        bool suspended = false;
        /// Time by which the tasks sent so far are expected to end.
        instant sent_tasks_end;
    };

    /// Moving mean of a service's run times, on a worker of slowness 1.
    struct service_estimate
    {
        double mean_ms = 300.0;
        double samples = 0.0;
    };

    using batch_key = std::pair<worker_index, job_handle>;
    /// Indices of tasks that are sent in one message.
    using batch_map = std::map<batch_key, std::vector<std::uint32_t>>;

    /// The next task of a pool, and the backlog that is announced to agents.
    struct next_task
    {
        placement_request request;
        /// Request for the task placed last, as if it had to wait for all other tasks of the pool.
        placement_request last;
        backlog waiting;
    };

    void enqueue(job_handle handle, std::uint32_t tasks);
    void route(job_state& state);
    double expected_run_ms(const std::string& service, std::uint32_t declared_ms) const;
    double isolated_finish_ms(instant now, const job_state& state) const;
    void update_run_time_estimate(const std::string& service, double run_ms);
    placement_request request_for(instant now, const job_state& state) const;
    placement_request request_for_last(instant now, const job_state& state) const;
    bool would_choose(const next_task& next, worker_index worker) const;
    /// @return the next task of each pool; nothing for pools without waiting tasks.
    std::vector<std::optional<next_task>> next_tasks(instant now) const;
    bool place_next(instant now, const fair_queue::choice& next, batch_map& batches);
    void place(instant now, job_handle handle, worker_index worker, batch_map& batches);
    void send_batches(const batch_map& batches, const std::vector<std::optional<next_task>>& next,
                      instant now);
    void send_backlog_notices(const std::vector<std::optional<next_task>>& next);
    void apply(instant now, worker_index worker, const task_outcome& outcome);
    void requeue(job_handle handle, std::uint32_t index);
    void handle_lost_task(instant now, job_handle handle, std::uint32_t index);
    void finish(instant now, job_handle handle, outcome job_outcome, reason cause);
    void suspend(job_handle handle);
    void resume_suspended_jobs();
    void expire_lost_workers(instant now);
    template<class Visitor>
    void for_each_sent_task(worker_index worker, Visitor visit);

    dispatcher_options options_;
    worker_directory& directory_;
    std::unique_ptr<placement_strategy> placement_;
    token_check may_start_;
    std::shared_ptr<const declarations> config_;
    std::uint64_t config_version_ = 0;
    fair_queue queue_;
    retry_budget retry_budget_;
    absl::flat_hash_map<job_handle, job_state> jobs_;
    absl::flat_hash_map<std::string, job_handle> by_id_;
    absl::flat_hash_map<std::string, service_estimate> estimates_;
    absl::btree_set<std::pair<instant, job_handle>> deadlines_;
    job_handle next_handle_ = 1;
    std::size_t notice_cursor_ = 0;
    /// Pools in which a team without waiting tasks has queued some; agents that were notified of
    /// another team are notified again.
    absl::btree_set<pool_index> newly_waiting_pools_;
    instant last_lost_worker_check_;
    std::vector<outgoing_message> messages_;
    /// Jobs to cancel at each worker, sent together.
    std::map<worker_index, std::vector<std::string>> pending_cancels_;
    std::vector<answer> answers_;
    dispatcher_counters counters_;
};

} // namespace tarragonlock
