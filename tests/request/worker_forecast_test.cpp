#include "tarragonlock/request/worker_forecast.hpp"

#include "tarragonlock/request/job_order.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

worker_forecast worker(double slowness, std::int64_t free_cpu)
{
    worker_forecast forecast;
    forecast.capacity = {16'000, 1024, 0};
    forecast.free = {free_cpu, 1024, 0};
    forecast.slowness = slowness;
    forecast.placeable_tasks = 100;
    return forecast;
}

constexpr resource_amount demand{1600, 64, 0};

/// A task whose allowed response time is 1.6 times its run time plus 60 ms.
leased_placement_request task(int declared_ms, int waited_ms = 0)
{
    return {demand, milliseconds(declared_ms), milliseconds(waited_ms), 1.6, milliseconds(60)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_forecast_tests)

BOOST_AUTO_TEST_CASE(an_idle_fleet_uses_the_fastest_worker)
{
    const std::vector workers{worker(1.6, 16'000), worker(0.6, 16'000), worker(1.0, 16'000)};
    BOOST_TEST(choose_worker(workers, task(100), 0.1) == 1U);
}

BOOST_AUTO_TEST_CASE(a_busy_fleet_leaves_fast_workers_to_long_tasks)
{
    const std::vector workers{worker(1.67, 1600), worker(0.6, 1600), worker(1.0, 1600)};
    BOOST_TEST(choose_worker(workers, task(60), 0.95) == 0U);
    // Here the slow worker would be late.
    BOOST_TEST(choose_worker(workers, task(900), 0.95) == 2U);
}

BOOST_AUTO_TEST_CASE(no_worker_is_chosen_when_all_are_late_or_full)
{
    const std::vector workers{worker(1.67, 1600), worker(1.0, 0)};
    const auto request = task(900);
    BOOST_TEST(choose_worker(workers, request, 0.9) == workers.size());
    auto late = request;
    late.accept_late = true;
    BOOST_TEST(choose_worker(workers, late, 0.9) == 0U);
}

BOOST_AUTO_TEST_CASE(long_tasks_avoid_slow_workers_because_declared_times_may_be_too_short)
{
    // If 700 ms is right, the task ends in time on the slow worker; if it takes 1.5 times as long,
    // it does not.
    const std::vector workers{worker(1.67, 1600), worker(0.6, 1600)};
    BOOST_TEST(choose_worker(workers, task(700), 0.95) == 1U);
    const std::vector only_slow{worker(1.67, 1600), worker(0.6, 0)};
    BOOST_TEST(choose_worker(only_slow, task(700), 0.95) == 0U);
}

BOOST_AUTO_TEST_CASE(late_jobs_rank_after_all_others)
{
    const instant soon{milliseconds(10)};
    const instant later{milliseconds(20)};
    const leased_job_rank late_urgent{true, 0, false, soon, 1};
    const leased_job_rank low{false, 2, true, later, 2};
    const leased_job_rank urgent{false, 0, true, later, 3};
    const leased_job_rank urgent_begun{false, 0, false, later, 4};
    BOOST_TEST((low < late_urgent));
    BOOST_TEST((urgent < low));
    BOOST_TEST((urgent_begun < urgent));
}

BOOST_AUTO_TEST_SUITE_END()
