#include "tarragonlock/connection/lease_message.hpp"

#include "connection/value_codec.hpp"
#include "tarragonlock/version/evacuation_state.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Version of the layout of frames between entries and agents of leased jobs.
constexpr std::uint8_t lease_frame_version = 6;
/// Longest frame, in bytes; large enough for a configuration of a megabyte.
constexpr std::size_t max_frame_bytes = 4U << 20U;

checked_enum<task_end_kind> checked(task_end_kind& value)
{
    return {value, task_end_kind::stopped};
}

checked_enum<worker_condition> checked(worker_condition& value)
{
    return {value, worker_condition::paused};
}

} // namespace

// Serialized fields of each type, in the order of declaration. Any change needs a new
// lease_frame_version.
#define TARRAGONLOCK_FIELDS(type, ...)                                                             \
    template<class Archive>                                                                        \
    void serialize(Archive& archive, type& v)                                                      \
    {                                                                                              \
        archive(__VA_ARGS__);                                                                      \
    }

TARRAGONLOCK_FIELDS(resource_amount, v.cpu_millis, v.memory_mb, v.accelerators)
TARRAGONLOCK_FIELDS(agent_hello, v.name, v.incarnation)
TARRAGONLOCK_FIELDS(worker_description, v.attributes, v.labels, v.capacity, v.accepting,
                    v.failure_domain)
TARRAGONLOCK_FIELDS(agent_report, v.timestamp_us, v.placements_received, v.free_resources,
                    v.queued_cpu, v.mean_run_ms, v.slowness_millis, checked(v.condition))
TARRAGONLOCK_FIELDS(lease_renewal, v.timestamp_us)
TARRAGONLOCK_FIELDS(report_preference, v.reduced)
TARRAGONLOCK_FIELDS(placed_task, v.index, v.attempt)
TARRAGONLOCK_FIELDS(place_tasks, v.job, v.spec, v.step, v.demand, v.declared_ms, v.priority,
                    v.start_within_ms, v.caller_waits_ms, v.tasks)
TARRAGONLOCK_FIELDS(withdraw_job, v.job)
TARRAGONLOCK_FIELDS(take_back_job, v.job)
TARRAGONLOCK_FIELDS(job_taken_back, v.job)
TARRAGONLOCK_FIELDS(task_end, v.job, v.step, v.index, v.attempt, checked(v.kind), v.run_ms)
TARRAGONLOCK_FIELDS(configuration_notice, v.version)
TARRAGONLOCK_FIELDS(configuration_copy, v.version, v.document)

#undef TARRAGONLOCK_FIELDS

/// Serializes a list that has a bound. When it is decoded, nothing is allocated for a longer one.
/// @throws value_out_of_range  when a longer list is decoded
template<class Archive, class T>
void serialize_bounded(Archive& archive, std::vector<T>& list, std::size_t max_size)
{
    cereal::size_type size = list.size();
    archive(cereal::make_size_tag(size));
    if (Archive::is_loading::value && size > max_size)
        throw value_out_of_range();
    list.resize(static_cast<std::size_t>(size));
    for (auto& each : list)
        archive(each);
}

template<class Archive>
void serialize(Archive& archive, evacuated_domains& v)
{
    archive(v.revision);
    serialize_bounded(archive, v.failure_domains, max_evacuated_domains);
    if (!Archive::is_loading::value)
        return;
    if (std::any_of(v.failure_domains.begin(), v.failure_domains.end(),
                    [](const std::string& name)
                    { return name.empty() || name.size() > max_failure_domain_length; }))
        throw value_out_of_range();
}

template<class Archive>
void serialize(Archive&, configuration_request&)
{
}

namespace
{

/// A frame as it is encoded.
struct frame_content
{
    lease_frame messages;

    template<class Archive>
    void serialize(Archive& archive)
    {
        serialize_bounded(archive, messages, max_frame_messages);
    }
};

} // namespace

const char* to_string(task_end_kind value)
{
    switch (value)
    {
    case task_end_kind::done:
        return "done";
    case task_end_kind::failed:
        return "failed";
    case task_end_kind::not_started:
        return "not_started";
    case task_end_kind::stopped:
        return "stopped";
    }
    return "unknown";
}

const char* to_string(worker_condition value)
{
    switch (value)
    {
    case worker_condition::healthy:
        return "sound";
    case worker_condition::probation:
        return "on_trial";
    case worker_condition::paused:
        return "resting";
    }
    return "unknown";
}

result<std::string> encode_frame(const lease_frame& frame)
{
    if (frame.size() > max_frame_messages)
        return make_error_code(codec_error::oversized);
    auto bytes = encode_value(frame_content{frame}, lease_frame_version);
    if (bytes.size() > max_frame_bytes)
        return make_error_code(codec_error::oversized);
    return bytes;
}

result<lease_frame> decode_frame(std::string_view bytes)
{
    auto content = decode_value<frame_content>(bytes, lease_frame_version);
    if (!content)
        return content.error();
    return std::move(content.value().messages);
}

} // namespace tarragonlock
