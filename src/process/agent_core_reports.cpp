// Messages from an agent to the entries: results, slot offers, announcements and load reports.

#include "tarragonlock/process/agent_core.hpp"

#include <algorithm>

namespace tarragonlock
{

std::uint64_t agent_core::agent_clock_ms(instant now)
{
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

void agent_core::queue_outcome(instant now, const std::string& entry, task_outcome outcome)
{
    auto& state = entries_[entry];
    if (state.unsent_outcomes.empty())
        state.unsent_since = now;
    state.unsent_outcomes.push_back(std::move(outcome));
}

bool agent_core::has_running_tasks(const std::string& job) const
{
    const auto prefix = job + '/';
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto& task)
                       { return task.first.compare(0, prefix.size(), prefix) == 0; });
}

/// Sends results at once when the entry has a backlog for the freed slot or no other task of the
/// job runs on this worker; otherwise holds them for up to max_result_delay, so that several
/// results share a message.
void agent_core::send_outcomes(instant now, const std::string& entry, bool immediately)
{
    auto& state = entries_[entry];
    if (state.unsent_outcomes.empty() || !state.connected)
        return;
    const bool urgent = immediately || state.reported_backlog.tasks > 0 ||
                        now - state.unsent_since >= options_.max_result_delay ||
                        !has_running_tasks(state.unsent_outcomes.back().job);
    if (!urgent)
        return;
    task_results results{++state.result_sequence, std::move(state.unsent_outcomes),
                         load_for(now, state)};
    state.unsent_outcomes.clear();
    state.unacknowledged_results.push_back(results);
    send(now, entry, std::move(results));
}

/// Offers free slots to entries that reported a backlog, one entry at a time.
void agent_core::offer_slots(instant now)
{
    while (accepting())
    {
        std::uint32_t offered = 0;
        entry_state* selected = nullptr;
        const std::string* name = nullptr;
        for (auto& [entry, state] : entries_)
        {
            if (state.offered_slots > 0 && state.offer_expires_at <= now)
            {
                // The offer expired unused, so the backlog that it answered is taken as empty. A
                // backlog reported after the offer was made still counts.
                ++counters_.offers_unused;
                state.offered_slots = 0;
                if (state.backlog_reported_at <= state.offer_expires_at - options_.offer_lifetime)
                    state.reported_backlog = {};
            }
            offered += state.offered_slots;
            if (!state.connected || state.reported_backlog.tasks == 0 || state.offered_slots > 0)
                continue;
            if (selected == nullptr || offer_rank(state) < offer_rank(*selected))
            {
                selected = &state;
                name = &entry;
            }
        }
        if (selected == nullptr || free_slots() <= offered)
            return;
        selected->offered_slots =
            std::min(free_slots() - offered, selected->reported_backlog.tasks);
        selected->offer_expires_at = now + options_.offer_lifetime;
        if (selected->unsent_outcomes.empty())
            send(now, *name, load_report{options_.incarnation, load_for(now, *selected)});
        else
            send_outcomes(now, *name, true);
    }
}

/// Ranks entries by the slots of this worker that the team of their next task uses, divided by the
/// team's weight. Tasks of all entries count, so that teams share the fleet without a count that
/// entries would have to agree on. Ties go to the entry with the fewest running tasks here.
std::pair<double, std::uint32_t> agent_core::offer_rank(const entry_state& entry) const
{
    const auto team = running_by_team_.find(entry.reported_backlog.team);
    const double used = team == running_by_team_.end() ? 0.0 : team->second;
    const double weight = entry.reported_backlog.weight > 0.0 ? entry.reported_backlog.weight : 1.0;
    return {used / weight, entry.running};
}

std::uint32_t agent_core::free_slots() const
{
    if (!accepting())
        return 0;
    const auto used = static_cast<std::uint32_t>(running_.size()) + queued_;
    return used >= backend_.slots ? 0 : backend_.slots - used;
}

std::uint32_t agent_core::offered_to_others(instant now, const entry_state& entry)
{
    std::uint32_t offered = 0;
    for (const auto& [name, state] : entries_)
    {
        if (&state != &entry && state.offer_expires_at > now)
            offered += state.offered_slots;
    }
    return offered;
}

worker_load agent_core::load_for(instant now, entry_state& entry)
{
    const auto reserved = offered_to_others(now, entry);
    const auto available = free_slots();
    return {available > reserved ? available - reserved : 0,
            queued_,
            agent_clock_ms(now),
            entry.tasks_received,
            consecutive_failures_,
            config_version_,
            speed_.log_slowness()};
}

void agent_core::announce_to(instant now, const std::string& entry)
{
    auto& state = entries_[entry];
    if (!state.connected || backend_.service.empty())
        return;
    agent_announcement announcement;
    announcement.incarnation = options_.incarnation;
    announcement.service = backend_.service;
    announcement.labels = options_.labels;
    announcement.labels.insert(backend_.labels.begin(), backend_.labels.end());
    // What the system knows goes before labels of the same name.
    announcement.labels.insert_or_assign("service", backend_.service);
    announcement.labels.insert_or_assign("worker", options_.name);
    announcement.labels.insert_or_assign("failure_domain", options_.failure_domain);
    announcement.failure_domain = options_.failure_domain;
    announcement.slots = backend_.slots;
    announcement.leaving = !accepting();
    announcement.load = load_for(now, state);
    send(now, entry, std::move(announcement));
}

void agent_core::announce_to_all(instant now)
{
    for (const auto& [entry, state] : entries_)
        announce_to(now, entry);
}

/// Sends the load to every entry at once: an entry that learned of failures only from its own
/// results would lose as many tasks as the others did.
void agent_core::broadcast_load(instant now)
{
    for (auto& [entry, state] : entries_)
    {
        if (state.connected)
            send(now, entry, load_report{options_.incarnation, load_for(now, state)});
    }
}

void agent_core::update_config_version(std::uint64_t version)
{
    config_version_ = std::max(config_version_, version);
}

void agent_core::on_tick(instant now)
{
    records_.expire(now);
    if (backend_present_ && now - last_announcement_ > options_.announcement_lifetime)
        on_backend_leaving(now);
    offer_slots(now);
    for (auto& [entry, state] : entries_)
    {
        send_outcomes(now, entry, false);
        if (state.connected && now - state.last_sent >= options_.heartbeat_interval)
            send(now, entry, load_report{options_.incarnation, load_for(now, state)});
    }
}

bool agent_core::idle() const
{
    return running_.empty() && queued_ == 0 &&
           std::all_of(entries_.begin(), entries_.end(),
                       [](const auto& entry)
                       { return entry.second.unsent_outcomes.empty() || !entry.second.connected; });
}

void agent_core::send(instant now, const std::string& entry, message body)
{
    entries_[entry].last_sent = now;
    ++counters_.messages_sent;
    ++counters_.sent_by_type.at(body.index());
    effects_.emplace_back(outgoing_message{entry, std::move(body)});
}

std::vector<agent_effect> agent_core::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace tarragonlock
