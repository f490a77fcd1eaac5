#include "tarragonlock/connection/message.hpp"

namespace tarragonlock
{

std::string_view message_name(std::size_t type)
{
    // In the order of the alternatives of message. Metrics use these names as labels, so they stay
    // when a type is renamed.
    static constexpr std::array<std::string_view, std::variant_size_v<message>> names{
        "entry_beat",      "entry_beat_ack", "worker_list_request", "worker_list_reply",
        "table_update",    "config_update",  "forward_submit",      "forward_answer",
        "forward_control", "handover",       "start_tasks",         "slot_request",
        "cancel_jobs",     "query_tasks",    "fence_shards",        "entry_status",
        "announce",        "task_results",   "load_report",         "query_reply",
        "fence_reply"};
    return names.at(type);
}

} // namespace tarragonlock
