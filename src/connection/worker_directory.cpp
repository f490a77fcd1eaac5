#include "tarragonlock/connection/worker_directory.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonlock
{

namespace
{

/// Interval at which all workers are checked, longer than that of the entry's ticks.
constexpr auto tick_interval = std::chrono::milliseconds(100);
constexpr auto speed_update_interval = std::chrono::milliseconds(200);
/// Bound of the logarithm of a worker's slowness, in either direction.
constexpr double max_abs_log_slowness = 7.0;

/// Workers are sorted by log_slowness, and a NaN has no order. Values that are not finite become 0.
worker_load clamp_slowness(worker_load load)
{
    load.log_slowness =
        std::isfinite(load.log_slowness)
            ? std::clamp(load.log_slowness, -max_abs_log_slowness, max_abs_log_slowness)
            : 0.0;
    return load;
}

} // namespace

std::uint32_t worker_view::free_slots() const
{
    if (!connected || leaving || paused)
        return 0;
    const auto in_flight = tasks_sent - std::min(tasks_sent, load.tasks_received);
    return load.free_slots > in_flight ? load.free_slots - static_cast<std::uint32_t>(in_flight)
                                       : 0;
}

double worker_pool::rate_faster_than(double log_slowness) const
{
    const auto step =
        std::lower_bound(speed_steps.begin(), speed_steps.end(), log_slowness,
                         [](const speed_step& s, double limit) { return s.log_slowness < limit; });
    return step == speed_steps.begin() ? 0.0 : std::prev(step)->cumulative_rate;
}

worker_directory::worker_directory(ejection_policy ejection, duration record_window)
    : ejection_(ejection), record_window_(record_window)
{
}

void worker_directory::apply_declarations(std::shared_ptr<const declarations> config)
{
    config_ = std::move(config);
    pools_.clear();
    for (auto& worker : workers_)
    {
        worker.pools.clear();
        worker.free_workers_key.reset();
    }
}

pool_index worker_directory::pool_for(const std::string& service, const routing_rule& rule)
{
    for (pool_index i = 0; i < pools_.size(); ++i)
    {
        if (pools_[i].service == service && pools_[i].rule.selector_index == rule.selector_index)
            return i;
    }
    pools_.push_back({service, rule});
    fill_pool(static_cast<pool_index>(pools_.size() - 1));
    return static_cast<pool_index>(pools_.size() - 1);
}

void worker_directory::fill_pool(pool_index index)
{
    for (worker_index worker = 0; worker < workers_.size(); ++worker)
    {
        auto& view = workers_[worker];
        auto& pool = pools_[index];
        if (view.service != pool.service || !config_->allows(pool.rule, view.labels))
            continue;
        pool.members.push_back(worker);
        view.pools.push_back(index);
        // Without a key update_free_workers inserts the worker into this pool too.
        view.free_workers_key.reset();
        update_free_workers(worker);
    }
    update_speed_steps(pools_[index]);
}

void worker_directory::reassign_pools(worker_index worker)
{
    auto& view = workers_[worker];
    for (const auto index : view.pools)
    {
        auto& pool = pools_[index];
        std::erase(pool.members, worker);
        pool.probe_candidates.erase(worker);
        if (view.free_workers_key)
            pool.free_workers.erase({*view.free_workers_key, worker});
    }
    view.pools.clear();
    view.free_workers_key.reset();
    if (!config_)
        return;
    for (pool_index i = 0; i < pools_.size(); ++i)
    {
        if (pools_[i].service != view.service || !config_->allows(pools_[i].rule, view.labels))
            continue;
        pools_[i].members.push_back(worker);
        view.pools.push_back(i);
        update_speed_steps(pools_[i]);
    }
    update_free_workers(worker);
}

/// Inserts the worker into the free_workers sets of its pools, moves it there or removes it.
void worker_directory::update_free_workers(worker_index worker)
{
    auto& view = workers_[worker];
    std::optional<double> key;
    if (view.free_slots() > 0 && !view.ejected)
        key = view.load.log_slowness;
    if (key == view.free_workers_key)
        return;
    for (const auto index : view.pools)
    {
        auto& free = pools_[index].free_workers;
        if (view.free_workers_key)
            free.erase({*view.free_workers_key, worker});
        if (key)
            free.insert({*key, worker});
    }
    view.free_workers_key = key;
}

void worker_directory::update_speed_steps(worker_pool& pool)
{
    std::vector<std::pair<double, std::uint32_t>> members;
    pool.slots = 0;
    for (const auto member : pool.members)
    {
        const auto& view = workers_[member];
        if (!view.connected || view.leaving || view.ejected)
            continue;
        members.emplace_back(view.load.log_slowness, view.slots);
        pool.slots += view.slots;
    }
    std::sort(members.begin(), members.end());
    pool.speed_steps.clear();
    double rate = 0.0;
    for (const auto& [slowness, slots] : members)
    {
        rate += slots / std::exp(slowness);
        pool.speed_steps.push_back({slowness, rate});
    }
}

worker_index worker_directory::find_or_add(instant now, const std::string& name)
{
    const auto [found, inserted] =
        by_name_.try_emplace(name, static_cast<worker_index>(workers_.size()));
    if (inserted)
    {
        workers_.push_back({.id = {name, 0}});
        workers_.back().lost_at = now;
    }
    return found->second;
}

std::pair<worker_index, bool> worker_directory::on_announce(instant now, const std::string& name,
                                                            const agent_announcement& announcement)
{
    const auto worker = find_or_add(now, name);
    auto& view = workers_[worker];
    const bool first = view.id.incarnation == 0;
    const bool restarted = !first && view.id.incarnation != announcement.incarnation;
    if (first)
        view.id.incarnation = announcement.incarnation;
    if (restarted)
    {
        replaced_incarnations_.emplace_back(view.id, now);
        view.id.incarnation = announcement.incarnation;
        view.last_result_sequence = 0;
        view.ejected = false;
        view.ejection_time = {};
    }
    view.service = announcement.service;
    view.labels = announcement.labels;
    view.slots = announcement.slots;
    view.connected = true;
    view.leaving = announcement.leaving;
    view.load = clamp_slowness(announcement.load);
    view.tasks_sent = announcement.load.tasks_received;
    view.backlog_reported = false;
    view.last_message_at = now;
    reassign_pools(worker);
    update_ejection(now, worker);
    return {worker, restarted};
}

std::optional<worker_index> worker_directory::on_load_report(instant now, const std::string& name,
                                                             const worker_load& load)
{
    const auto worker = find(name);
    if (!worker)
        return std::nullopt;
    auto& view = workers_[*worker];
    view.load = clamp_slowness(load);
    view.last_message_at = now;
    update_ejection(now, *worker);
    update_free_workers(*worker);
    return worker;
}

std::optional<worker_index> worker_directory::on_lost(instant now, const std::string& name)
{
    const auto worker = find(name);
    if (!worker)
        return std::nullopt;
    workers_[*worker].connected = false;
    workers_[*worker].lost_at = now;
    update_free_workers(*worker);
    return worker;
}

void worker_directory::on_tasks_sent(worker_index worker, std::uint32_t tasks)
{
    workers_[worker].tasks_sent += tasks;
    workers_[worker].outstanding += tasks;
    update_free_workers(worker);
}

void worker_directory::on_task_ended(instant now, worker_index worker, const task_outcome& outcome)
{
    auto& view = workers_[worker];
    view.outstanding -= std::min(view.outstanding, 1U);
    if (view.ejected && outcome.status == task_status::failed)
    {
        view.ejection_time = std::min(view.ejection_time * 2, ejection_.max_ejection_time);
        view.next_probe_at = now + view.ejection_time;
    }
    update_ejection(now, worker);
    update_free_workers(worker);
}

/// Ejects a worker after consecutive failures, and readmits it after a success.
void worker_directory::update_ejection(instant now, worker_index worker)
{
    auto& view = workers_[worker];
    if (!ejection_.enabled)
        return;
    const bool failing = view.load.consecutive_failures >= ejection_.consecutive_failures;
    if (!failing)
    {
        view.ejected = false;
        view.ejection_time = {};
        return;
    }
    if (view.ejected || ejection_limit_reached(view))
        return;
    view.ejected = true;
    view.ejection_time = ejection_.first_ejection_time;
    view.next_probe_at = now + view.ejection_time;
}

bool worker_directory::ejection_limit_reached(const worker_view& worker) const
{
    std::size_t members = 0;
    std::size_t ejected = 0;
    for (const auto& other : workers_)
    {
        if (other.service != worker.service || !other.connected || other.leaving)
            continue;
        ++members;
        ejected += other.ejected ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) >
           ejection_.max_ejected_share * static_cast<double>(members);
}

void worker_directory::pause(worker_index worker, instant until)
{
    workers_[worker].paused = true;
    workers_[worker].paused_until = until;
    update_free_workers(worker);
}

void worker_directory::on_tick(instant now)
{
    if (now - last_tick_ < tick_interval)
        return;
    last_tick_ = now;
    for (worker_index worker = 0; worker < workers_.size(); ++worker)
    {
        auto& view = workers_[worker];
        if (view.paused && view.paused_until <= now)
        {
            view.paused = false;
            update_free_workers(worker);
        }
        const bool may_probe = view.ejected && view.next_probe_at <= now && view.outstanding == 0 &&
                               view.free_slots() > 0;
        for (const auto index : view.pools)
        {
            if (may_probe)
                pools_[index].probe_candidates.insert(worker);
            else
                pools_[index].probe_candidates.erase(worker);
        }
    }
    std::erase_if(replaced_incarnations_,
                  [&](const auto& entry) { return now - entry.second > record_window_; });
    if (now - last_speed_update_ < speed_update_interval)
        return;
    last_speed_update_ = now;
    for (auto& pool : pools_)
        update_speed_steps(pool);
}

std::optional<worker_index> worker_directory::find(const std::string& name) const
{
    const auto found = by_name_.find(name);
    if (found == by_name_.end())
        return std::nullopt;
    return found->second;
}

std::vector<process_identity> worker_directory::known_incarnations() const
{
    std::vector<process_identity> known;
    for (const auto& worker : workers_)
    {
        if (worker.id.incarnation != 0)
            known.push_back(worker.id);
    }
    for (const auto& [id, when] : replaced_incarnations_)
        known.push_back(id);
    return known;
}

bool worker_directory::is_connected(const process_identity& id) const
{
    const auto worker = find(id.name);
    return worker && workers_[*worker].id == id && workers_[*worker].connected;
}

} // namespace tarragonlock
