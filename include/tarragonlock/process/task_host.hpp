#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"
#include "tarragonlock/process/configuration_relay.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/process/worker_health.hpp"
#include "tarragonlock/request/leased_job.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Names one run of a task on a worker.
struct run_key
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    /// Rises with each start of the task on this worker.
    std::uint32_t number = 0;
    friend auto operator<=>(const run_key&, const run_key&) = default;
};

/// Asks the worker to begin a run.
struct start_request
{
    run_key run;
    /// Id of the worker that is meant; another one at the same address refuses the order. Empty for
    /// whichever is there.
    std::string worker_id;
    std::string spec;
    /// End of the worker's execution lease, on the worker's clock.
    std::int64_t lease_end_ms = 0;
    /// Orders with a lower fence than the highest that the worker has seen are ignored by it.
    std::uint64_t fence = 0;
};

/// Asks the worker to end a run, or to refuse it if the start arrives later.
struct stop_request
{
    run_key run;
    std::uint64_t fence = 0;
};

/// Extends the worker's execution lease and asks what runs and what has ended.
struct renewal_request
{
    /// Names the order.
    std::uint64_t number = 0;
    std::int64_t lease_end_ms = 0;
    std::uint64_t fence = 0;
    /// Ends up to this number need not be listed again.
    std::uint64_t acknowledged_end = 0;
    /// How long the worker may wait for the next end before it answers.
    std::uint32_t wait_ms = 0;
};

/// How a worker answered a start.
enum class start_reply : std::uint8_t
{
    accepted,
    no_answer,     ///< may have been carried out, or may be later
    fenced,        ///< the worker has seen a higher fence
    superseded,    ///< this run or a higher one was stopped or has ended
    lease_expired, ///< the lease end had passed
    no_capacity,   ///< the worker counts more in use than this agent does
    unavailable,   ///< an unhealthy worker did nothing
    wrong_worker,  ///< another worker has taken the address; nothing of the run is there
    malformed      ///< the worker does not understand the order
};

enum class stop_reply : std::uint8_t
{
    accepted,
    no_answer,
    refused
};

enum class run_end_kind : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired,
    other
};

/// The end of a run as the worker lists it.
struct run_end
{
    std::uint64_t number = 0;
    run_key run;
    run_end_kind kind = run_end_kind::other;
};

/// A run that is at work.
struct listed_run
{
    run_key run;
    /// Share of its work that is done.
    std::uint32_t percent_done = 0;
};

/// A worker's answer to renewal_request.
struct run_listing
{
    /// Worker's clock when it answered.
    std::int64_t clock_ms = 0;
    /// Unix time at which this life of the worker began, in milliseconds; 0 when not told.
    std::int64_t start_time_ms = 0;
    std::vector<listed_run> running;
    std::vector<run_end> ended;
};

/// What a worker says of itself.
struct worker_announcement
{
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    /// Labels by name; a label without value has an empty one.
    label_set labels;
    resource_amount capacity;
    /// Whether it takes new tasks.
    bool accepting = false;
    std::int64_t clock_ms = 0;
    /// Unix time at which this life of the worker began, in milliseconds; 0 when not told.
    std::int64_t start_time_ms = 0;
    /// Rises with each announcement of one life.
    std::uint64_t sequence = 0;
};

/// Message for an entry.
struct to_entry
{
    channel_id channel = 0;
    lease_message body;
};

/// Closes a channel whose entry's lease has run out.
struct close_channel
{
    channel_id channel = 0;
};

using host_effect =
    std::variant<start_request, stop_request, renewal_request, to_entry, close_channel>;

/// Mechanisms that a test may switch off to show that a proof depends on them.
struct task_host_mechanisms
{
    bool expire_entry_leases = true;
    bool cap_worker_lease = true;
    bool cancel_unanswered_starts = true;
    bool stop_unknown_runs = true;
    bool raise_fence_on_worker_restart = true;
    bool stop_withdrawn_runs = true;
    bool check_entry_lease_at_start = true;
    bool send_worker_id = true;
    bool stop_stalled_runs = true;
};

/// Bounds that the agent keeps. The defaults fit the stand-ins of the tests.
struct task_host_options
{
    std::string name;
    std::uint64_t incarnation = 0;
    /// Longest execution lease that the worker grants.
    duration execution_lease = std::chrono::milliseconds(1000);
    /// Time after a lost answer at which callers send a job again; whatever runs for a lost entry
    /// has ended by then.
    duration caller_resend = std::chrono::milliseconds(1300);
    /// Time without an announcement after which the worker counts as gone.
    duration announcement_lifetime = std::chrono::milliseconds(4500);
    task_host_mechanisms mechanisms;
};

