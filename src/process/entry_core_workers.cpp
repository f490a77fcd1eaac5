// Messages of the agents, and connections to other processes.

#include "tarragonlock/process/entry_core.hpp"

namespace tarragonlock
{

void entry_core::on_peer_connected(instant now, const std::string& peer)
{
    now_ = now;
    for (auto& [request, pending] : pending_forwards_)
        pending.connection_lost = pending.connection_lost || pending.target == peer;
}

void entry_core::on_peer_lost(instant now, const std::string& peer)
{
    now_ = now;
    directory_.on_lost(now, peer);
    for (auto& [request, pending] : pending_forwards_)
        pending.connection_lost = pending.connection_lost || pending.target == peer;
}

void entry_core::handle(instant now, const std::string& from,
                        const agent_announcement& announcement)
{
    const auto [worker, restarted] = directory_.on_announce(now, from, announcement);
    dispatcher_->on_worker_reconnected(now, worker, restarted);
    for (auto& round : recoveries_)
        round.on_worker_connected(directory_.at(worker).id);
    advance_recoveries(now);
    send_entry_status(from);
}

void entry_core::send_entry_status(const std::string& worker)
{
    const auto index = directory_.find(worker);
    const auto through = index ? directory_.at(*index).last_result_sequence : 0;
    send(worker, entry_status{config_version_, through, draining_});
}

void entry_core::handle(instant now, const std::string& from, const task_results& results)
{
    const auto worker = directory_.on_load_report(now, from, results.load);
    if (!worker || results.sequence <= directory_.at(*worker).last_result_sequence)
    {
        ++counters_.messages_wasted;
        return;
    }
    directory_.at(*worker).last_result_sequence = results.sequence;
    // When this entry does not use the reported free slots, the agent assumes that no tasks wait
    // here until it is told of a backlog again.
    if (results.load.free_slots > 0)
        directory_.at(*worker).backlog_reported = false;
    record_outcomes(now, from, results.outcomes);
    dispatcher_->on_results(now, *worker, results.outcomes);
}

void entry_core::record_outcomes(instant now, const std::string& worker,
                                 const std::vector<task_outcome>& outcomes)
{
    for (const auto& outcome : outcomes)
        registry_.add_outcome(now, worker, outcome);
}

void entry_core::handle(instant now, const std::string& from, const load_report& report)
{
    const auto worker = directory_.on_load_report(now, from, report.load);
    if (!worker)
    {
        ++counters_.messages_wasted;
        return;
    }
    // After an offer of slots that this entry does not use, the agent assumes that no tasks wait
    // here; the agent counts such offers.
    if (!std::exchange(directory_.at(*worker).backlog_reported, false))
        send_entry_status(from);
}

void entry_core::handle(instant now, const std::string& from, const query_reply& reply)
{
    const auto worker = directory_.on_load_report(now, from, reply.load);
    if (!worker)
        return;
    record_outcomes(now, from, reply.outcomes);
    dispatcher_->on_results(now, *worker, reply.outcomes);
}

void entry_core::handle(instant now, const std::string& from, const fence_reply& reply)
{
    for (auto& round : recoveries_)
        round.on_fence_reply(from, reply);
    advance_recoveries(now);
}

} // namespace tarragonlock
