#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/process/task_host.hpp"
#include "tarragonlock/request/job_order.hpp"
#include "tarragonlock/request/leased_job.hpp"
#include "tarragonlock/request/task_exposure.hpp"
#include "tarragonlock/request/worker_forecast.hpp"
#include "tarragonlock/version/evacuation_state.hpp"
#include "tarragonlock/version/route_table.hpp"

#include <algorithm>
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

/// Identifies a caller's open request.
using caller_id = std::uint64_t;

/// Effect: sends a message to an agent.
struct to_agent
{
    channel_id channel = 0;
    lease_message body;
};

/// Effect: answers one caller's request.
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
    /// Delay after which callers resubmit a job whose answer was lost. Runs that this entry placed
    /// at an agent whose connection is lost have ended by then.
    duration caller_resend_delay = std::chrono::milliseconds(1300);
    /// Multiplies run times on workers outside the rack that holds a step's data.
    double remote_data_factor = 1.5;
    /// Whether tasks of a lost agent are placed again only after caller_resend_delay. Tests disable
    /// this to show that the guarantee against overlapping runs depends on it.
    bool wait_for_lost_agents = true;
};

/// Counters that are exported as metrics.
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
    /// Jobs that were refused after their agents had returned the tasks that waited there.
    std::uint64_t jobs_taken_back = 0;
    /// Jobs that were answered before their deadline because they could not end in time any more.
    std::uint64_t jobs_ended_early = 0;
};

/// Decision logic of an entry for leased jobs: admission, placement, retries and the answers to
/// callers. It uses no sockets and no clock; the owner passes in the time and applies the effects.
class leased_dispatcher
{
public:
    leased_dispatcher(instant now, leased_dispatcher_options options);

    void on_channel_open(instant now, channel_id channel);
    void on_channel_lost(instant now, channel_id channel);
    void on_message(instant now, channel_id channel, const lease_message& received);
    /// Places waiting jobs if the messages of one frame reported freed resources.
    void on_frame_end(instant now);
    /// Accepts a job from a caller, or adds the caller to a job that is already in progress. The
    /// answer is a to_caller effect; a refusal at submission is available when this returns.
    void submit(instant now, caller_id caller, leased_job_request request, const queue_rule& rule);
    void on_caller_disconnected(instant now, caller_id caller);
    /// Places no task until resume_placements(). To be called when the process runs again after a
    /// stall: the ends of callers' connections and frames of agents may still be unread.
    void hold_placements() { placements_held_ = true; }
    /// To be called when all input that arrived during the stall has been handled.
    void resume_placements(instant now);
    /// Stops a job on request.
    /// @return whether the entry had this job
    bool cancel(instant now, const std::string& id);
    /// Answers every job because the process is shutting down: as given up if a task may have
    /// started, otherwise as refused.
    void end_all_jobs(instant now);
    /// Asks the agents of all jobs to return the tasks that wait there, before end_all_jobs(), and
    /// places no further task. Refuses the jobs of which no task has been placed.
    void take_back_all_jobs(instant now);
    /// @return the response time that a queue allows a job, computed from declared run times.
    static duration allowed_response_time(const leased_job_request& request,
                                          const queue_rule& rule);
    void on_tick(instant now);
    /// Places no more tasks on workers of these failure domains, and refuses at once the waiting
    /// jobs that no other worker may run.
    void set_evacuated_domains(instant now, const evacuation_state& evacuations);