/// Counters that the metrics show.
struct task_host_counters
{
    std::uint64_t placed = 0;
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t returned = 0;
    std::uint64_t stopped = 0;
    std::uint64_t stalled = 0;
    std::uint64_t unanswered_starts = 0;
    std::uint64_t expired_entry_leases = 0;
};

/// Every decision of an agent of leased jobs, without sockets or clock: it alone counts what is
/// free on its worker, starts what waits when it fits, and ends what runs for an entry that it no
/// longer hears.
class task_host
{
public:
    explicit task_host(task_host_options options);

    void on_channel_open(instant now, channel_id channel);
    void on_channel_lost(instant now, channel_id channel);
    void on_message(instant now, channel_id channel, const lease_message& received);
    void on_announcement(instant now, const worker_announcement& announcement);
    /// The worker with this id has ended in an orderly way.
    void on_worker_left(instant now, const std::string& id);
    void on_start_reply(instant now, const run_key& run, start_reply reply, std::int64_t clock_ms);
    void on_stop_reply(instant now, const run_key& run, stop_reply reply);
    /// @param number   that of the order which is answered
    /// @param listing  nothing when no answer came in time
    void on_listing(instant now, std::uint64_t number, const std::optional<run_listing>& listing);
    void on_tick(instant now);
    /// Starts a graceful shutdown: what waits goes back, what runs may end.
    void drain(instant now);

    /// Tells the entries of changed load; to be called after each turn of events.
    void send_load_reports(instant now);
    /// @return what is to be done, and forgets it.
    std::vector<host_effect> take_effects();
    /// @return whether nothing runs or waits.
    bool idle() const { return tasks_.empty(); }
    const task_host_counters& counters() const { return counters_; }
    /// @return run times and outcomes by priority; the objective is the declared run time.
    const service_levels& levels() const { return levels_; }
    /// @return the newest configuration that an entry has sent; version 0 when none has.
    const configuration_copy& configuration() const { return configuration_.held(); }
    const std::optional<worker_announcement>& worker() const { return worker_; }
    std::size_t waiting() const;
    std::size_t running() const { return tasks_.size() - waiting(); }

private:
    /// Renewals in a row without answer after which the worker counts as silent; the answers of
    /// some may be lost on a sound one.
    static constexpr std::uint32_t max_unanswered_renewals = 3;

    enum class task_state : std::uint8_t
    {
        waiting,
        starting, ///< ordered, not yet answered
        running,
        stopping ///< to be ended; takes its resources until its end is certain
    };

    struct hosted_task
    {
        channel_id channel = 0;
        run_key run;
        std::uint32_t attempt = 0;
        task_state state = task_state::waiting;
        std::string spec;
        resource_amount demand;
        std::uint32_t estimate_ms = 0;
        std::uint32_t priority = 0;
        instant start_by;
        instant request_sent_at;
        std::uint64_t request_fence = 0;
        instant started_at;
        /// Whether the worker answered the present order.
        bool confirmed = false;
        /// Whether the present order is still on its way.
        bool request_pending = false;
        /// Number of the first renewal whose answer tells for sure whether the run is there.
        std::uint64_t conclusive_renewal = 0;
        /// Whether its start was not answered, and it has not been seen running since.
        bool in_doubt = false;
        /// Share of its work that was done when it last advanced, and the worker's clock then.
        std::uint32_t percent_done = 0;
        std::int64_t last_progress_ms = 0;
        /// Worker's lease may not reach beyond this, because another entry may run the task then.
        instant must_end_by = instant::max();
        /// Whether the entry still wants to hear of the end.
        bool report_end = true;
    };

    struct entry_channel
    {
        /// Newest report's stamp that the entry has sent back; its lease counts from there.
        instant lease_start;
        instant report_sent_at;
        std::uint64_t placements_seen = 0;
        std::uint32_t task_count = 0;
    };

    using task_id = std::tuple<std::string, std::uint32_t, std::uint32_t>;
    using task_map = std::map<task_id, hosted_task>;

