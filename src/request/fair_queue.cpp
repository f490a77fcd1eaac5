#include "tarragonlock/request/fair_queue.hpp"

#include <algorithm>

namespace tarragonlock
{

std::size_t fair_queue::team_lanes::top_urgency() const
{
    for (std::size_t i = urgency_levels; i > 0; --i)
    {
        if (!lanes.at(i - 1).empty())
            return i - 1;
    }
    return 0;
}

std::size_t fair_queue::team_lanes::least_urgency() const
{
    const auto lane =
        std::find_if(lanes.begin(), lanes.end(), [](const auto& jobs) { return !jobs.empty(); });
    return static_cast<std::size_t>(lane - lanes.begin());
}

fair_queue::team_index fair_queue::account_for(const std::string& team, double weight)
{
    const auto [found, inserted] =
        by_name_.try_emplace(team, static_cast<team_index>(accounts_.size()));
    if (inserted)
        accounts_.push_back({team, weight, virtual_now_, 0});
    accounts_[found->second].weight = weight;
    return found->second;
}

void fair_queue::push(pool_index pool, const std::string& team, double weight,
                      std::uint32_t urgency, const job_rank& job, std::uint32_t tasks)
{
    const auto index = account_for(team, weight);
    auto& account = accounts_[index];
    if (account.waiting == 0 && account.virtual_time < virtual_now_)
        advance(index, (virtual_now_ - account.virtual_time) * account.weight);
    if (pools_.size() <= pool)
        pools_.resize(pool + 1);
    auto& queue = pools_[pool];
    auto& lanes = queue.teams[index];
    if (lanes.waiting == 0)
    {
        lanes.key = account.virtual_time;
        queue.order.insert({lanes.key, index});
    }
    lanes.lanes.at(std::min<std::size_t>(urgency, urgency_levels - 1))[job] += tasks;
    lanes.waiting += tasks;
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
        const auto& [key, team] = *queue.order.begin();
        const auto& lanes = queue.teams.at(team);
        const auto urgency = lanes.top_urgency();
        const std::pair<double, int> rank{key, -static_cast<int>(urgency)};
        if (best && rank >= best_rank)
            continue;
        best = choice{i, lanes.lanes.at(urgency).begin()->first.job};
        best_rank = rank;
    }
    return best;
}

const fair_queue::team_lanes* fair_queue::next_team(pool_index pool) const
{
    if (pool >= pools_.size() || pools_[pool].waiting == 0)
        return nullptr;
    const auto& queue = pools_[pool];
    return &queue.teams.at(queue.order.begin()->second);
}

std::optional<job_handle> fair_queue::head(pool_index pool) const
{
    const auto* team = next_team(pool);
    if (team == nullptr)
        return std::nullopt;
    return team->lanes.at(team->top_urgency()).begin()->first.job;
}

std::optional<job_handle> fair_queue::last(pool_index pool) const
{
    const auto* team = next_team(pool);
    if (team == nullptr)
        return std::nullopt;
    return team->lanes.at(team->least_urgency()).rbegin()->first.job;
}

void fair_queue::pop(pool_index pool, double cost_ms)
{
    auto& queue = pools_[pool];
    auto& lanes = queue.teams.at(queue.order.begin()->second);
    auto& jobs = lanes.lanes.at(lanes.top_urgency());
    pop(pool, jobs, jobs.begin(), cost_ms);
}

void fair_queue::pop_last(pool_index pool, double cost_ms)
{
    auto& queue = pools_[pool];
    auto& lanes = queue.teams.at(queue.order.begin()->second);
    auto& jobs = lanes.lanes.at(lanes.least_urgency());
    pop(pool, jobs, std::prev(jobs.end()), cost_ms);
}

/// Takes one task of a job of the team that goes next.
void fair_queue::pop(pool_index pool, lane& jobs, lane::iterator job, double cost_ms)
{
    const auto team = pools_[pool].order.begin()->second;
    virtual_now_ = std::max(virtual_now_, accounts_[team].virtual_time);
    if (--job->second == 0)
        jobs.erase(job);
    take(pool, team, 1);
    advance(team, cost_ms);
}

void fair_queue::take(pool_index pool, team_index team, std::uint32_t tasks)
{
    auto& queue = pools_[pool];
    auto& lanes = queue.teams.at(team);
    lanes.waiting -= tasks;
    queue.waiting -= tasks;
    accounts_[team].waiting -= tasks;
    waiting_ -= tasks;
    if (lanes.waiting == 0)
        queue.order.erase({lanes.key, team});
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
        queue.order.erase({found->second.key, team});
        found->second.key = account.virtual_time;
        queue.order.insert({found->second.key, team});
    }
}

void fair_queue::remove(pool_index pool, const std::string& team, const job_rank& job)
{
    const auto account = by_name_.find(team);
    if (account == by_name_.end() || pool >= pools_.size())
        return;
    const auto lanes = pools_[pool].teams.find(account->second);
    if (lanes == pools_[pool].teams.end())
        return;
    std::uint32_t removed = 0;
    for (auto& lane : lanes->second.lanes)
    {
        const auto found = lane.find(job);
        if (found == lane.end())
            continue;
        removed += found->second;
        lane.erase(found);
    }
    if (removed > 0)
        take(pool, account->second, removed);
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
