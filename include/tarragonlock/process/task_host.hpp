#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"
#include "tarragonlock/process/configuration_relay.hpp"
#include "tarragonlock/process/evacuation_relay.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/process/worker_health.hpp"
#include "tarragonlock/process/worker_messages.hpp"
#include "tarragonlock/request/cold_start.hpp"
#include "tarragonlock/request/leased_job.hpp"
#include "tarragonlock/request/run_progress.hpp"
#include "tarragonlock/request/worker_pace.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Sends a message to an entry.
struct to_entry
{
    channel_id channel = 0;
    lease_message body;
};

/// Closes the channel of an entry whose lease has expired.
struct close_channel
{
    channel_id channel = 0;
};

using host_effect =
    std::variant<start_request, stop_request, renewal_request, to_entry, close_channel>;

/// Mechanisms for safety, and for using every sound worker. Tests disable single ones to show that
/// their checks depend on them.
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
    bool ask_silent_worker = true;
    bool raise_fence_for_renewals = true;
    bool heed_evacuations = true;
    bool restart_departing_runs = true;
    bool judge_latest_runs = true;
};

/// Identity and time limits of the agent. The defaults match the stand-ins used by the tests.
struct task_host_options
{
    std::string name;
    std::uint64_t incarnation = 0;
    /// Longest execution lease that the worker grants.
    duration execution_lease = std::chrono::milliseconds(1000);
    /// Delay after which a caller that got no answer submits its job again. All runs for a lost
    /// entry must have ended by then.
    duration caller_resend_delay = std::chrono::milliseconds(1300);
    /// Time without an announcement after which the worker is considered lost.
    duration announcement_lifetime = std::chrono::milliseconds(4500);
    task_host_mechanisms mechanisms;
};

/// Counters exported as metrics.
struct task_host_counters
{
    std::uint64_t placed = 0;
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t returned = 0;
    /// Those of the returned tasks that found the worker's failure domain evacuated.
    std::uint64_t returned_for_evacuation = 0;
    std::uint64_t stopped = 0;
    std::uint64_t stalled = 0;
    /// Runs stopped because their worker leaves before they can end.
    std::uint64_t departing = 0;
    std::uint64_t unanswered_starts = 0;
    std::uint64_t renewals = 0;
    /// Renewals that brought no listing, because of a timeout, an error or a refusal.
    std::uint64_t failed_renewals = 0;
    std::uint64_t expired_entry_leases = 0;
};

/// State machine of an agent for leased jobs, without sockets or clock: events go in with the
/// current time, and effects to execute come out. It is the only place that accounts for the
/// worker's free resources. It starts waiting tasks when they fit, and stops the runs of an entry
/// whose lease has expired.
class task_host
{
public:
    explicit task_host(task_host_options options);

    void on_channel_open(instant now, channel_id channel);
    void on_channel_lost(instant now, channel_id channel);
    void on_message(instant now, channel_id channel, const lease_message& received);
    /// @return whether the announcement was applied; one older than the last is ignored, unless
    ///         the worker of the last one shows no sign of life any more
    bool on_announcement(instant now, const worker_announcement& announcement);
    /// The worker with this id has shut down gracefully.
    void on_worker_left(instant now, const std::string& id);
    void on_start_reply(instant now, const run_key& run, start_reply reply, std::int64_t clock_ms);
    void on_stop_reply(instant now, const run_key& run, stop_reply reply);
    /// @param number  number of the renewal request
    void on_renewal_reply(instant now, std::uint64_t number, const renewal_reply& reply);
    void on_tick(instant now);
    /// Starts a graceful shutdown: waiting tasks are returned to their entries, runs may finish.
    void drain(instant now);

    /// Sends load reports to the entries whose last report is outdated, each if the minimum
    /// interval between its reports has passed. To be called after each batch of events.
    void send_load_reports(instant now);
    /// @return the effects to execute, and clears them.
    std::vector<host_effect> take_effects();
    /// @return whether no task is running or waiting.
    bool idle() const { return tasks_.empty(); }
    const task_host_counters& counters() const { return counters_; }
    /// @return run times and outcomes by priority, measured against the declared run time.
    const service_levels& levels() const { return levels_; }
    /// @return the newest configuration received from an entry; version 0 when there is none.
    const configuration_copy& configuration() const { return configuration_.current(); }
    const evacuation_state& evacuations() const { return evacuations_.current(); }
    const std::optional<worker_announcement>& worker() const { return worker_; }
    /// @return run times on the worker at present, divided by the declared ones
    double slowness(instant now) const;
    std::size_t waiting() const;
    std::size_t running() const { return tasks_.size() - waiting(); }

private:
    /// Consecutive unanswered renewals after which the worker is considered silent. With fewer,
    /// lost answers alone would make a healthy worker look silent.
    static constexpr std::uint32_t max_unanswered_renewals = 3;