    void handle(instant now, channel_id channel, const place_tasks& request);
    void handle(instant now, channel_id channel, const withdraw_job& request);
    void handle(instant now, channel_id channel, const lease_echo& echo);
    void handle(instant now, channel_id channel, const configuration_notice& notice);
    void handle(instant now, channel_id channel, const configuration_request& request);
    void handle(instant now, channel_id channel, const configuration_copy& copy);
    void request_configuration(instant now);
    template<class T>
    void handle(instant, channel_id, const T&)
    {
        // Messages for entries are not for agents.
    }

    void start_waiting_tasks(instant now);
    void send_start(instant now, hosted_task& task);
    void send_stop(instant now, hosted_task& task);
    void raise_fence();
    void withdraw(instant now, task_map::iterator task, instant must_end_by);
    task_map::iterator finish(instant now, task_map::iterator task, task_end_kind kind);
    void return_waiting_tasks(instant now);
    void return_unstarted_tasks(instant now, channel_id channel, const place_tasks& request);
    void resend_stops(instant now);
    void expire_entry_leases(instant now);
    void renew_if_needed(instant now);
    void mark_runs_stopped(instant now);
    void reset_worker_state();
    void send_report(instant now, channel_id channel, entry_channel& entry);
    /// @return what is the same for every entry of a load report.
    agent_report make_load_report(instant now) const;
    void send_description_if_changed(instant now);
    duration busy_report_interval() const;
    duration load_report_interval() const;
    /// @return what the worker's condition is to the entries.
    worker_condition condition(instant now) const;
    bool may_start(instant now) const;
    bool entry_lease_valid(instant now, channel_id channel) const;
    void record_outcome(instant now, const hosted_task& task, task_end_kind kind);
    void update_mean_run_times(const hosted_task& task, instant now);
    /// @param number  that of the renewal which asked for the listing
    void reconcile(instant now, std::uint64_t number, const run_listing& listing);
    /// @return whether a run is in doubt and no renewal under way will tell.
    bool needs_immediate_renewal() const;
    void on_run_end(instant now, const run_end& end);
    /// Stops a run that has not advanced for too long.
    void check_progress(instant now, hosted_task& task, std::uint32_t percent_done,
                        std::int64_t clock_ms);
    bool accepting(instant now) const;
    worker_description description(instant now) const;
    bool has_active_runs() const;
    std::int64_t worker_clock(instant now) const;
    duration lease_length(instant now) const;
    std::int64_t extend_lease(instant now);
    std::uint32_t next_run_number(const task_id& id) const;
    hosted_task* find_run(const run_key& run);

    task_host_options options_;
    std::map<channel_id, entry_channel> entries_;
    task_map tasks_;
    /// Runs of unknown origin, begun by an earlier process of this agent, and when each was last
    /// told to stop. While there are any, their demand is unknown and nothing is started.
    std::map<run_key, instant> unknown_runs_;
    std::map<task_id, std::pair<std::uint32_t, instant>> last_run_numbers_;
    resource_amount free_;
    resource_amount reported_free_;
    std::size_t reported_waiting_ = 0;
    worker_condition reported_condition_ = worker_condition::sound;
    instant load_reported_at_;
    std::optional<worker_announcement> worker_;
    instant announced_at_;
    /// Reading of the agent's clock at which the worker's clock was worker_clock_ms_.
    instant worker_clock_read_at_;
    std::int64_t worker_clock_ms_ = 0;
    std::uint64_t fence_ = 0;
    /// Grows while the worker has seen a higher fence, so that the right one is not far exceeded.
    std::uint64_t fence_step_ = 1;
    std::uint64_t last_end_seen_ = 0;
    std::uint64_t last_end_acknowledged_ = 0;
    /// Renewals without answer yet, by number, and when each was sent.
    std::map<std::uint64_t, instant> pending_renewals_;
    std::uint64_t last_renewal_number_ = 0;
    instant last_renewal_sent_at_;
    /// Latest moment at which the worker still runs something, by the agent's clock.
    instant worker_lease_end_;
    /// Whether what ran before this process has been listed and ended.
    bool worker_reconciled_ = false;
    /// Renewals in a row without answer.
    std::uint32_t unanswered_renewals_ = 0;
    bool draining_ = false;
    /// What entries have been told.
    bool reported_accepting_ = false;
    instant unavailable_until_;
    double mean_run_ms_ = 200.0;
    double mean_actual_ms_ = 0.0;
    double mean_declared_ms_ = 0.0;
    worker_health health_;
    service_levels levels_;
    configuration_relay configuration_;
    std::vector<host_effect> effects_;
    task_host_counters counters_;
};

} // namespace tarragonlock
