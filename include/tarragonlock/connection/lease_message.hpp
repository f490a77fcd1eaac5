#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/request/job.hpp"
#include "tarragonlock/request/leased_job.hpp"
#include "tarragonlock/request/worker_eligibility.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Number of priorities that load reports distinguish; all lower priorities are counted in the
/// last one.
inline constexpr std::size_t reported_priority_count = 3;

/// First message on a channel, sent by the agent that opened it.
struct agent_hello
{
    std::string name;
    std::uint64_t incarnation = 0;
    friend bool operator==(const agent_hello&, const agent_hello&) = default;
};

/// Properties of an agent's worker; sent when they change.
struct worker_description : worker_properties
{
    /// False when there is no worker, or when it accepts no more tasks.
    bool accepting = false;
    std::string failure_domain;
    friend bool operator==(const worker_description&, const worker_description&) = default;
};

/// Condition of a worker as determined by its agent.
enum class worker_condition : std::uint8_t
{
    healthy,
    probation, ///< failed recently, and is given one task at a time
    paused     ///< failed recently or refused a start, and is given no tasks for a while
};

/// @return the name used in logs.
const char* to_string(worker_condition value);

/// Load of a worker, and a request to extend the lease under which the entry's tasks run there.
struct agent_report
{
    /// Reading of the agent's clock when the report was made; the entry returns it in
    /// lease_renewal. 0 in a report that requests no renewal.
    std::uint64_t timestamp_us = 0;
    /// Number of place_tasks messages received from this entry on this channel.
    std::uint64_t placements_received = 0;
    resource_amount free_resources;
    /// CPU requested by the queued tasks of each priority, in thousandths of a core.
    std::array<std::int64_t, reported_priority_count> queued_cpu{};
    /// Mean time for which a task occupies its resources.
    std::uint32_t mean_run_ms = 0;
    /// Ratio of run times on this worker to the declared ones, in thousandths.
    std::uint32_t slowness_millis = 1000;
    worker_condition condition = worker_condition::healthy;
    friend bool operator==(const agent_report&, const agent_report&) = default;
};

/// Extends the lease under which the entry's tasks run at an agent. The lease counts from
/// timestamp_us, which is copied from the agent's report.
struct lease_renewal
{
    std::uint64_t timestamp_us = 0;
    friend bool operator==(const lease_renewal&, const lease_renewal&) = default;
};

/// Sets the rate at which an agent reports changes of its load to the entry.
struct report_preference
{
    /// Whether to reduce the rate; set for agents outside the entry's failure domain.
    bool reduced = false;
    friend bool operator==(const report_preference&, const report_preference&) = default;
};

/// One of the tasks of a place_tasks message.
struct placed_task
{
    std::uint32_t index = 0;
    /// Sequence number of this placement among the entry's placements of the task.
    std::uint32_t attempt = 0;
    friend bool operator==(const placed_task&, const placed_task&) = default;
};

/// Requests that an agent runs tasks of one step of a job.
struct place_tasks
{
    std::string job;
    std::string spec;
    std::uint32_t step = 0;
    resource_amount demand;
    std::uint32_t declared_ms = 0;
    std::uint32_t priority = 0;
    /// Time after receipt within which the tasks may be started.
    std::uint32_t start_within_ms = 0;
    /// Time after receipt for which the caller waits for the job.
    std::uint32_t caller_waits_ms = 0;
    std::vector<placed_task> tasks;
    friend bool operator==(const place_tasks&, const place_tasks&) = default;
};

/// Stops all running tasks of a job and discards the queued ones.
struct withdraw_job
{
    std::string job;
    friend bool operator==(const withdraw_job&, const withdraw_job&) = default;
};

/// Asks an agent to return the tasks of a job that wait there. The agent reports each of them as
/// not started, and then sends job_taken_back; tasks that it has started go on.
struct take_back_job
{
    std::string job;
    friend bool operator==(const take_back_job&, const take_back_job&) = default;
};

/// Answer to take_back_job; follows the reports of the tasks that were returned.
struct job_taken_back
{
    std::string job;
    friend bool operator==(const job_taken_back&, const job_taken_back&) = default;
};

enum class task_end_kind : std::uint8_t
{
    done,
    failed,
    not_started, ///< was never sent to the worker
    stopped      ///< ended without a result, and no part of it is running any more
};

/// @return the name used in logs.
const char* to_string(task_end_kind value);

struct task_end
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    task_end_kind kind = task_end_kind::done;
    std::uint32_t run_ms = 0;
    friend bool operator==(const task_end&, const task_end&) = default;
};

/// Announces the version of the configuration that a process has. Documents are large, so they are
/// sent only on request.
struct configuration_notice
{
    std::uint64_t version = 0;
    friend bool operator==(const configuration_notice&, const configuration_notice&) = default;
};

/// Requests the configuration announced in a configuration_notice.
struct configuration_request
{
    friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

/// A copy of the operators' configuration, so that a process that starts while the key-value
/// service is unavailable can obtain it.
struct configuration_copy
{
    std::uint64_t version = 0;
    std::string document;
    friend bool operator==(const configuration_copy&, const configuration_copy&) = default;
};

/// The failure domains that the operators have evacuated, as of a revision of the key-value
/// service. Sent by entries and agents to a peer that has other ones of an earlier revision.
struct evacuated_domains
{
    std::int64_t revision = 0;
    std::vector<std::string> failure_domains;
    friend bool operator==(const evacuated_domains&, const evacuated_domains&) = default;
};

using lease_message = std::variant<agent_hello, worker_description, agent_report, lease_renewal,
                                   place_tasks, withdraw_job, task_end, configuration_notice,
                                   configuration_request, configuration_copy, report_preference,
                                   evacuated_domains, take_back_job, job_taken_back>;

/// Messages that are sent together.
using lease_frame = std::vector<lease_message>;
/// Most messages of a frame. Decoded, a message occupies many times its shortest encoding.
inline constexpr std::size_t max_frame_messages = 512;

/// @param frame  of at most max_frame_messages
/// @return the frame in cereal's binary format, or codec_error::oversized
result<std::string> encode_frame(const lease_frame& frame);
/// @param bytes  one whole frame from a peer; not trusted
/// @return the frame, or a codec_error; does not throw on malformed input
result<lease_frame> decode_frame(std::string_view bytes);

} // namespace tarragonlock