    bool has_job(const std::string& id) const { return jobs_.contains(id); }
    /// @return the number of jobs of a queue that have no answer yet.
    std::uint32_t unanswered_jobs(const std::string& queue) const;
    bool idle() const { return jobs_.empty(); }
    /// @return whether any worker accepts tasks.
    bool has_workers() const { return accepting_worker_count() > 0; }
    /// @return number of connected workers that accept tasks.
    std::size_t accepting_worker_count() const;
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
        lost, ///< the connection to its agent is lost; may run until retry_at
        done
    };

    struct task
    {
        task_state state = task_state::unplaced;
        channel_id channel = 0;
        std::uint32_t attempt = 0;
        std::uint32_t failures = 0;
        /// Worker on which its last run failed or was stopped.
        std::optional<channel_id> last_failed_worker;
        instant retry_at;
    };

    struct active_job
    {
        leased_job_request request;
        queue_rule rule;
        std::vector<caller_id> callers;
        instant accepted;
        /// End of the allowed response time, computed from declared run times; at most deadline.
        instant response_due;
        instant deadline;
        /// Latest start of the unplaced tasks that meets response_due on the fastest worker that
        /// accepts tasks.
        instant start_by;
        /// Tasks by step.
        std::vector<std::vector<task>> steps;
        std::uint32_t unfinished_tasks = 0;
        job_exposure exposure;
        /// When the next timer for judge() is due.
        instant next_judgement;
        std::uint64_t sequence = 0;
        /// Position among the waiting jobs; empty when no task is ready to be placed.
        std::optional<leased_job_rank> rank;

        /// @return whether a task may have been given to a worker.
        bool may_have_started() const { return exposure.may_have_started(); }
        /// @return the time until the caller stops waiting, in milliseconds.
        std::uint32_t caller_waits_ms(instant now) const
        {
            return static_cast<std::uint32_t>(std::max(deadline - now, duration(0)) /
                                              std::chrono::milliseconds(1));
        }
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
        /// When the worker last changed from accepting tasks to refusing them.
        instant last_accepting_at;
        /// Value of the last report_preference sent to the agent.
        bool reduced_reports = false;
        agent_report load;
        instant last_message_at;
        std::uint64_t placements_sent = 0;
        /// Placements that the last report does not include yet.
        std::deque<placement_in_flight> in_flight;
        std::uint32_t task_count = 0;
        /// From 0 to 1; of workers that are about as good, the one with the lowest value is
        /// preferred. Differs between entries, so that they do not all send to the same worker at
        /// the same time.
        double tie_break_penalty = 0.0;
    };

    /// Whether a job may start when only some of its ready tasks can be placed.
    ///
    /// Load pattern: more work than the fleet can take. A job that starts partially and then waits
    /// behind more urgent ones ends late, and the resources that its first tasks used are wasted.
    /// Only the first of the waiting jobs may start partially, since it gets the next resources
    /// that are freed.
    enum class start_mode : std::uint8_t
    {
        partial_allowed,
        all_or_nothing
    };

    /// Agents connect to a new entry within this time. Until then a job that no connected worker
    /// may run is not refused but waits, at most until its latest start.
    static constexpr duration startup_grace_period = std::chrono::milliseconds(1000);
    /// Retry delay for jobs that no connected worker may run and for jobs that were read too late.
    static constexpr duration no_worker_retry_delay = std::chrono::seconds(1);

    /// Indices of a step's tasks, by destination worker and maximum wait in its queue.
    using task_assignments = std::map<std::pair<channel_id, duration>, std::vector<std::uint32_t>>;
    using job_map = std::map<std::string, std::unique_ptr<active_job>, std::less<>>;

    void handle(instant now, channel_id channel, const agent_hello& hello);
    void handle(instant now, channel_id channel, const worker_description& description);
    bool evacuated(const connected_agent& agent) const;
    /// @return whether tasks may be placed on the agent's worker
    bool usable(const connected_agent& agent) const;
    /// @return whether the agent's worker is outside the entry's failure domain
    bool is_remote(const connected_agent& agent) const;
    void handle(instant now, channel_id channel, const agent_report& report);
    void handle(instant now, channel_id channel, const task_end& end);
    void handle(instant now, channel_id channel, const job_taken_back& reply);
    template<class T>
    void handle(instant, channel_id, const T&)
    {
        // Ignores messages that only agents handle.
    }

    std::vector<std::uint32_t> unplaced_tasks(const active_job& job, std::uint32_t step) const;
    bool step_ready(const active_job& job, const job_step& step) const;
    std::vector<worker_forecast> forecasts() const;
    /// @return how many more tasks may be placed on a worker in its present condition.
    static std::uint32_t max_additional_tasks(const connected_agent& agent);
    std::vector<worker_forecast> eligible_workers(const std::vector<worker_forecast>& all,
                                                  const active_job& job, std::uint32_t step) const;
    duration longest_unplaced_run_time(const active_job& job) const;
    /// Updates a job's rank among the waiting jobs; removes it when no task is ready.
    void enqueue(instant now, active_job& job);
    void dequeue(active_job& job);
    /// Places tasks of the waiting jobs on free resources, in the order of their ranks.
    void dispatch(instant now);
    /// @return the worker on which a task's last run failed or was stopped, if another candidate
    ///         accepts tasks.
    std::optional<channel_id> avoided_worker(const active_job& job, std::uint32_t step,
                                             std::uint32_t index,
                                             const std::vector<worker_forecast>& all) const;
    /// @return the workers at which the smallest of the waiting tasks could start or wait
    std::vector<worker_forecast> workers_with_room(const std::vector<worker_forecast>& all) const;
    static bool is_large_for_fleet(const active_job& job,
                                   const std::vector<worker_forecast>& workers);
    /// @param all          every accepting worker
    /// @param workers      those to place tasks on; placed tasks are reserved there
    /// @param utilization  share of the fleet's CPU in use, 0 to 1
    /// @return whether every ready task of the job has been placed.
    bool place_job(instant now, active_job& job, const std::vector<worker_forecast>& all,
                   std::vector<worker_forecast>& workers, double utilization, start_mode mode);
    void send_placements(instant now, active_job& job, std::uint32_t step,
                         const task_assignments& assignments);
    void record_outcome(instant now, const active_job& job, leased_outcome job_outcome);
    /// @return whether each step has a matching worker that accepts tasks or did so recently
    bool has_worker_for(instant now, const leased_job_request& request,
                        const queue_rule& rule) const;
    void refuse(caller_id caller, const leased_job_request& request, leased_reason reason,
                duration retry_after);
    void answer(instant now, job_map::iterator found, const leased_answer& reply);
    void withdraw(const active_job& job);
    void schedule_timer(instant when, const std::string& id);
    void apply_task_end(instant now, job_map::iterator found, task& ended, task_end_kind kind);
    void on_timer(instant now, job_map::iterator found);
    void run_due_timers(instant now);
    double fastest_slowness() const;
    job_times times_of(instant now, const active_job& job) const;
    /// Answers a job that can't be in time any more, or asks its agents to return its tasks first.
    /// The job may be gone afterwards.
    void judge(instant now, job_map::iterator found);
    /// Places or refuses a late job, and judges it.
    void review(instant now, job_map::iterator found);
    void take_back(instant now, active_job& job);
    /// @param reason  why the job is answered before it has ended
    static leased_answer final_answer(const active_job& job, leased_reason reason);
    void place_or_refuse_late_job(instant now, job_map::iterator found);
    /// @return a worker's free resources, less the demand of placements in flight.
    static resource_amount available_resources(const connected_agent& agent);
    static duration critical_path_time(const leased_job_request& request);

    leased_dispatcher_options options_;
    instant started_;
    std::map<channel_id, connected_agent> agents_;
    evacuation_state evacuations_;
    job_map jobs_;
    std::map<caller_id, std::string> caller_jobs_;
    std::multimap<instant, std::string> timers_;
    std::set<std::pair<leased_job_rank, std::string>> waiting_;
    std::uint64_t last_sequence_ = 0;
    /// Whether resources may have been freed since the last dispatch.
    bool resources_freed_ = false;
    instant last_dispatch_at_;
    bool placements_held_ = false;
    /// Whether take_back_all_jobs() has been called.
    bool ending_ = false;
    std::vector<dispatcher_effect> effects_;
    leased_dispatcher_counters counters_;
    service_levels levels_;
};

} // namespace tarragonlock
