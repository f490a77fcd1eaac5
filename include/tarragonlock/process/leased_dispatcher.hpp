#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/process/task_host.hpp"
#include "tarragonlock/request/job_order.hpp"
#include "tarragonlock/request/leased_job.hpp"
#include "tarragonlock/request/worker_forecast.hpp"
#include "tarragonlock/version/route_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Names a caller's open request.
using caller_id = std::uint64_t;

/// Message for an agent.
struct to_agent
{
    channel_id channel = 0;
    lease_message body;
};

/// The answer to one caller.
struct to_caller
{
    caller_id caller = 0;
    leased_answer answer;
};

using dispatcher_effect = std::variant<to_agent, to_caller, close_channel>;

struct leased_dispatcher_options
{
    std::string name;
    std::string failure_domain;
    /// Time after a lost answer at which callers send a job again; whatever ran for this entry at
    /// an agent that it no longer hears has ended by then.
    duration caller_resend_delay = std::chrono::milliseconds(1300);
    /// Factor on run times away from the rack of a step's data.
    double remote_data_factor = 1.5;
    /// A test may switch this off to show that a proof depends on it.
    bool wait_for_lost_agents = true;
};

/// Counters that the metrics show.
struct leased_dispatcher_counters
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t given_up = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t resubmitted = 0;
    std::uint64_t tasks_placed = 0;
    std::uint64_t tasks_returned = 0;
    std::uint64_t tasks_stopped = 0;
    std::uint64_t agents_lost = 0;
};

/// Every decision of an entry of leased jobs, without sockets or clock: admission, placement,
/// retries and the answers to callers.
class leased_dispatcher
{
public:
    leased_dispatcher(instant now, leased_dispatcher_options options);

    void on_channel_open(instant now, channel_id channel);
    void on_channel_lost(instant now, channel_id channel);
    void on_message(instant now, channel_id channel, const lease_message& received);
    /// Uses the room that the messages of one frame have told of.
    void on_frame_end(instant now);
    /// Takes a job for a caller; the answer comes as to_caller, at once when it is refused.
    void submit(instant now, caller_id caller, leased_job_request request, const queue_rule& rule);
    void on_caller_disconnected(instant now, caller_id caller);
    /// Stops a job on request.
    /// @return whether the job was known
    bool cancel(instant now, const std::string& id);
    /// Answers every job, because the process ends.
    void end_all_jobs(instant now);
    /// @return the response time that a queue allows a job, as far as declared run times tell.
    static duration allowed_response_time(const leased_job_request& request,
                                          const queue_rule& rule);
    void on_tick(instant now);

    bool has_job(const std::string& id) const { return jobs_.contains(id); }
    /// @return jobs of a queue of which no task has ended.
    std::uint32_t unanswered_jobs(const std::string& queue) const;
    bool idle() const { return jobs_.empty(); }
    /// @return whether some worker takes tasks.
    bool has_workers() const;
    std::size_t agent_count() const { return agents_.size(); }
    std::vector<channel_id> channels() const;
    std::vector<dispatcher_effect> take_effects();
    const leased_dispatcher_counters& counters() const { return counters_; }
    /// @return response times and outcomes by queue and priority.
    const service_levels& levels() const { return levels_; }

private:
    enum class task_state : std::uint8_t
    {
        unplaced,
        placed,
        lost, ///< its agent is gone; may run until retry_at
        done
    };

    struct task
    {
        task_state state = task_state::unplaced;
        channel_id channel = 0;
        std::uint32_t attempt = 0;
        std::uint32_t failures = 0;
        /// Where its last run failed or was stopped.
        std::optional<channel_id> last_failed_worker;
        instant retry_at;
    };

    struct active_job
    {
        leased_job_request request;
        queue_rule rule;
        std::vector<caller_id> callers;
        instant accepted;
        /// End of the allowed response time, as far as declared run times tell.
        instant response_due;
        instant deadline;
        /// Latest start of what still waits, on the fastest worker that may run it.
        instant start_by;
        /// Tasks by step.
        std::vector<std::vector<task>> steps;
        std::uint32_t unfinished_tasks = 0;
        /// Tasks at agents, or at agents that are gone.
        std::uint32_t possibly_running_tasks = 0;
        /// Runs that ended in whatever way.
        std::uint32_t ended_runs = 0;
        std::uint64_t sequence = 0;
        /// Place among the waiting jobs; empty when nothing waits.
        std::optional<job_rank> rank;

