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
    /// Time for which a lost worker may come back before its tasks count as lost.
    duration worker_lost_after = std::chrono::seconds(5);
    /// Time for which a worker that refused a task gets no other.
    duration refusal_backoff = std::chrono::milliseconds(100);
    /// Most workers that are told of a backlog in one round.
    std::uint32_t max_backlog_notices = 16;
    /// Switch for tests: start tasks again whose fate is unknown.
    bool restart_uncertain = false;
};

/// Right to start tasks of a job: the shard's epoch under which it was admitted.
struct fencing_token
{
    std::uint32_t shard = minted_shard;
    std::uint64_t epoch = 0;
    friend bool operator==(const fencing_token&, const fencing_token&) = default;
};

/// Counters that /metrics shows.
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

/// Runs the jobs of one entry: queues their tasks, places them, gathers results, decides the
/// outcome.
class dispatcher
{
public:
    using token_check = std::function<bool(const fencing_token&)>;

    /// @param directory  must outlive the dispatcher
    /// @param may_start  whether tasks under a right may be sent at this moment
    dispatcher(dispatcher_options options, worker_directory& directory,
               std::unique_ptr<placement_strategy> placement, token_check may_start);

    /// Puts new declarations in force; waiting tasks are routed anew.
    void set_declarations(instant now, std::uint64_t version,
                          std::shared_ptr<const declarations> config);

    /// Decides whether a job can be taken.
    /// @return why not, with a time to retry; nothing when it can
    std::optional<answer> check_admission(const submission& job);

    /// Takes a job that refusal did not refuse.
    /// @param known  outcomes recovered from agents; tasks among them are not started again
    void admit(instant now, submission job, fencing_token token,
               const std::vector<std::pair<std::string, task_outcome>>& recovered = {});

    void on_results(instant now, worker_index worker, const std::vector<task_outcome>& outcomes);
    /// Asks a worker that is connected again about tasks whose fate is open, or gives them up when
    /// its agent has restarted.
    void on_worker_reconnected(instant now, worker_index worker, bool restarted);
    /// Cancels a job. @return whether the job was in progress here.
    bool cancel(instant now, const std::string& id);
    /// Ends jobs whose shard now belongs to another owner.
    void on_shard_lost(instant now, std::uint32_t shard);
    void on_tick(instant now);
    /// Places waiting tasks.
    void place_waiting_tasks(instant now);

    bool in_progress(const std::string& id) const { return by_id_.contains(id); }
    std::size_t job_count() const { return jobs_.size(); }
    std::uint32_t waiting_tasks() const { return queue_.waiting(); }

    /// @return messages to workers since the last call.
    std::vector<send_message> take_messages();
    /// @return answers of jobs that ended since the last call.
    std::vector<answer> take_answers() { return std::exchange(answers_, {}); }
    const dispatcher_counters& counters() const { return counters_; }
    /// One line for operators about a job in progress; empty when it is not here.
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
        /// Indices of waiting tasks, the one to go next at the back.
        std::vector<std::uint32_t> waiting_indices;
        /// Sum of the waiting tasks' expected run times.
        double waiting_work_ms = 0.0;
        /// Place in the queue.
        job_rank rank;
        std::uint32_t unfinished = 0;
        bool any_sent = false;
        bool suspended = false;
        instant sent_tasks_end;
    };

    /// Expected run times of a service.
    struct service_estimate
    {
        double mean_ms = 300.0;
        double samples = 0.0;
    };

    using batch_key = std::pair<worker_index, job_handle>;
    /// Indices of tasks that go out together.
    using batch_map = std::map<batch_key, std::vector<std::uint32_t>>;

    /// The task that goes next in a pool, and what agents are told of it.
    struct next_task
    {
        placement_request request;
        /// The task that goes last, as it would wait until all others are over.
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
    /// @return the task that goes next in each pool, where one waits.
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
    /// Pools where a team has begun to wait; agents that were told of another one hear of it.
    absl::btree_set<pool_index> newly_waiting_pools_;
    instant last_lost_worker_check_;
    std::vector<send_message> messages_;
    /// Jobs to cancel at each worker, sent together.
    std::map<worker_index, std::vector<std::string>> pending_cancels_;
    std::vector<answer> answers_;
    dispatcher_counters counters_;
};

} // namespace tarragonlock
