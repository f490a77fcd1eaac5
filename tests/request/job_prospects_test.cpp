#include "tarragonlock/request/job_prospects.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(job_prospects_tests)

BOOST_AUTO_TEST_CASE(a_job_needs_the_time_of_the_tasks_that_have_to_be_started)
{
    const instant now{std::chrono::hours(1)};
    const instant free{};
    const step_prospect started{milliseconds(400), {}, false, free};
    const step_prospect second{milliseconds(200), {0}, true, free};
    const step_prospect third{milliseconds(100), {1}, true, free};
    BOOST_TEST((earliest_end(now, {started}, 1.0) == now));
    BOOST_TEST((earliest_end(now, {started, second, third}, 1.0) == now + milliseconds(150)));
    BOOST_TEST((earliest_end(now, {started, second, third}, 0.6) == now + milliseconds(90)));
    // Slow workers may be fast again.
    BOOST_TEST((earliest_end(now, {started, second, third}, 7.5) == now + milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(a_task_of_a_lost_agent_is_not_started_before_its_runs_must_have_ended)
{
    const instant now{std::chrono::hours(1)};
    const step_prospect lost{milliseconds(400), {}, true, now + milliseconds(1300)};
    BOOST_TEST((earliest_end(now, {lost}, 1.0) == now + milliseconds(1500)));
    BOOST_TEST((earliest_end(now + milliseconds(1400), {lost}, 1.0) == now + milliseconds(1600)));
}

BOOST_AUTO_TEST_SUITE_END()