    enum class task_state : std::uint8_t
    {
        waiting,
        starting, ///< start request sent, not yet confirmed
        running,
        stopping ///< being stopped; keeps its resources until its end is confirmed
    };

    struct hosted_task
    {
        channel_id channel = 0;
        run_key run;
        std::uint32_t attempt = 0;
        task_state state = task_state::waiting;
        std::string spec;
        resource_amount demand;
        std::uint32_t declared_ms = 0;
        std::uint32_t priority = 0;
        instant start_by;
        instant request_sent_at;
        std::uint64_t request_fence = 0;
        instant started_at;
        /// Whether the worker has confirmed the last start or stop request.
        bool confirmed = false;
        /// Whether the reply to the last stop request is outstanding.
        bool request_pending = false;
        /// Number of the first renewal that was sent late enough for its listing to prove whether
        /// the run exists on the worker.
        std::uint64_t conclusive_renewal = 0;
        /// Whether the start request got no answer and no listing has shown the run since.
        bool in_doubt = false;
        /// Whether the worker was cold when the run was started.
        bool started_cold = false;
        run_progress progress;
        /// Least slowness of the run, from its progress in the last listing.
        double min_slowness = 0.0;
        /// When the caller stops waiting for the job.
        instant caller_leaves_at;
        /// Limit for the worker's lease: after this, another entry may run the task.
        instant must_end_by = instant::max();
        /// Whether to report the end to the entry; false once the entry has withdrawn the task.
        bool report_end = true;
    };

    struct entry_channel
    {
        /// Start of the entry's lease: the newest report timestamp that the entry has returned in a
        /// lease_renewal.
        instant lease_start;
        /// When the last report with a timestamp was sent, which renews the entry's lease.
        instant report_sent_at;
        /// When the last report of either kind was sent.
        instant load_report_sent_at;
        /// Value of load_version_ in the last report.
        std::uint64_t reported_load_version = 0;
        /// Value of description_version_ when the last description was sent.
        std::uint64_t reported_description_version = 0;
        /// Whether a task end is queued for the entry; a report in the same frame costs little.
        bool frame_pending = false;
        /// Whether the entry has asked for fewer reports of changed load.
        bool reduced_reports = false;
        std::uint64_t placements_received = 0;
        std::uint32_t task_count = 0;
    };

    using task_id = std::tuple<std::string, std::uint32_t, std::uint32_t>;
    using task_map = std::map<task_id, hosted_task>;

    void handle(instant now, channel_id channel, const place_tasks& request);
    void handle(instant now, channel_id channel, const withdraw_job& request);
    void handle(instant now, channel_id channel, const take_back_job& request);
    void handle(instant now, channel_id channel, const lease_renewal& renewal);
    void handle(instant now, channel_id channel, const report_preference& preference);
    void handle(instant now, channel_id channel, const configuration_notice& notice);
    void handle(instant now, channel_id channel, const configuration_request& request);
    void handle(instant now, channel_id channel, const configuration_copy& copy);
    void handle(instant now, channel_id channel, const evacuated_domains& copy);
    void request_configuration(instant now);
    /// Informs the entries that have older evacuated domains.
    void inform_entries_of_evacuations(instant now);
    /// @return whether no task may be started because of the worker's failure domain.
    bool in_evacuated_domain() const;
    /// Announces a new configuration to the entries that seem not to have it.
    void notify_entries_of_configuration(instant now);
    template<class T>
    void handle(instant, channel_id, const T&)
    {
        // Messages that only entries handle are ignored.
    }

