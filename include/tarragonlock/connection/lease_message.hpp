#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/request/job.hpp"
#include "tarragonlock/request/leased_job.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Priorities that load reports tell apart; all lower priorities share the last one.
inline constexpr std::size_t reported_priority_count = 3;

/// First message on a channel, from the agent that opened it.
struct agent_hello
{
    std::string name;
    std::uint64_t incarnation = 0;
    friend bool operator==(const agent_hello&, const agent_hello&) = default;
};

/// What an agent's worker is; sent when it changes.
struct worker_description
{
    /// False when there is no worker, or when it takes no more tasks.
    bool accepting = false;
    std::string failure_domain;
    label_set labels;
    resource_amount capacity;
    friend bool operator==(const worker_description&, const worker_description&) = default;
};

/// What an agent thinks of its worker.
enum class worker_condition : std::uint8_t
{
    healthy,
    probation, ///< has failed of late, and gets one task at a time
    paused     ///< has failed of late, and gets nothing for a while
};

/// @return the name that logs use.
const char* to_string(worker_condition value);

/// Load of a worker, and a request to extend the entry's lease on its tasks there.
struct agent_report
{
    /// Agent's clock when the report was made; the entry sends it back.
    std::uint64_t timestamp_us = 0;
    /// Placements received from this entry on this channel.
    std::uint64_t placements_received = 0;
    resource_amount free_resources;
    /// Processor that waiting tasks of each priority ask for, in thousandths of a core.
    std::array<std::int64_t, reported_priority_count> queued_cpu{};
    /// Mean time for which a task holds its resources.
    std::uint32_t mean_run_ms = 0;
    /// Run times here over declared ones, in thousandths.
    std::uint32_t slowness_millis = 1000;
    worker_condition condition = worker_condition::healthy;
    friend bool operator==(const agent_report&, const agent_report&) = default;
};

/// Extends the entry's lease on its tasks at an agent, counted from the report's stamp.
struct lease_renewal
{
    std::uint64_t timestamp_us = 0;
    friend bool operator==(const lease_renewal&, const lease_renewal&) = default;
};

/// One of the tasks that are placed together.
struct placed_task
{
    std::uint32_t index = 0;
    /// Numbers the entry's placements of this task.
    std::uint32_t attempt = 0;
    friend bool operator==(const placed_task&, const placed_task&) = default;
};

/// Asks an agent to run tasks of one step.
struct place_tasks
{
    std::string job;
    std::string spec;
    std::uint32_t step = 0;
    resource_amount demand;
    std::uint32_t estimate_ms = 0;
    std::uint32_t priority = 0;
    /// Time from receipt after which the tasks are not to be started any more.
    std::uint32_t start_within_ms = 0;
    std::vector<placed_task> tasks;
    friend bool operator==(const place_tasks&, const place_tasks&) = default;
};

/// Stops all tasks of a job and forgets those that wait.
struct withdraw_job
{
    std::string job;
    friend bool operator==(const withdraw_job&, const withdraw_job&) = default;
};

enum class task_end_kind : std::uint8_t
{
    done,
    failed,
    not_started, ///< was never given to the worker
    stopped      ///< ended without result, and nothing of it runs any more
};

/// @return the name that logs use.
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

/// Tells which configuration a process has. Documents are large, so they go only to those that ask.
struct configuration_notice
{
    std::uint64_t version = 0;
    friend bool operator==(const configuration_notice&, const configuration_notice&) = default;
};

/// Asks for the configuration that a notice told of.
struct configuration_request
{
    friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

/// A copy of the operators' configuration, so that a process that starts while the key-value
/// service is away has one.
struct configuration_copy
{
    std::uint64_t version = 0;
    std::string document;
    friend bool operator==(const configuration_copy&, const configuration_copy&) = default;
};

using lease_message = std::variant<agent_hello, worker_description, agent_report, lease_renewal,
                                   place_tasks, withdraw_job, task_end, configuration_notice,
                                   configuration_request, configuration_copy>;

/// Messages that travel together.
using lease_frame = std::vector<lease_message>;

/// @return the frame's bytes in cereal's format, or codec_error::oversized
result<std::string> encode_frame(const lease_frame& frame);
/// @param bytes  one whole frame from a peer; not trusted
/// @return the frame, or a codec_error; never throws on bad bytes
result<lease_frame> decode_frame(std::string_view bytes);

} // namespace tarragonlock