        /// @return whether a task may have been given to a worker.
        bool may_have_started() const { return possibly_running_tasks > 0 || ended_runs > 0; }
    };

    struct placement_in_flight
    {
        std::uint64_t number = 0;
        resource_amount demand;
        std::uint32_t count = 0;
    };

    struct connected_agent
    {
        std::string name;
        worker_description worker;
        agent_report load;
        instant last_message_at;
        std::uint64_t placements_sent = 0;
        /// Placements that the last report does not include yet.
        std::deque<placement_in_flight> in_flight;
        std::uint32_t task_count = 0;
        /// Differs from entry to entry, so that they do not all send to the same worker at a time.
        double tie_break_penalty = 0.0;
    };

    /// Whether a job may begin although not all of its ready tasks find room.
    ///
    /// Load pattern: more work than the fleet can take. A job that is begun in part and then waits
    /// behind more urgent ones ends late, and what its first tasks took is lost to others. Only the
    /// first of the waiting jobs begins in part, since the next room goes to it.
    enum class start_mode : std::uint8_t
    {
        partial_allowed,
        all_or_nothing
    };

    /// Tasks of a step by the worker that they go to and how long they may wait there.
    using task_assignments = std::map<std::pair<channel_id, duration>, std::vector<std::uint32_t>>;
    using job_map = std::map<std::string, std::unique_ptr<active_job>, std::less<>>;

    void handle(instant now, channel_id channel, const agent_hello& hello);
    void handle(instant now, channel_id channel, const worker_description& description);
    void handle(instant now, channel_id channel, const agent_report& report);
    void handle(instant now, channel_id channel, const task_end& end);
    template<class T>
    void handle(instant, channel_id, const T&)
    {
        // Messages for agents are not for entries.
    }

    std::vector<std::uint32_t> unplaced_tasks(const active_job& job, std::uint32_t step) const;
    bool step_ready(const active_job& job, const job_step& step) const;
    std::vector<worker_forecast> forecasts() const;
    /// @return how many more tasks may go to a worker, as far as its condition says.
    static std::uint32_t max_additional_tasks(const connected_agent& agent);
    std::vector<worker_forecast> eligible_workers(const std::vector<worker_forecast>& all,
                                                  const active_job& job, std::uint32_t step) const;
    duration longest_unplaced_run_time(const active_job& job) const;
    /// Queues a job behind others when it has tasks to place.
    void enqueue(instant now, active_job& job);
    void dequeue(active_job& job);
    /// Gives free room to waiting jobs.
    void dispatch(instant now);
    /// @return the worker where a task's last run failed, if another one takes tasks.
    static std::optional<channel_id> avoided_worker(const task& item,
                                                    const std::vector<worker_forecast>& candidates);
    static bool is_large_for_fleet(const active_job& job,
                                   const std::vector<worker_forecast>& workers);
    /// @return whether nothing of the job waits any more.
    bool place_job(instant now, active_job& job, std::vector<worker_forecast>& workers,
                   double busy_fraction, start_mode mode);
    void send_placements(active_job& job, std::uint32_t step, const task_assignments& assignments);
    void record_outcome(instant now, const active_job& job, leased_outcome job_outcome);
    bool has_worker_for(const leased_job_request& request, const queue_rule& rule) const;
    void refuse(caller_id caller, const leased_job_request& request, leased_reason reason,
                duration retry_after);
    void answer(instant now, job_map::iterator found, const leased_answer& reply);
    void withdraw(const active_job& job);
    void schedule_timer(instant when, const std::string& id);
    void apply_task_end(instant now, job_map::iterator found, task& ended, task_end_kind kind);
    void on_timer(instant now, job_map::iterator found);
    void place_or_refuse_late_job(instant now, job_map::iterator found);
    /// @return what is free on a worker, less what is on its way there.
    static resource_amount available_resources(const connected_agent& agent);
    static duration critical_path_time(const leased_job_request& request);

    leased_dispatcher_options options_;
    instant started_;
    std::map<channel_id, connected_agent> agents_;
    job_map jobs_;
    std::map<caller_id, std::string> caller_jobs_;
    std::multimap<instant, std::string> timers_;
    std::set<std::pair<job_rank, std::string>> waiting_;
    std::uint64_t last_sequence_ = 0;
    /// Whether room may have come free since the last dispatch.
    bool resources_freed_ = false;
    std::vector<dispatcher_effect> effects_;
    leased_dispatcher_counters counters_;
    service_levels levels_;
};

} // namespace tarragonlock
