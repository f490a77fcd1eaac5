#include "tarragonlock/request/worker_forecast.hpp"

#include "tarragonlock/request/stall_limit.hpp"

#include <algorithm>
#include <tuple>

namespace tarragonlock
{

namespace
{

/// Real run times lie between these factors of the declared ones; callers are 40% off and more.
constexpr double shortest_run = 0.65;
constexpr double longest_run = 1.5;
/// Learned slowness is off by a few percent, since it is learned from declared run times.
constexpr double slowness_error = 1.08;
/// Weight of an entry's reluctance, as a share of the declared run time. In the replayed load of
/// twelve entries 0.1 left more tasks at workers that others had filled, 0.6 more at slow ones.
constexpr double spread = 0.3;
/// Tasks that may wait at a worker for the same or a higher priority.
constexpr std::int64_t line_length = 2;
/// For messages and the start itself.
constexpr auto overhead = std::chrono::milliseconds(10);

enum class punctuality : std::uint8_t
{
    sure,     ///< in time even if the declared run time is far off
    expected, ///< in time if it is right
    late
};

/// Time after which a run that stands still has been found and ended; a stop takes 50 ms.
duration stall_cost(duration declared)
{
    constexpr duration stop_time = std::chrono::milliseconds(50);
    return stall_limit(declared) + stop_time;
}

/// @param slowness  of the worker
/// @param factor    real run time over the declared one
bool in_time(double slowness, const placement_request& request, double factor)
{
    const std::chrono::duration<double, std::micro> work = request.declared * factor;
    return request.waited + overhead + work * slowness <=
           work * request.stretch + request.objective;
}

punctuality punctuality_of(const worker_forecast& worker, placement_request request)
{
    if (worker.on_trial)
        request.waited += stall_cost(request.declared);
    if (!in_time(worker.slowness, request, 1.0))
        return punctuality::late;
    const auto slowness = worker.slowness * slowness_error;
    const bool sure =
        in_time(slowness, request, shortest_run) && in_time(slowness, request, longest_run);
    return sure ? punctuality::sure : punctuality::expected;
}

} // namespace

bool worker_forecast::has_place_in_line(const resource_amount& demand) const
{
    return open_tasks > 0 && demand.fits_into(capacity) &&
           cpu_ahead() + demand.cpu_millis <= line_length * demand.cpu_millis;
}

duration worker_forecast::expected_wait(const resource_amount& demand) const
{
    const auto missing = cpu_ahead() + demand.cpu_millis;
    return mean_run * missing / std::max<std::int64_t>(capacity.cpu_millis, 1);
}

std::size_t choose_worker(const std::vector<worker_forecast>& workers,
                          const placement_request& request, double busy)
{
    double slowest = 0.0;
    for (const auto& each : workers)
        slowest = std::max(slowest, each.slowness);
    const std::chrono::duration<double, std::micro> declared = request.declared;
    auto best = workers.size();
    std::tuple<punctuality, double> best_cost;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& candidate = workers[i];
        if (candidate.worker == request.avoided || !candidate.has_room(request.demand))
            continue;
        const auto when = punctuality_of(candidate, request);
        if (when == punctuality::late && !request.accept_late)
            continue;
        // Work that is late anyway ends as early as possible.
        const double spare = when == punctuality::late ? 0.0 : busy;
        const double cost = declared.count() * ((1.0 - spare) * candidate.slowness +
                                                spare * (slowest - candidate.slowness)) +
                            static_cast<double>(candidate.distance.count()) +
                            declared.count() * spread * candidate.reluctance;
        if (best != workers.size() && std::tuple(when, cost) >= best_cost)
            continue;
        best = i;
        best_cost = {when, cost};
    }
    return best;
}

std::size_t choose_line(const std::vector<worker_forecast>& workers,
                        const placement_request& request)
{
    auto best = workers.size();
    std::tuple<punctuality, duration> best_cost;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& candidate = workers[i];
        if (candidate.worker == request.avoided || !candidate.has_place_in_line(request.demand))
            continue;
        auto delayed = request;
        delayed.waited += candidate.expected_wait(request.demand);
        const auto when = punctuality_of(candidate, delayed);
        if (when == punctuality::late)
            continue;
        const std::tuple cost(when, delayed.waited + candidate.distance);
        if (best != workers.size() && cost >= best_cost)
            continue;
        best = i;
        best_cost = cost;
    }
    return best;
}

double busy_share(const std::vector<worker_forecast>& workers)
{
    double capacity = 0.0;
    double free = 0.0;
    for (const auto& each : workers)
    {
        capacity += static_cast<double>(each.capacity.cpu_millis);
        free += static_cast<double>(std::max<std::int64_t>(each.free.cpu_millis, 0));
    }
    return capacity > 0.0 ? std::clamp(1.0 - free / capacity, 0.0, 1.0) : 1.0;
}

} // namespace tarragonlock
