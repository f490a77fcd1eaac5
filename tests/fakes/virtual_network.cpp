// The fake connections and the fake key-value service.

#include "fakes/virtual_fleet.hpp"

#include <algorithm>

namespace tarragonlock::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto silence = milliseconds(600);
constexpr auto dial_interval = milliseconds(200);
constexpr auto store_lease = seconds(5);
constexpr std::uint32_t duplicated_one_in = 100;
constexpr auto store_timeout = seconds(2);

} // namespace

// ---- connections -----------------------------------------------------------------------------

virtual_fleet::pair_key virtual_fleet::key_of(const std::string& a, const std::string& b)
{
    return a < b ? pair_key{a, b} : pair_key{b, a};
}

bool virtual_fleet::is_cut(const std::string& from, const std::string& to) const
{
    return cuts_.contains({from, to});
}

void virtual_fleet::cut_both(const std::string& a, const std::string& b)
{
    cut(a, b);
    cut(b, a);
}

void virtual_fleet::release()
{
    holds_.clear();
    for (auto& run : std::exchange(held_, {}))
        run();
}

void virtual_fleet::heal()
{
    cuts_.clear();
    store_cuts_.clear();
    release();
    store_mode_ = store_mode::ok;
}

void virtual_fleet::deliver(const std::string& from, const std::string& to, const message& body)
{
    if (!processes_.contains(to))
        return;
    auto& link = connections_[key_of(from, to)];
    if (!link.up)
        return;
    if (holds_.contains({from, to}))
    {
        // A message on an old connection that arrives long after its sender gave up.
        held_.emplace_back(
            [=, this, incarnation = processes_.at(to).incarnation]
            { in_process(to, incarnation, [=, this] { receive(to, from, body); }); });
        return close(key_of(from, to));
    }
    const bool lost = is_cut(from, to) || is_cut(to, from) || processes_.at(to).paused;
    if (lost && !link.closing)
    {
        // The missing acknowledgement shows after a while.
        link.closing = true;
        at(now_ + silence,
           [this, key = key_of(from, to), number = link.number]
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
        // What a replaced connection still carried is dropped.
        if (connections_[key_of(from, to)].number == number)
            in_process(to, incarnation, [=, this] { receive(to, from, body); });
    };
    at(last, arrive);
    if (random_() % duplicated_one_in == 0)
        at(last + random_delay(1, 50'000), arrive);
}

void virtual_fleet::receive(const std::string& name, const std::string& from, const message& body)
{
    if (processes_.at(name).is_entry)
        entry(name).on_message(now_, from, body);
    else
        agent(name).on_message(now_, from, body);
}

void virtual_fleet::lose_peer(const std::string& name, const std::string& peer)
{
    in_process(name, processes_.at(name).incarnation,
               [=, this]
               {
                   if (processes_.at(name).is_entry)
                       entry(name).on_peer_lost(now_, peer);
                   else
                       agent(name).on_entry_lost(now_, peer);
               });
}

void virtual_fleet::close(const pair_key& key)
{
    auto& link = connections_[key];
    if (!link.up)
        return;
    link.up = false;
    link.next_dial = now_ + dial_interval;
    lose_peer(key.first, key.second);
    lose_peer(key.second, key.first);
}

void virtual_fleet::maintain_connections()
{
    for (const auto& entry : names(true))
    {
        for (const auto& item : processes_)
        {
            // Lambdas of older compilers cannot capture structured bindings.
            const auto& other = item.first;
            const auto& state = item.second;
            if (other == entry || (state.is_entry && other < entry))
                continue;
            const auto key = key_of(entry, other);
            auto& link = connections_[key];
            const auto& here = processes_.at(entry);
            if (link.up && (!here.up || !state.up))
                close(key);
            const bool possible = here.up && state.up && !here.paused && !state.paused &&
                                  !is_cut(entry, other) && !is_cut(other, entry);
            if (link.up || !possible || now_ < link.next_dial)
                continue;
            link = {true, false, ++next_number_, {}, {}};
            in_process(entry, here.incarnation,
                       [=, this] { this->entry(entry).on_peer_connected(now_, other); });
            in_process(other, state.incarnation,
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

// ---- the key-value service -------------------------------------------------------------------

bool virtual_fleet::reaches_store(const std::string& name) const
{
    const auto& state = processes_.at(name);
    return state.up && !state.paused && store_mode_ != store_mode::down &&
           !store_cuts_.contains(name);
}

/// Keeps leases and connections as time passes.
void virtual_fleet::run_store()
{
    for (const auto& name : names(true))
    {
        auto& state = processes_.at(name);
        if (!reaches_store(name))
        {
            state.store_attached = false;
            if (registered_.contains(name) && state.registered_until < now_ &&
                store_mode_ != store_mode::down)
            {
                registered_.erase(name);
                notify_store_entry(name);
            }
            continue;
        }
        state.registered_until = now_ + store_lease;
        if (registered_[name] != state.incarnation)
        {
            registered_[name] = state.incarnation;
            notify_store_entry(name);
        }
        if (!state.store_attached)
            attach(name);
    }
    maintain_connections();
    at(now_ + milliseconds(100), [this] { run_store(); });
}

void virtual_fleet::notify_store_entry(const std::string& name)
{
    std::optional<std::uint64_t> incarnation;
    if (registered_.contains(name))
        incarnation = registered_.at(name);
    for (const auto& other : names(true))
    {
        if (reaches_store(other))
            in_process(other, processes_.at(other).incarnation,
                       [=, this] { entry(other).on_store_entry(name, incarnation); });
    }
}

/// Gives a process everything that the service holds.
void virtual_fleet::attach(const std::string& name)
{
    processes_.at(name).store_attached = true;
    in_process(name, processes_.at(name).incarnation,
               [=, this]
               {
                   auto& core = entry(name);
                   for (const auto& other : names(true))
                   {
                       std::optional<std::uint64_t> incarnation;
                       if (registered_.contains(other))
                           incarnation = registered_.at(other);
                       core.on_store_entry(other, incarnation);
                   }
                   if (table_revision_ > 0)
                       core.on_store_table(now_, table_, table_revision_);
                   if (config_version_ > 0)
                       core.on_config(now_, config_version_, document_);
                   core.on_store_read(now_);
               });
}

void virtual_fleet::swap(const std::string& name, const table_swap& wanted)
{
    const auto incarnation = processes_.at(name).incarnation;
    const auto unknown = [=, this]
    { in_process(name, incarnation, [=, this] { entry(name).on_swap_unknown(now_); }); };
    if (!reaches_store(name))
        return at(now_ + store_timeout, unknown);
    const auto mode = store_mode_;
    const auto effect = [=, this]
    {
        const bool swapped = wanted.expected_revision == table_revision_;
        if (swapped)
        {
            table_ = wanted.table;
            table_revision_ = ++revision_;
            for (const auto& other : names(true))
            {
                if (other != name && reaches_store(other))
                    in_process(other, processes_.at(other).incarnation,
                               [=, this]
                               { entry(other).on_store_table(now_, table_, table_revision_); });
            }
        }
        if (mode != store_mode::ok)
            return;
        in_process(name, incarnation,
                   [=, this, revision = table_revision_, table = table_]
                   {
                       if (!swapped && revision > 0)
                           entry(name).on_store_table(now_, table, revision);
                       entry(name).on_swap_done(now_, swapped, wanted, revision);
                   });
    };
    if (mode != store_mode::ok)
        at(now_ + store_timeout, unknown);
    at(now_ + (mode == store_mode::slow ? duration(seconds(6)) : random_delay(2000, 8000)), effect);
}

void virtual_fleet::apply(const std::string& document)
{
    document_ = document;
    config_version_ = static_cast<std::uint64_t>(++revision_);
    for (const auto& name : names(true))
    {
        if (reaches_store(name))
            in_process(name, processes_.at(name).incarnation,
                       [=, this] { entry(name).on_config(now_, config_version_, document_); });
    }
}

} // namespace tarragonlock::test
