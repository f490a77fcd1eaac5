#include "tarragonlock/process/task_host.hpp"

#include "tarragonlock/common/log.hpp"

namespace tarragonlock
{

void task_host::handle(instant now, channel_id, const configuration_copy& copy)
{
    configuration_.store_if_newer(now, copy);
}

void task_host::handle(instant now, channel_id channel, const configuration_notice& notice)
{
    configuration_.on_notice(channel, notice.version);
    request_configuration(now);
}

void task_host::handle(instant, channel_id channel, const configuration_request&)
{
    if (auto requested = configuration_.copy_for(channel))
        effects_.emplace_back(to_entry{channel, std::move(*requested)});
}

void task_host::request_configuration(instant now)
{
    if (const auto peer = configuration_.next_peer_to_ask(now))
        effects_.emplace_back(to_entry{*peer, configuration_request{}});
}

void task_host::notify_entries_of_configuration(instant now)
{
    for (const auto channel : configuration_.take_peers_to_notify(now))
        effects_.emplace_back(to_entry{channel, configuration_notice{configuration().version}});
}

bool task_host::in_evacuated_domain() const
{
    return worker_ && evacuations_.current().contains(worker_->failure_domain);
}

void task_host::handle(instant now, channel_id channel, const evacuated_domains& copy)
{
    if (!options_.mechanisms.heed_evacuations)
        return;
    const bool changed = evacuations_.on_copy(now, channel, copy);
    inform_entries_of_evacuations(now);
    if (!changed)
        return;
    if (in_evacuated_domain())
    {
        counters_.returned_for_evacuation += waiting();
        return_waiting_tasks(now);
    }
    send_description_if_changed(now);
    start_waiting_tasks(now);
}

void task_host::inform_entries_of_evacuations(instant now)
{
    for (auto& [channel, message] : evacuations_.take_messages(now))
        effects_.emplace_back(to_entry{channel, std::move(message)});
}

} // namespace tarragonlock
