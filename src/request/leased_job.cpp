#include "tarragonlock/request/leased_job.hpp"

namespace tarragonlock
{

namespace
{

/// Memory of a task in progress: its state, and its share of messages and indexes.
constexpr std::uint64_t task_bytes = 64;

} // namespace

std::uint64_t leased_job_request::memory_bytes() const
{
    std::uint64_t bytes = sizeof(*this) + id.size() + spec.size();
    for (const auto& step : steps)
        bytes += sizeof(step) + step.after.size() * sizeof(step.after[0]) +
                 step.required_label.size() + step.data_rack.size() + step.task_count * task_bytes;
    return bytes;
}

const char* to_string(leased_outcome value)
{
    switch (value)
    {
    case leased_outcome::completed:
        return "completed";
    case leased_outcome::failed:
        return "failed";
    case leased_outcome::refused:
        return "refused";
    case leased_outcome::given_up:
        return "given_up";
    }
    return "unknown";
}

const char* to_string(leased_reason value)
{
    switch (value)
    {
    case leased_reason::none:
        return "none";
    case leased_reason::no_worker:
        return "no_worker";
    case leased_reason::overloaded:
        return "overloaded";
    case leased_reason::shutting_down:
        return "shutting_down";
    case leased_reason::not_supported:
        return "not_supported";
    case leased_reason::deadline_passed:
        return "deadline_passed";
    case leased_reason::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace tarragonlock
