#include "tarragonlock/connection/codec.hpp"

#include "connection/value_codec.hpp"

namespace tarragonlock
{

namespace
{

class codec_category : public std::error_category
{
public:
    const char* name() const noexcept override { return "tarragonlock.codec"; }
    std::string message(int value) const override
    {
        switch (static_cast<codec_error>(value))
        {
        case codec_error::truncated:
            return "message is truncated";
        case codec_error::unknown_type:
            return "message type is unknown";
        case codec_error::unknown_version:
            return "message version is unknown";
        case codec_error::oversized:
            return "message is too long";
        case codec_error::trailing_bytes:
            return "bytes follow the message";
        }
        return "unknown codec error";
    }
};

} // namespace

std::error_code make_error_code(codec_error error)
{
    static const codec_category category;
    return {static_cast<int>(error), category};
}

checked_enum<outcome> checked(outcome& value)
{
    return {value, outcome::unknown};
}
checked_enum<reason> checked(reason& value)
{
    return {value, reason::id_expired};
}
checked_enum<task_status> checked(task_status& value)
{
    return {value, task_status::running};
}

// Serialized fields of each type, in the order of declaration. Any change needs a new
// message_version.
#define TARRAGONLOCK_FIELDS(type, ...)                                                             \
    template<class Archive>                                                                        \
    void serialize(Archive& archive, type& v)                                                      \
    {                                                                                              \
        archive(__VA_ARGS__);                                                                      \
    }

TARRAGONLOCK_FIELDS(process_identity, v.name, v.incarnation)
TARRAGONLOCK_FIELDS(hello, v.process, v.address)
TARRAGONLOCK_FIELDS(task_attempt, v.job, v.index, v.attempt)
TARRAGONLOCK_FIELDS(shard_epoch, v.shard, v.epoch)
TARRAGONLOCK_FIELDS(shard_owner, v.name, v.incarnation, v.epoch)
TARRAGONLOCK_FIELDS(shard_table, v.version, v.created_ms, v.owners)
TARRAGONLOCK_FIELDS(task_input, v.body, v.declared_ms)
TARRAGONLOCK_FIELDS(submission, v.id, v.service, v.team, v.labels, v.tasks, v.deadline_ms,
                    v.idempotent)
TARRAGONLOCK_FIELDS(answer, v.id, checked(v.outcome), checked(v.reason), v.results,
                    v.retry_after_ms)
TARRAGONLOCK_FIELDS(entry_heartbeat, v.sequence, v.incarnation, v.table_version, v.config_version,
                    v.leaving)
TARRAGONLOCK_FIELDS(entry_heartbeat_ack, v.sequence, v.incarnation, v.table_version, v.refused,
                    v.older_leases_expired)
TARRAGONLOCK_FIELDS(worker_list_request, v.request)
TARRAGONLOCK_FIELDS(worker_list_reply, v.request, v.collecting_for_ms, v.workers)
TARRAGONLOCK_FIELDS(table_update, v.table)
TARRAGONLOCK_FIELDS(config_update, v.version, v.document)
TARRAGONLOCK_FIELDS(forward_submit, v.request, v.job)
TARRAGONLOCK_FIELDS(forward_answer, v.request, v.pending, v.reply)
TARRAGONLOCK_FIELDS(forward_control, v.request, v.job, v.query, v.wait_ms)
TARRAGONLOCK_FIELDS(job_record, v.id, v.digest, v.finished, v.reply)
TARRAGONLOCK_FIELDS(shard_handover, v.table_version, v.shards, v.records_complete_since_ms,
                    v.records)
TARRAGONLOCK_FIELDS(task_start, v.index, v.attempt, v.body, v.expected_ms)
TARRAGONLOCK_FIELDS(backlog, v.tasks, v.team, v.weight)
TARRAGONLOCK_FIELDS(start_tasks, v.job, v.service, v.team, v.digest, v.task_count, v.shard, v.epoch,
                    v.config_version, v.grant_timestamp_ms, v.deadline_ms, v.waiting, v.tasks)
TARRAGONLOCK_FIELDS(slot_request, v.service, v.waiting)
TARRAGONLOCK_FIELDS(cancel_jobs, v.jobs)
TARRAGONLOCK_FIELDS(query_tasks, v.tasks)
TARRAGONLOCK_FIELDS(fence_shards, v.request, v.shards)
TARRAGONLOCK_FIELDS(entry_status, v.config_version, v.last_result_sequence, v.leaving)
TARRAGONLOCK_FIELDS(worker_load, v.free_slots, v.queued, v.grant_timestamp_ms, v.tasks_received,
                    v.consecutive_failures, v.config_version, v.log_slowness)
TARRAGONLOCK_FIELDS(agent_announcement, v.incarnation, v.service, v.labels, v.failure_domain,
                    v.slots, v.leaving, v.load)
TARRAGONLOCK_FIELDS(task_outcome, v.job, v.index, v.attempt, checked(v.status), v.run_ms, v.body)
TARRAGONLOCK_FIELDS(task_results, v.sequence, v.outcomes, v.load)
TARRAGONLOCK_FIELDS(load_report, v.incarnation, v.load)
TARRAGONLOCK_FIELDS(query_reply, v.outcomes, v.load)
TARRAGONLOCK_FIELDS(start_record, v.job, v.digest, v.task_count, v.tasks)
TARRAGONLOCK_FIELDS(fence_reply, v.request, v.incarnation, v.last, v.records)

#undef TARRAGONLOCK_FIELDS

result<std::string> encode(const message& value)
{
    auto bytes = encode_value(value, message_version);
    if (bytes.size() > max_message_bytes)
        return make_error_code(codec_error::oversized);
    return bytes;
}

result<message> decode(std::string_view bytes)
{
    return decode_value<message>(bytes, message_version);
}

std::string encode_table(const shard_table& table)
{
    return encode_value(table, table_version);
}

result<shard_table> decode_table(std::string_view bytes)
{
    return decode_value<shard_table>(bytes, table_version);
}

std::string encode_hello(const hello& value)
{
    return encode_value(value, message_version);
}

result<hello> decode_hello(std::string_view bytes)
{
    return decode_value<hello>(bytes, message_version);
}

} // namespace tarragonlock
