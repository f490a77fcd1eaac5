// The fake connections and the fake key-value service of virtual_fleet.

#include "fakes/virtual_fleet.hpp"

#include <algorithm>

namespace tarragonlock::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time from the first lost message until a connection closes.
constexpr auto silence_timeout = milliseconds(600);
constexpr auto reconnect_interval = milliseconds(200);
constexpr auto store_lease = seconds(5);
constexpr std::uint32_t messages_per_duplicate = 100;
constexpr auto store_timeout = seconds(2);

} // namespace

virtual_fleet::link_key virtual_fleet::link_key_of(const std::string& a, const std::string& b)
{
    return a < b ? link_key{a, b} : link_key{b, a};
}

bool virtual_fleet::is_cut(const std::string& from, const std::string& to) const
{
    return cut_links_.contains({from, to});
}

void virtual_fleet::cut_both(const std::string& first, const std::string& second)
{
    cut(first, second);
    cut(second, first);
}

void virtual_fleet::release()
{
    held_links_.clear();
    for (auto& run : std::exchange(held_messages_, {}))
        run();
}

void virtual_fleet::heal()
{
    cut_links_.clear();
    cut_from_store_.clear();
    release();
    store_mode_ = store_mode::ok;
}

void virtual_fleet::deliver(const std::string& from, const std::string& to, const message& body)
{
    if (!processes_.contains(to))
        return;
    auto& link = connections_[link_key_of(from, to)];
    if (!link.up)
        return;
    if (held_links_.contains({from, to}))
    {
        // Models a message on an old connection that arrives long after its sender has closed it.
        held_messages_.emplace_back(
            [=, this, incarnation = processes_.at(to).incarnation]
            { run_in_process(to, incarnation, [=, this] { receive(to, from, body); }); });
        return close(link_key_of(from, to));
    }
    const bool lost = is_cut(from, to) || is_cut(to, from) || processes_.at(to).paused;
    if (lost && !link.closing)
    {
        // The sender detects the missing acknowledgement after the silence timeout.
        link.closing = true;
        schedule(now_ + silence_timeout,
                 [this, key = link_key_of(from, to), number = link.number]
                 {
                     if (connections_[key].number == number)
                         close(key);
                 });
    }
    if (is_cut(from, to))
        return;
    auto& last = link.last_delivery[to];
    last = std::max(now_ + random_delay(200, 1500), last + duration(1));
    const auto arrive = [=, this, number = link.number, incarnation = processes_.at(to).incarnation]
    {
        // Messages in flight on a replaced connection are dropped.
        if (connections_[link_key_of(from, to)].number == number)
            run_in_process(to, incarnation, [=, this] { receive(to, from, body); });
    };
    schedule(last, arrive);
    if (random_() % messages_per_duplicate == 0)
        schedule(last + random_delay(1, 50'000), arrive);
}

void virtual_fleet::receive(const std::string& name, const std::string& from, const message& body)
{
    if (processes_.at(name).is_entry)
        entry(name).on_message(now_, from, body);
    else
        agent(name).on_message(now_, from, body);
}

void virtual_fleet::notify_peer_lost(const std::string& name, const std::string& peer)
{
    run_in_process(name, processes_.at(name).incarnation,
                   [=, this]
                   {
                       if (processes_.at(name).is_entry)
                           entry(name).on_peer_lost(now_, peer);
                       else
                           agent(name).on_entry_lost(now_, peer);
                   });
}

void virtual_fleet::close(const link_key& key)
{
    auto& link = connections_[key];
    if (!link.up)
        return;
    link.up = false;
    link.next_connect = now_ + reconnect_interval;
    notify_peer_lost(key.first, key.second);
    notify_peer_lost(key.second, key.first);
}

void virtual_fleet::maintain_connections()
{
    for (const auto& entry : process_names(true))
    {
        for (const auto& item : processes_)
        {
            // Older compilers don't support the capture of structured bindings in lambdas.
            const auto& other = item.first;
            const auto& state = item.second;
            if (other == entry || (state.is_entry && other < entry))
                continue;
            const auto key = link_key_of(entry, other);
            auto& link = connections_[key];
            const auto& entry_state = processes_.at(entry);
            if (link.up && (!entry_state.up || !state.up))
                close(key);
            const bool reachable = entry_state.up && state.up && !entry_state.paused &&
                                   !state.paused && !is_cut(entry, other) && !is_cut(other, entry);
            if (link.up || !reachable || now_ < link.next_connect)
                continue;
            link = {true, false, ++next_number_, {}, {}};
            run_in_process(entry, entry_state.incarnation,
                           [=, this] { this->entry(entry).on_peer_connected(now_, other); });
            run_in_process(other, state.incarnation,
                           [=, this]
                           {
                               if (processes_.at(other).is_entry)
                                   this->entry(other).on_peer_connected(now_, entry);
                               else
                                   agent(other).on_entry_connected(now_, entry);
                           });
        }
    }
}

bool virtual_fleet::can_reach_store(const std::string& name) const
{
    const auto& state = processes_.at(name);
    return state.up && !state.paused && store_mode_ != store_mode::down &&
           !cut_from_store_.contains(name);
}

/// Renews and expires the leases of entries, reconnects processes, and schedules its next run.
void virtual_fleet::update_store()
{
    for (const auto& name : process_names(true))
    {
        auto& state = processes_.at(name);
        if (!can_reach_store(name))
        {
            state.has_store_state = false;
            if (registered_incarnations_.contains(name) && state.registered_until < now_ &&
                store_mode_ != store_mode::down)
            {
                registered_incarnations_.erase(name);
                notify_registration(name);
            }
            continue;
        }
        state.registered_until = now_ + store_lease;
        if (registered_incarnations_[name] != state.incarnation)
        {
            registered_incarnations_[name] = state.incarnation;
            notify_registration(name);
        }
        if (!state.has_store_state)
            send_store_state(name);
    }
    maintain_connections();
    schedule(now_ + milliseconds(100), [this] { update_store(); });
}

void virtual_fleet::notify_registration(const std::string& name)
{
    std::optional<std::uint64_t> incarnation;
    if (registered_incarnations_.contains(name))
        incarnation = registered_incarnations_.at(name);
    for (const auto& other : process_names(true))
    {
        if (can_reach_store(other))
            run_in_process(other, processes_.at(other).incarnation,
                           [=, this] { entry(other).on_store_entry(name, incarnation); });
    }
}

/// Sends an entry all registrations, the shard table and the configuration.
void virtual_fleet::send_store_state(const std::string& name)
{
    processes_.at(name).has_store_state = true;
    run_in_process(name, processes_.at(name).incarnation,
                   [=, this]
                   {
                       auto& core = entry(name);
                       for (const auto& other : process_names(true))
                       {
                           std::optional<std::uint64_t> incarnation;
                           if (registered_incarnations_.contains(other))
                               incarnation = registered_incarnations_.at(other);
                           core.on_store_entry(other, incarnation);
                       }
                       if (table_revision_ > 0)
                           core.on_store_table(now_, table_, table_revision_);
                       if (config_version_ > 0)
                           core.on_config(now_, config_version_, config_document_);
                       core.on_store_read(now_);
                   });
}

void virtual_fleet::compare_and_swap(const std::string& name, const table_swap& request)
{
    const auto incarnation = processes_.at(name).incarnation;
    const auto unknown = [=, this]
    { run_in_process(name, incarnation, [=, this] { entry(name).on_swap_in_doubt(now_); }); };
    if (!can_reach_store(name))
        return schedule(now_ + store_timeout, unknown);
    const auto mode = store_mode_;
    const auto effect = [=, this]
    {
        const bool swapped = request.expected_revision == table_revision_;
        if (swapped)
        {
            table_ = request.table;
            table_revision_ = ++revision_;
            for (const auto& other : process_names(true))
            {
                if (other != name && can_reach_store(other))
                    run_in_process(other, processes_.at(other).incarnation,
                                   [=, this]
                                   { entry(other).on_store_table(now_, table_, table_revision_); });
            }
        }
        if (mode != store_mode::ok)
            return;
        run_in_process(name, incarnation,
                       [=, this, revision = table_revision_, table = table_]
                       {
                           if (!swapped && revision > 0)
                               entry(name).on_store_table(now_, table, revision);
                           entry(name).on_swap_done(now_, swapped, request, revision);
                       });
    };
    if (mode != store_mode::ok)
        schedule(now_ + store_timeout, unknown);
    schedule(now_ + (mode == store_mode::slow ? duration(seconds(6)) : random_delay(2000, 8000)),
             effect);
}

void virtual_fleet::apply(const std::string& document)
{
    config_document_ = document;
    config_version_ = static_cast<std::uint64_t>(++revision_);
    for (const auto& name : process_names(true))
    {
        if (can_reach_store(name))
            run_in_process(name, processes_.at(name).incarnation,
                           [=, this]
                           { entry(name).on_config(now_, config_version_, config_document_); });
    }
}

} // namespace tarragonlock::test
