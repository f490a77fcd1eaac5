#include "tarragonlock/request/placement.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace tarragonlock
{

namespace
{

/// Chooses the fastest free worker, unless the job ends earlier when its task waits for a faster
/// one.
class earliest_finish : public placement_strategy
{
public:
    std::optional<worker_index> choose(const worker_directory& directory,
                                       const placement_request& request) override
    {
        const auto& pool = directory.pool(request.pool);
        if (request.may_probe && !pool.probe_candidates.empty())
            return *pool.probe_candidates.begin();
        if (pool.free_workers.empty())
            return std::nullopt;
        const auto& [log_slowness, worker] = *pool.free_workers.begin();
        if (finishes_no_later_than_waiting(pool, request, log_slowness))
            return worker;
        return std::nullopt;
    }

    bool would_choose(const worker_directory& directory, const placement_request& request,
                      worker_index worker) const override
    {
        return finishes_no_later_than_waiting(directory.pool(request.pool), request,
                                              directory.at(worker).load.log_slowness);
    }

private:
    static bool finishes_no_later_than_waiting(const worker_pool& pool,
                                               const placement_request& request,
                                               double log_slowness)
    {
        const double rate = pool.rate_faster_than(log_slowness);
        if (rate <= 0.0)
            return true;
        // Time by which the job's waiting tasks end if only the faster workers run them: the time
        // that those need for all of them, plus the time of this task on the fastest.
        const double fastest_slowness = std::exp(pool.speed_steps.front().log_slowness);
        const double finish_on_faster_ms =
            request.job_waiting_work_ms / rate + request.expected_ms * fastest_slowness;
        const double finish_here_ms = request.expected_ms * std::exp(log_slowness);
        return finish_here_ms <= std::max(finish_on_faster_ms, request.job_running_remaining_ms);
    }
};

bool accepts_tasks(const worker_view& worker)
{
    return worker.connected && !worker.leaving;
}

class random_choice : public placement_strategy
{
public:
    std::optional<worker_index> choose(const worker_directory& directory,
                                       const placement_request& request) override
    {
        std::vector<worker_index> candidates;
        for (const auto worker : directory.pool(request.pool).members)
        {
            if (accepts_tasks(directory.at(worker)))
                candidates.push_back(worker);
        }
        if (candidates.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
        return candidates[pick(engine_)];
    }

private:
    std::mt19937_64 engine_{1};
};

class round_robin : public placement_strategy
{
public:
    std::optional<worker_index> choose(const worker_directory& directory,
                                       const placement_request& request) override
    {
        const auto& members = directory.pool(request.pool).members;
        for (std::size_t tried = 0; tried < members.size(); ++tried)
        {
            const auto worker = members[next_++ % members.size()];
            if (accepts_tasks(directory.at(worker)))
                return worker;
        }
        return std::nullopt;
    }

private:
    std::size_t next_ = 0;
};

class least_outstanding : public placement_strategy
{
public:
    std::optional<worker_index> choose(const worker_directory& directory,
                                       const placement_request& request) override
    {
        std::optional<worker_index> best;
        for (const auto worker : directory.pool(request.pool).members)
        {
            const auto& view = directory.at(worker);
            if (accepts_tasks(view) &&
                (!best || view.outstanding < directory.at(*best).outstanding))
                best = worker;
        }
        return best;
    }
};

} // namespace

result<std::unique_ptr<placement_strategy>> make_placement(std::string_view name)
{
    std::unique_ptr<placement_strategy> strategy;
    if (name == "earliest_finish")
        strategy = std::make_unique<earliest_finish>();
    else if (name == "random")
        strategy = std::make_unique<random_choice>();
    else if (name == "round_robin")
        strategy = std::make_unique<round_robin>();
    else if (name == "least_outstanding")
        strategy = std::make_unique<least_outstanding>();
    else
        return std::make_error_code(std::errc::invalid_argument);
    return strategy;
}

} // namespace tarragonlock
