#include "fakes/leased_fleet.hpp"

#include <set>

namespace tarragonlock::fakes
{

namespace
{

/// Time after an evacuation within which the users' operators tolerate further starts.
constexpr auto evacuation_bound = std::chrono::seconds(5);

} // namespace

void leased_fleet::inject_evacuation_event()
{
    if (chance(0.4))
    {
        // All hosts, or one of them; one that is cut off longer than the bound has to learn of
        // evacuations from its agents.
        const bool all = chance(0.3);
        const auto length = all ? random_time(300, 4000) : random_time(300, 12'000);
        const auto chosen = random_index(entries_.size());
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (all || i == chosen)
                cut_entry_from_store(i, length);
        }
        if (all)
            store_down_until_ = std::max(store_down_until_, now_ + length);
        return;
    }
    // Operators get no confirmation while the service is down.
    if (now_ < store_down_until_)
        return;
    const auto domain = failure_domain(random_index(options_.failure_domains));
    set_evacuated(domain, !evacuated_since_.contains(domain));
}

void leased_fleet::set_evacuated(const std::string& domain, bool evacuated)
{
    add_trace((evacuated ? "evacuate " : "use again ") + domain);
    const auto revision = static_cast<std::int64_t>(evacuation_changes_.size()) + 10;
    evacuation_changes_.push_back({revision, domain, evacuated});
    if (evacuated)
        evacuated_since_[domain] = now_;
    else
        evacuated_since_.erase(domain);
    for (std::size_t i = 0; i < entries_.size(); ++i)
        schedule_store_read(i);
}

void leased_fleet::end_evacuations()
{
    while (!evacuated_since_.empty())
        set_evacuated(std::string(evacuated_since_.begin()->first), false);
}

void leased_fleet::cut_entry_from_store(std::size_t index, duration length)
{
    auto& entry = entries_[index];
    add_trace("cut entry-" + std::to_string(index) + " from the store");
    entry.store_cut_until = std::max(entry.store_cut_until, now_ + length);
    entry.lost_history = entry.lost_history || chance(0.5);
    schedule(length, [this, index] { schedule_store_read(index); });
}

void leased_fleet::schedule_store_read(std::size_t index)
{
    schedule(random_time(2, 300),
             [this, index, incarnation = entries_[index].incarnation]
             {
                 if (entries_[index].incarnation == incarnation)
                     call_process(entries_[index], [this, index] { read_store(index); });
             });
}

void leased_fleet::read_store(std::size_t index)
{
    auto& entry = entries_[index];
    if (now_ < entry.store_cut_until)
        return;
    bool changed = false;
    if (entry.changes_read == 0 || std::exchange(entry.lost_history, false))
    {
        std::set<std::string> domains;
        for (const auto& [domain, since] : evacuated_since_)
            domains.insert(domain);
        const auto revision = evacuation_changes_.empty() ? 1 : evacuation_changes_.back().revision;
        changed = entry.evacuations.on_snapshot(now_, revision, std::move(domains));
        entry.changes_read = evacuation_changes_.size();
    }
    while (entry.changes_read < evacuation_changes_.size())
    {
        const auto& change = evacuation_changes_[entry.changes_read++];
        changed =
            entry.evacuations.on_change(now_, change.revision, change.domain, change.evacuated) ||
            changed;
    }
    if (changed)
        entry.core->set_evacuated_domains(now_, entry.evacuations.current());
    apply_entry_effects(index);
}

bool leased_fleet::handle_evacuated_domains(std::size_t entry, channel_id channel,
                                            const lease_message& body)
{
    const auto* copy = std::get_if<evacuated_domains>(&body);
    if (copy == nullptr)
        return false;
    auto& process = entries_[entry];
    if (process.evacuations.on_copy(now_, channel, *copy))
        process.core->set_evacuated_domains(now_, process.evacuations.current());
    return true;
}

void leased_fleet::inform_agents_of_evacuations(std::size_t entry)
{
    for (auto& [channel, message] : entries_[entry].evacuations.take_messages(now_))
    {
        for (std::size_t agent = 0; agent < agents_.size(); ++agent)
        {
            if (links_[{entry, agent}].channel == channel)
                deliver(entry, agent, channel, message, false);
        }
    }
}

void leased_fleet::check_evacuated_start(std::size_t agent, const start_request& request)
{
    const auto found = evacuated_since_.find(failure_domain(agent));
    if (found == evacuated_since_.end() ||
        now_ - std::max(found->second, store_down_until_) <= evacuation_bound)
        return;
    tracker_.violations.push_back("started in an evacuated domain: " + request.run.job +
                                  " on worker-" + std::to_string(agent));
}

} // namespace tarragonlock::fakes
