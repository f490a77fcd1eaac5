#include "tarragonlock/request/fair_queue.hpp"

#include <algorithm>

namespace tarragonlock
{

std::size_t fair_queue::team_queue::highest_urgency() const
{
    for (std::size_t i = urgency_levels; i > 0; --i)
    {
        if (!by_urgency.at(i - 1).empty())
            return i - 1;
    }
    return 0;
}

std::size_t fair_queue::team_queue::lowest_urgency() const
{
    const auto lowest = std::find_if(by_urgency.begin(), by_urgency.end(),
                                     [](const auto& jobs) { return !jobs.empty(); });
    return static_cast<std::size_t>(lowest - by_urgency.begin());
}

fair_queue::team_index fair_queue::find_or_add_account(const std::string& team, double weight)
{
    const auto [found, inserted] =
        by_name_.try_emplace(team, static_cast<team_index>(accounts_.size()));
    if (inserted)
        accounts_.push_back({team, weight, system_virtual_time_, 0});
    accounts_[found->second].weight = weight;
    return found->second;
}

void fair_queue::push(pool_index pool, const std::string& team, double weight,
                      std::uint32_t urgency, const job_rank& job, std::uint32_t tasks)
{
    const auto index = find_or_add_account(team, weight);
    auto& account = accounts_[index];
    if (account.waiting == 0 && account.virtual_time < system_virtual_time_)
        advance(index, (system_virtual_time_ - account.virtual_time) * account.weight);
    if (pools_.size() <= pool)
        pools_.resize(pool + 1);
    auto& queue = pools_[pool];
    auto& team_tasks = queue.teams[index];
    if (team_tasks.waiting == 0)
    {
        team_tasks.virtual_time_key = account.virtual_time;
        queue.teams_by_virtual_time.insert({team_tasks.virtual_time_key, index});
    }
    team_tasks.by_urgency.at(std::min<std::size_t>(urgency, urgency_levels - 1))[job] += tasks;
    team_tasks.waiting += tasks;
    account.waiting += tasks;
    queue.waiting += tasks;
    waiting_ += tasks;
}

std::optional<fair_queue::choice>
fair_queue::next(const std::function<bool(pool_index)>& usable) const
{
    std::optional<choice> best;
    std::pair<double, int> best_rank;
    for (pool_index i = 0; i < pools_.size(); ++i)
    {
        const auto& queue = pools_[i];
        if (queue.waiting == 0 || !usable(i))
            continue;
        const auto& [virtual_time, team] = *queue.teams_by_virtual_time.begin();
        const auto& team_tasks = queue.teams.at(team);
        const auto urgency = team_tasks.highest_urgency();
        const std::pair<double, int> rank{virtual_time, -static_cast<int>(urgency)};
        if (best && rank >= best_rank)
            continue;
        best = choice{i, team_tasks.by_urgency.at(urgency).begin()->first.job};
        best_rank = rank;
    }
    return best;
}

const fair_queue::team_queue* fair_queue::next_team(pool_index pool) const
{
    if (pool >= pools_.size() || pools_[pool].waiting == 0)
        return nullptr;
    const auto& queue = pools_[pool];
    return &queue.teams.at(queue.teams_by_virtual_time.begin()->second);
}

std::optional<job_handle> fair_queue::head(pool_index pool) const
{
    const auto* team = next_team(pool);
    if (team == nullptr)
        return std::nullopt;
    return team->by_urgency.at(team->highest_urgency()).begin()->first.job;
}

std::optional<job_handle> fair_queue::last(pool_index pool) const
{
    const auto* team = next_team(pool);
    if (team == nullptr)
        return std::nullopt;
    return team->by_urgency.at(team->lowest_urgency()).rbegin()->first.job;
}

void fair_queue::pop(pool_index pool, double cost_ms)
{
    auto& queue = pools_[pool];
    auto& team_tasks = queue.teams.at(queue.teams_by_virtual_time.begin()->second);
    auto& jobs = team_tasks.by_urgency.at(team_tasks.highest_urgency());
    pop(pool, jobs, jobs.begin(), cost_ms);
}

void fair_queue::pop_last(pool_index pool, double cost_ms)
{
    auto& queue = pools_[pool];
    auto& team_tasks = queue.teams.at(queue.teams_by_virtual_time.begin()->second);
    auto& jobs = team_tasks.by_urgency.at(team_tasks.lowest_urgency());
    pop(pool, jobs, std::prev(jobs.end()), cost_ms);
}

/// Removes one task of a job of the team that is next.
void fair_queue::pop(pool_index pool, urgency_queue& jobs, urgency_queue::iterator job,
                     double cost_ms)
{
    const auto team = pools_[pool].teams_by_virtual_time.begin()->second;
    system_virtual_time_ = std::max(system_virtual_time_, accounts_[team].virtual_time);
    if (--job->second == 0)
        jobs.erase(job);
    subtract_waiting(pool, team, 1);
    advance(team, cost_ms);
}

void fair_queue::subtract_waiting(pool_index pool, team_index team, std::uint32_t tasks)
{
    auto& queue = pools_[pool];
    auto& team_tasks = queue.teams.at(team);
    team_tasks.waiting -= tasks;
    queue.waiting -= tasks;
    accounts_[team].waiting -= tasks;
    waiting_ -= tasks;
    if (team_tasks.waiting == 0)
        queue.teams_by_virtual_time.erase({team_tasks.virtual_time_key, team});
}

void fair_queue::charge(const std::string& team, double cost_ms)
{
    if (const auto found = by_name_.find(team); found != by_name_.end())
        advance(found->second, cost_ms);
}

void fair_queue::advance(team_index team, double cost_ms)
{
    auto& account = accounts_[team];
    account.virtual_time += cost_ms / account.weight;
    for (auto& queue : pools_)
    {
        const auto found = queue.teams.find(team);
        if (found == queue.teams.end() || found->second.waiting == 0)
            continue;
        queue.teams_by_virtual_time.erase({found->second.virtual_time_key, team});
        found->second.virtual_time_key = account.virtual_time;
        queue.teams_by_virtual_time.insert({found->second.virtual_time_key, team});
    }
}

void fair_queue::remove(pool_index pool, const std::string& team, const job_rank& job)
{
    const auto account = by_name_.find(team);
    if (account == by_name_.end() || pool >= pools_.size())
        return;
    const auto team_tasks = pools_[pool].teams.find(account->second);
    if (team_tasks == pools_[pool].teams.end())
        return;
    std::uint32_t removed = 0;
    for (auto& jobs : team_tasks->second.by_urgency)
    {
        const auto found = jobs.find(job);
        if (found == jobs.end())
            continue;
        removed += found->second;
        jobs.erase(found);
    }
    if (removed > 0)
        subtract_waiting(pool, account->second, removed);
}

std::uint32_t fair_queue::waiting(pool_index pool) const
{
    return pool < pools_.size() ? pools_[pool].waiting : 0;
}

std::uint32_t fair_queue::waiting_of_team(const std::string& team) const
{
    const auto found = by_name_.find(team);
    return found == by_name_.end() ? 0 : accounts_[found->second].waiting;
}

void fair_queue::clear()
{
    pools_.clear();
    waiting_ = 0;
    for (auto& account : accounts_)
        account.waiting = 0;
}

} // namespace tarragonlock
