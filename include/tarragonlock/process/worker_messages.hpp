#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/request/job.hpp"
#include "tarragonlock/request/leased_job.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// What an agent asks of its worker, the worker's answers, and what the worker announces.

namespace tarragonlock
{

/// Identifies one run of a task on a worker.
struct run_key
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    /// Run number; increases with each start of the task on this worker.
    std::uint32_t number = 0;
    friend auto operator<=>(const run_key&, const run_key&) = default;
};

/// Asks the worker to start a run.
struct start_request
{
    run_key run;
    /// Id of the addressed worker; another worker at the same address rejects the request. Empty
    /// addresses any worker there.
    std::string worker_id;
    std::string spec;
    /// Expiry of the worker's execution lease, on the worker's clock.
    std::int64_t lease_end_ms = 0;
    /// Fencing token; the worker rejects requests with a lower one than the highest it has
    /// received.
    std::uint64_t fence = 0;
};

/// Asks the worker to stop a run, or to reject its start request if that arrives later.
struct stop_request
{
    run_key run;
    std::uint64_t fence = 0;
};

/// Extends the worker's execution lease and asks for the runs in progress and the ended ones.
struct renewal_request
{
    /// Sequence number of the renewal.
    std::uint64_t number = 0;
    std::int64_t lease_end_ms = 0;
    std::uint64_t fence = 0;
    /// Sequence number of the last run end received; the worker need not list it or earlier ones
    /// again.
    std::uint64_t acknowledged_end = 0;
    /// Long-poll time: how long the worker may wait for the next run end before it answers.
    std::uint32_t wait_ms = 0;
};

/// Result of a start request.
enum class start_reply : std::uint8_t
{
    accepted,
    no_answer,     ///< the request may have been executed, or may still be
    fenced,        ///< the worker has received a higher fence
    superseded,    ///< this run, or one with a higher number, was stopped or has ended
    lease_expired, ///< the lease in the request had already expired
    no_capacity,   ///< the worker counts more resources in use than this agent does
    unavailable,   ///< the worker is unhealthy or unreachable and did not start the run
    wrong_worker,  ///< another worker has the address now; the run does not exist there
    malformed      ///< the worker could not parse the request
};

enum class stop_reply : std::uint8_t
{
    accepted,
    no_answer,
    fenced,     ///< the worker has received a higher fence
    unavailable ///< the worker is unhealthy and has not stopped the run
};

enum class run_end_kind : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired,
    other
};

/// End of a run, as listed by the worker.
struct run_end
{
    /// Sequence number of the end; increases while the worker process lives.
    std::uint64_t number = 0;
    run_key run;
    run_end_kind kind = run_end_kind::other;
};

/// A run in progress.
struct listed_run
{
    run_key run;
    /// Share of the work that is completed, in percent.
    std::uint32_t percent_done = 0;
};

/// A worker's answer to renewal_request.
struct run_listing
{
    /// Worker's clock at the time of the answer.
    std::int64_t clock_ms = 0;
    /// Start time of the worker process, as Unix time in milliseconds; 0 if not reported.
    std::int64_t start_time_ms = 0;
    std::vector<listed_run> running;
    std::vector<run_end> ended;
};

/// Why a renewal request brought no listing.
enum class renewal_failure : std::uint8_t
{
    no_answer, ///< none in time, or none that can be used
    fenced     ///< the worker has received a higher fence
};

/// Result of a renewal request.
using renewal_reply = std::variant<run_listing, renewal_failure>;

/// Properties and state that a worker announces periodically.
struct worker_announcement
{
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    std::set<std::string, std::less<>> labels;
    resource_amount capacity;
    /// Whether the worker accepts new tasks.
    bool accepting = false;
    /// Minimum time until the worker leaves; empty while it does not announce its departure.
    std::optional<duration> leaves_after;
    std::int64_t clock_ms = 0;
    /// Start time of the worker process, as Unix time in milliseconds; 0 if not reported.
    std::int64_t start_time_ms = 0;
    /// Increases with each announcement of one worker process.
    std::uint64_t sequence = 0;
    /// How much longer the worker is slow after its start or an evacuation; 0 when it is not.
    std::uint32_t cold_remaining_ms = 0;
};

} // namespace tarragonlock
