#pragma once

#include "tarragonlock/common/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Resources of a worker, or the part of them that a task occupies.
struct resource_amount
{
    /// CPU, in thousandths of a core.
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    /// @return whether this amount is available in the free resources.
    bool fits_into(const resource_amount& free) const
    {
        return cpu_millis <= free.cpu_millis && memory_mb <= free.memory_mb &&
               accelerators <= free.accelerators;
    }
    resource_amount& operator+=(const resource_amount& other)
    {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resource_amount& operator-=(const resource_amount& other)
    {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    friend bool operator==(const resource_amount&, const resource_amount&) = default;
};

/// Group of tasks of a job that have the same requirements.
struct job_step
{
    std::uint32_t task_count = 0;
    /// Resources that each task occupies.
    resource_amount demand;
    /// Declared run time of a task on an average worker; a hint that may be far off.
    std::uint32_t declared_ms = 0;
    /// Positions of earlier steps whose tasks must all be done before this step starts.
    std::vector<std::uint32_t> after;
    /// Label that a worker must have; empty when none is required.
    std::string required_label;
    /// Rack where the step's data is stored; empty when the location does not matter.
    std::string data_rack;
    /// Most tasks of the step on one worker; 0 when there is no limit.
    std::uint32_t max_per_worker = 0;

    friend bool operator==(const job_step&, const job_step&) = default;
};

/// A job whose tasks run under execution leases. It is stored only in the entry that accepted it,
/// and may be run again from the start when its caller did not receive the answer.
struct leased_job_request
{
    std::string id;
    /// Instructions for the tasks; opaque to the dispatcher.
    std::string spec;
    std::vector<job_step> steps;
    /// Time from the arrival of the request for which the caller waits.
    std::uint32_t deadline_ms = 0;
    /// Time for which the request may have waited to be read, which counts against deadline_ms.
    duration unread_for{};

    /// @return estimate of the memory that the job and its tasks occupy while it is in progress.
    std::uint64_t memory_bytes() const;
    friend bool operator==(const leased_job_request&, const leased_job_request&) = default;
};

/// How a leased job ended for its caller.
enum class leased_outcome : std::uint8_t
{
    completed, ///< every task is done
    failed,    ///< a task used up the attempts that its queue allows
    refused,   ///< not run; no task was started
    given_up   ///< tasks may have run; all of them were sent a stop
};

/// Why a job was refused or given up.
enum class leased_reason : std::uint8_t
{
    none,
    no_worker,       ///< no known worker may run it
    overloaded,      ///< could not end in time
    shutting_down,   ///< this entry is shutting down
    not_supported,   ///< asks for something that is not implemented
    deadline_passed, ///< the caller no longer waits
    cancelled
};

/// @return the name used in logs, such as "overloaded".
const char* to_string(leased_outcome value);
const char* to_string(leased_reason value);

/// Reply to the caller of a leased job.
struct leased_answer
{
    leased_outcome outcome = leased_outcome::completed;
    leased_reason reason = leased_reason::none;
    /// Time after which a retry may succeed; only for refused jobs.
    std::uint32_t retry_after_ms = 0;

    friend bool operator==(const leased_answer&, const leased_answer&) = default;
};

} // namespace tarragonlock
