#include "tarragonlock/request/worker_forecast.hpp"

#include "tarragonlock/request/stall_limit.hpp"

#include <algorithm>
#include <tuple>

namespace tarragonlock
{

namespace
{

/// Actual run times lie between these factors of the declared ones; the declarations of callers are
/// off by 40% and more.
constexpr double min_run_factor = 0.65;
constexpr double max_run_factor = 1.5;
/// The estimated slowness is off by a few percent, because it is derived from declared run times.
constexpr double slowness_error_factor = 1.08;
/// Weight of the tie-break penalty, as a share of the declared run time. With twelve entries, 0.1
/// places more tasks on workers that other entries have filled, and 0.6 more on slow workers.
constexpr double tie_break_weight = 0.3;
/// Added latency of a worker outside the entry's failure domain.
constexpr duration cross_domain_latency = std::chrono::milliseconds(4);
/// How much faster a remote worker must be to be preferred, as a share of the declared run time.
constexpr double cross_domain_weight = 0.5;
/// Most tasks of the same or a higher priority that may wait at a worker.
constexpr std::int64_t max_waiting_tasks = 2;
/// Time for messages and for starting the task.
constexpr auto start_overhead = std::chrono::milliseconds(10);

enum class timeliness : std::uint8_t
{
    sure,     ///< in time even if the declared run time is far off
    expected, ///< in time if the declared run time is right
    late
};

/// Time after which a stalled run has been detected and stopped.
duration stall_recovery_time(duration declared)
{
    constexpr duration stop_time = std::chrono::milliseconds(50);
    return stall_limit(declared) + stop_time;
}

/// @param slowness  slowness of the worker
/// @param factor    actual run time divided by the declared one
/// @return whether the response time stays within the allowed one
bool in_time(double slowness, const leased_placement_request& request, double factor)
{
    const std::chrono::duration<double, std::micro> work = request.declared * factor;
    return request.waited + start_overhead + work * slowness <=
           work * request.stretch + request.objective;
}

timeliness timeliness_of(const worker_forecast& worker, leased_placement_request request)
{
    if (worker.on_probation)
        request.waited += stall_recovery_time(request.declared);
    if (!in_time(worker.slowness, request, 1.0))
        return timeliness::late;
    const auto slowness = worker.slowness * slowness_error_factor;
    const bool sure =
        in_time(slowness, request, min_run_factor) && in_time(slowness, request, max_run_factor);
    return sure ? timeliness::sure : timeliness::expected;
}

/// @return cost in microseconds of placing a task outside the entry's failure domain, 0 inside it
double cross_domain_cost(const worker_forecast& worker,
                         std::chrono::duration<double, std::micro> declared)
{
    if (!worker.remote)
        return 0.0;
    return static_cast<double>(cross_domain_latency.count()) +
           declared.count() * cross_domain_weight;
}

} // namespace

bool worker_forecast::can_queue(const resource_amount& demand) const
{
    return placeable_tasks > 0 && demand.fits_into(capacity) &&
           queued_cpu_ahead() + demand.cpu_millis <= max_waiting_tasks * demand.cpu_millis;
}

duration worker_forecast::expected_wait(const resource_amount& demand) const
{
    const auto missing = queued_cpu_ahead() + demand.cpu_millis;
    return mean_run * missing / std::max<std::int64_t>(capacity.cpu_millis, 1);
}

std::size_t choose_worker(const std::vector<worker_forecast>& workers,
                          const leased_placement_request& request, double utilization)
{
    double slowest = 0.0;
    for (const auto& each : workers)
        slowest = std::max(slowest, each.slowness);
    const std::chrono::duration<double, std::micro> declared = request.declared;
    auto best = workers.size();
    std::tuple<timeliness, double> best_cost;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& candidate = workers[i];
        if (candidate.worker == request.excluded_worker ||
            !candidate.has_free_capacity(request.demand))
            continue;
        const auto timing = timeliness_of(candidate, request);
        if (timing == timeliness::late && !request.accept_late)
            continue;
        // A task that is late anyway is placed where it ends first.
        const double sparing_weight = timing == timeliness::late ? 0.0 : utilization;
        const double cost = declared.count() * ((1.0 - sparing_weight) * candidate.slowness +
                                                sparing_weight * (slowest - candidate.slowness)) +
                            cross_domain_cost(candidate, declared) +
                            declared.count() * tie_break_weight * candidate.tie_break_penalty;
        if (best != workers.size() && std::tuple(timing, cost) >= best_cost)
            continue;
        best = i;
        best_cost = {timing, cost};
    }
    return best;
}

std::size_t choose_worker_to_queue_at(const std::vector<worker_forecast>& workers,
                                      const leased_placement_request& request)
{
    auto best = workers.size();
    std::tuple<timeliness, duration> best_cost;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& candidate = workers[i];
        if (candidate.worker == request.excluded_worker || !candidate.can_queue(request.demand))
            continue;
        auto delayed = request;
        delayed.waited += candidate.expected_wait(request.demand);
        const auto timing = timeliness_of(candidate, delayed);
        if (timing == timeliness::late)
            continue;
        const std::tuple cost(timing, delayed.waited +
                                          (candidate.remote ? cross_domain_latency : duration{}));
        if (best != workers.size() && cost >= best_cost)
            continue;
        best = i;
        best_cost = cost;
    }
    return best;
}

double cpu_utilization(const std::vector<worker_forecast>& workers)
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
