// What an agent tells the entries: results, offers of free slots, announcements, loads.

#include "tarragonlock/process/agent_core.hpp"

#include <algorithm>

namespace tarragonlock
{

std::uint64_t agent_core::grant_stamp(instant now)
{
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

void agent_core::report(instant now, const std::string& entry, task_outcome outcome)
{
    auto& view = entries_[entry];
    if (view.outbox.empty())
        view.outbox_since = now;
    view.outbox.push_back(std::move(outcome));
}

bool agent_core::more_of_job(const std::string& job) const
{
    const auto prefix = job + '/';
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto& task)
                       { return task.first.compare(0, prefix.size(), prefix) == 0; });
}

/// Results travel at once when the entry can use the slot or the job may be over here; others wait
/// shortly for company.
void agent_core::flush(instant now, const std::string& entry, bool all)
{
    auto& view = entries_[entry];
    if (view.outbox.empty() || !view.connected)
        return;
    const bool urgent = all || view.waiting.tasks > 0 ||
                        now - view.outbox_since >= options_.result_delay ||
                        !more_of_job(view.outbox.back().job);
    if (!urgent)
        return;
    task_results results{++view.result_sequence, std::move(view.outbox), load_for(now, view)};
    view.outbox.clear();
    view.unacknowledged.push_back(results);
    send(now, entry, std::move(results));
}

/// Offers free slots to entries that said they have tasks waiting, one entry at a time.
void agent_core::offer_slots(instant now)
{
    while (accepting())
    {
        std::uint32_t offered = 0;
        entry_view* hungriest = nullptr;
        const std::string* name = nullptr;
        for (auto& [entry, view] : entries_)
        {
            if (view.offered > 0 && view.offer_expires <= now)
            {
                // The entry had no use for the offer, so it counts as satisfied until it asks
                // again, as it may have done since.
                ++counters_.offers_unused;
                view.offered = 0;
                if (view.waiting_told <= view.offer_expires - options_.offer_lifetime)
                    view.waiting = {};
            }
            offered += view.offered;
            if (!view.connected || view.waiting.tasks == 0 || view.offered > 0)
                continue;
            if (hungriest == nullptr || claim(view) < claim(*hungriest))
            {
                hungriest = &view;
                name = &entry;
            }
        }
        if (hungriest == nullptr || free_slots() <= offered)
            return;
        hungriest->offered = std::min(free_slots() - offered, hungriest->waiting.tasks);
        hungriest->offer_expires = now + options_.offer_lifetime;
        if (hungriest->outbox.empty())
            send(now, *name, load_report{options_.incarnation, load_for(now, *hungriest)});
        else
            flush(now, *name, true);
    }
}

/// The team that uses the fewest slots here for its weight goes first, whichever entry its tasks
/// wait at, so that teams share the fleet without a count that entries would have to agree on.
std::pair<double, std::uint32_t> agent_core::claim(const entry_view& entry) const
{
    const auto team = running_of_team_.find(entry.waiting.team);
    const double used = team == running_of_team_.end() ? 0.0 : team->second;
    const double weight = entry.waiting.weight > 0.0 ? entry.waiting.weight : 1.0;
    return {used / weight, entry.running};
}

std::uint32_t agent_core::free_slots() const
{
    if (!accepting())
        return 0;
    const auto used = static_cast<std::uint32_t>(running_.size()) + queued_;
    return used >= backend_.slots ? 0 : backend_.slots - used;
}

std::uint32_t agent_core::offered_to_others(instant now, const entry_view& entry)
{
    std::uint32_t offered = 0;
    for (const auto& [name, view] : entries_)
    {
        if (&view != &entry && view.offer_expires > now)
            offered += view.offered;
    }
    return offered;
}

worker_load agent_core::load_for(instant now, entry_view& entry)
{
    const auto others = offered_to_others(now, entry);
    const auto open = free_slots();
    return {open > others ? open - others : 0,
            queued_,
            grant_stamp(now),
            entry.tasks_received,
            consecutive_failures_,
            config_version_,
            speed_.log_slowness()};
}

void agent_core::announce_to(instant now, const std::string& entry)
{
    auto& view = entries_[entry];
    if (!view.connected || backend_.service.empty())
        return;
    announce notice;
    notice.incarnation = options_.incarnation;
    notice.service = backend_.service;
    notice.labels = options_.labels;
    notice.labels.insert(backend_.labels.begin(), backend_.labels.end());
    notice.labels.insert_or_assign("worker", options_.name);
    notice.labels.insert_or_assign("failure_domain", options_.failure_domain);
    notice.failure_domain = options_.failure_domain;
    notice.slots = backend_.slots;
    notice.leaving = !accepting();
    notice.load = load_for(now, view);
    send(now, entry, std::move(notice));
}

void agent_core::announce_to_all(instant now)
{
    for (const auto& [entry, view] : entries_)
        announce_to(now, entry);
}

/// Tells every entry at once, because one that hears of failures only with its own results would
/// lose as many tasks as the others did.
void agent_core::tell_load(instant now)
{
    for (auto& [entry, view] : entries_)
    {
        if (view.connected)
            send(now, entry, load_report{options_.incarnation, load_for(now, view)});
    }
}

void agent_core::observe_config(std::uint64_t version)
{
    config_version_ = std::max(config_version_, version);
}

void agent_core::on_tick(instant now)
{
    records_.expire(now);
    if (backend_present_ && now - backend_heard_ > options_.announcement_lifetime)
        on_backend_leaving(now);
    offer_slots(now);
    for (auto& [entry, view] : entries_)
    {
        flush(now, entry, false);
        if (view.connected && now - view.last_sent >= options_.heartbeat_interval)
            send(now, entry, load_report{options_.incarnation, load_for(now, view)});
    }
}

bool agent_core::idle() const
{
    return running_.empty() && queued_ == 0 &&
           std::all_of(entries_.begin(), entries_.end(),
                       [](const auto& entry)
                       { return entry.second.outbox.empty() || !entry.second.connected; });
}

void agent_core::send(instant now, const std::string& entry, message body)
{
    entries_[entry].last_sent = now;
    ++counters_.messages_sent;
    ++counters_.sent_by_type.at(body.index());
    effects_.emplace_back(send_message{entry, std::move(body)});
}

std::vector<agent_effect> agent_core::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace tarragonlock