    void start_waiting_tasks(instant now);
    void send_start(instant now, hosted_task& task);
    /// @return whether the start was sent
    bool repeat_start(instant now, hosted_task& task);
    void send_stop(instant now, hosted_task& task);
    bool raise_fence(std::uint64_t refused);
    void withdraw(instant now, task_map::iterator task, instant must_end_by);
    task_map::iterator finish(instant now, task_map::iterator task, task_end_kind kind);
    void return_waiting_tasks(instant now);
    void return_unstarted_tasks(instant now, channel_id channel, const place_tasks& request);
    void resend_stops(instant now);
    void expire_entry_leases(instant now);
    /// @return whether the announcement is older than the newest one, by its start time or number
    bool is_outdated(const worker_announcement& announcement) const;
    bool needs_listing(instant now) const;
    void renew_if_needed(instant now);
    void on_listing(instant now, std::uint64_t number, const run_listing& listing);
    void mark_runs_stopped(instant now);
    void reset_worker_state();
    void send_report(instant now, channel_id channel, entry_channel& entry);
    /// @return a load report without the fields that differ between entries.
    agent_report make_load_report(instant now) const;
    void send_description_if_changed(instant now);
    duration busy_report_interval() const;
    /// @param reduced  whether for entries with reduced reports
    /// @return the shortest interval between two reports of changed load to one entry
    duration load_report_interval(bool reduced) const;
    void update_load_version(instant now);
    /// @return the worker's condition as reported to the entries.
    worker_condition condition(instant now) const;
    bool may_start(instant now) const;
    bool entry_lease_valid(instant now, channel_id channel) const;
    void record_outcome(instant now, const hosted_task& task, task_end_kind kind);
    void record_run_time(instant now, const hosted_task& task);
    bool worker_is_cold(instant when) const;
    /// Updates the tasks from a listing of the worker.
    /// @param number  number of the renewal that the listing answers
    void reconcile(instant now, std::uint64_t number, const run_listing& listing);
    /// @return whether a run is in doubt and no pending renewal will show whether it exists.
    bool needs_immediate_renewal() const;
    void on_run_end(instant now, const run_end& end);
    /// Stops a run that has made no progress for longer than the stall limit, or that can't end
    /// before its worker leaves while it could elsewhere.
    void check_progress(instant now, hosted_task& task, std::uint32_t percent_done,
                        std::int64_t clock_ms);
    bool outlives_worker(instant now, const hosted_task& task) const;
    bool accepting(instant now) const;
    /// @return whether the worker has announced itself within the announcement lifetime
    bool announced_recently(instant now) const;
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
    /// Runs started by an earlier process of this agent, and when the last stop request for each
    /// was sent. Their resource demand is unknown, so no task is started while there are any.
    std::map<run_key, instant> unknown_runs_;
    std::map<task_id, std::pair<std::uint32_t, instant>> last_run_numbers_;
    resource_amount free_;
    /// Load at the last increment of load_version_.
    resource_amount versioned_free_;
    std::size_t versioned_waiting_ = 0;
    worker_condition versioned_condition_ = worker_condition::healthy;
    /// Increases whenever the load that reports describe has changed.
    std::uint64_t load_version_ = 0;
    std::optional<worker_announcement> worker_;
    /// Whether the worker has reported its shutdown since its last announcement.
    bool worker_left_ = false;
    instant announced_at_;
    /// Last applied announcement, listing or departure of the worker.
    instant last_sign_of_life_;
    /// When an announcement with an earlier start time than the known one was last rejected; reset
    /// by a listing.
    std::optional<instant> start_time_in_doubt_since_;
    /// Agent's clock at the time the worker's clock showed worker_clock_ms_.
    instant worker_clock_read_at_;
    std::int64_t worker_clock_ms_ = 0;
    std::uint64_t fence_ = 0;
    /// Next increment of the fence. Doubles each time the worker reports a higher fence, so that a
    /// sufficient fence is found in few steps without exceeding it by much. Reset by a listing.
    std::uint64_t fence_step_ = 1;
    std::uint64_t last_end_received_ = 0;
    std::uint64_t last_end_acknowledged_ = 0;
    /// Worker's clock in the newest listing of this worker process.
    std::int64_t last_listing_clock_ms_ = 0;
    /// Fences of the renewals without an answer so far, by number.
    std::map<std::uint64_t, std::uint64_t> pending_renewals_;
    std::uint64_t last_renewal_number_ = 0;
    instant last_renewal_sent_at_;
    /// Upper bound of the worker's lease expiry, on the agent's clock; no run goes on after it.
    instant worker_lease_end_;
    /// Whether the worker has listed its runs and every run unknown to this process has ended.
    /// Nothing is started before that.
    bool worker_reconciled_ = false;
    /// Consecutive renewals without an answer.
    std::uint32_t unanswered_renewals_ = 0;
    bool draining_ = false;
    /// Description that the entries have or are being sent.
    worker_description reported_description_;
    /// Increases with each change of reported_description_; 0 is the version of an entry that has
    /// received none.
    std::uint64_t description_version_ = 1;
    instant unavailable_until_;
    worker_pace pace_;
    cold_start cold_start_;
    worker_health health_;
    service_levels levels_;
    configuration_relay configuration_;
    evacuation_relay evacuations_;
    std::vector<host_effect> effects_;
    task_host_counters counters_;
};

} // namespace tarragonlock
