#include "tarragonlock/process/worker_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(worker_health_tests)

BOOST_AUTO_TEST_CASE(failures_of_a_single_job_leave_the_worker_sound)
{
    worker_health health;
    const instant now{std::chrono::hours(1)};
    for (int i = 0; i < 10; ++i)
        health.on_failure(now, "poison");
    BOOST_TEST((health.condition(now) == worker_condition::healthy));
}

BOOST_AUTO_TEST_CASE(failures_of_several_jobs_in_a_row_suspend_the_worker)
{
    worker_health health;
    instant now{std::chrono::hours(1)};
    for (const auto* job : {"a", "b", "c", "d"})
        health.on_failure(now, job);
    BOOST_TEST((health.condition(now) == worker_condition::paused));
    now += milliseconds(500);
    BOOST_TEST((health.condition(now) == worker_condition::probation));
    health.on_success();
    BOOST_TEST((health.condition(now) == worker_condition::healthy));
}

BOOST_AUTO_TEST_CASE(successful_run_clears_earlier_failures)
{
    worker_health health;
    const instant now{std::chrono::hours(1)};
    health.on_failure(now, "a");
    health.on_failure(now, "b");
    health.on_success();
    health.on_failure(now, "c");
    BOOST_TEST((health.condition(now) == worker_condition::healthy));
}

BOOST_AUTO_TEST_CASE(failed_trial_doubles_the_suspension_up_to_two_seconds)
{
    worker_health health;
    instant now{std::chrono::hours(1)};
    for (const auto* job : {"a", "b", "c"})
        health.on_failure(now, job);
    for (const auto suspension_ms : {500, 1000, 2000, 2000})
    {
        BOOST_TEST(
            (health.condition(now + milliseconds(suspension_ms - 1)) == worker_condition::paused));
        now += milliseconds(suspension_ms);
        BOOST_TEST((health.condition(now) == worker_condition::probation));
        health.on_failure(now, "trial");
    }
}

BOOST_AUTO_TEST_SUITE_END()
