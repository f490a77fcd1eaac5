#pragma once

#include "tarragonlock/common/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock
{

/// Labels of work, of a service or of a worker.
using label_set = std::map<std::string, std::string, std::less<>>;

/// Most tasks that one job may hold.
inline constexpr std::size_t max_tasks_per_job = 180;
/// Longest job identifier, in bytes.
inline constexpr std::size_t max_job_id_length = 96;
/// Longest deadline a caller may ask for.
inline constexpr auto max_deadline = std::chrono::minutes(10);

/// One task of a job, as the caller wrote it.
struct task_input
{
    std::string body;
    /// Run time the caller declared; 0 when none. A hint that may be far off.
    std::uint32_t declared_ms = 0;

    friend bool operator==(const task_input&, const task_input&) = default;
};

/// A job as submitted by a caller.
struct submission
{
    std::string id;
    std::string service;
    std::string team;
    label_set labels;
    std::vector<task_input> tasks;
    /// Time from receipt within which the caller can use the answer.
    std::uint32_t deadline_ms = 0;
    /// Whether a task may be started more than once.
    bool idempotent = false;

    friend bool operator==(const submission&, const submission&) = default;
};

/// The four outcomes that a caller can see.
enum class outcome : std::uint8_t
{
    complete, ///< every task ran and every result is in the answer
    failed,   ///< the job ended without all results; tasks may have run
    refused,  ///< not run
    unknown   ///< may have run; the outcome is not known
};

/// Why a job was not completed.
enum class reason : std::uint8_t
{
    none,
    invalid_request,
    unauthorized,
    unknown_service,
    no_matching_worker,
    id_conflict,
    unknown_id,
    queue_full,
    quota_exceeded,
    deadline_unreachable,
    deadline_passed,
    cancelled,
    task_failed,
    worker_lost,
    not_ready,
    owner_unreachable,
    records_lost,
    id_expired
};

/// @return the name used in the API, such as "queue_full".
std::string_view to_string(reason value);
/// @return the name used in the API, such as "complete".
std::string_view to_string(outcome value);

/// Reply to a caller about a job.
struct answer
{
    std::string id;
    tarragonlock::outcome outcome = outcome::unknown;
    tarragonlock::reason reason = reason::none;
    /// Results in task order; filled only for outcome::complete.
    std::vector<std::string> results;
    /// Time after which a retry may succeed; 0 when a retry cannot help.
    std::uint32_t retry_after_ms = 0;

    friend bool operator==(const answer&, const answer&) = default;
};

/// @return a hash of what a submission asks for, without its id; equal on every process.
std::uint64_t digest_of(const submission& job);

} // namespace tarragonlock
