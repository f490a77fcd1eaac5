// Runs on workers that leave: which are stopped so that their tasks start elsewhere.

#include "fakes/load_patterns.hpp"
#include "tarragonlock/request/departure.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// @return a run that has taken 300 ms for 9 to 10% of its work, and has 2.7 s left
departing_run slow_run(duration caller_waits)
{
    return {milliseconds(300), 9, milliseconds(400), caller_waits};
}

/// @return the jobs of all queues while seven of eleven workers are replaced at short notice
fakes::queue_result run_with_replacements(bool restart_departing_runs, std::uint64_t& departing)
{
    auto options = fakes::load_pattern_named("7 of 11 replaced at short notice");
    options.host.restart_departing_runs = restart_departing_runs;
    fakes::queue_result total;
    for (options.seed = 1; options.seed <= 8; ++options.seed)
    {
        const auto result = fakes::leased_fleet(options).run();
        BOOST_TEST(result.violations.empty());
        departing += result.departing;
        for (const auto& [name, queue] : result.queues)
            total.add(queue);
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(departure_tests)

BOOST_AUTO_TEST_CASE(remaining_time_is_a_lower_bound)
{
    BOOST_TEST((slow_run(seconds(2)).min_remaining() == milliseconds(2700)));
    BOOST_TEST((departing_run{milliseconds(10), 0, {}, {}}.min_remaining() == milliseconds(990)));
    BOOST_TEST((departing_run{milliseconds(10), 100, {}, {}}.min_remaining() == duration(0)));
}

BOOST_AUTO_TEST_CASE(run_that_ends_before_its_worker_leaves_goes_on)
{
    BOOST_TEST(!restart_elsewhere(slow_run(seconds(4)), milliseconds(2800)));
    BOOST_TEST(restart_elsewhere(slow_run(seconds(4)), milliseconds(2600)));
}

BOOST_AUTO_TEST_CASE(run_whose_task_cannot_end_elsewhere_goes_on)
{
    BOOST_TEST(!restart_elsewhere(slow_run(milliseconds(420)), milliseconds(100)));
    BOOST_TEST(restart_elsewhere(slow_run(milliseconds(520)), milliseconds(100)));
    auto undeclared = slow_run(seconds(4));
    undeclared.declared = {};
    BOOST_TEST(!restart_elsewhere(undeclared, duration(0)));
}

BOOST_AUTO_TEST_CASE(run_that_ends_before_a_new_one_goes_on_until_waiting_forfeits_the_new_one)
{
    // 240 ms are left of the run; a new one takes 470 ms.
    departing_run run{milliseconds(160), 39, milliseconds(400), seconds(4)};
    BOOST_TEST(!restart_elsewhere(run, milliseconds(200)));
    BOOST_TEST(!restart_elsewhere(run, milliseconds(-50)));
    run.caller_waits = milliseconds(600);
    BOOST_TEST(restart_elsewhere(run, milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(replaced_workers_cost_fewer_jobs_when_their_runs_start_elsewhere_at_once)
{
    std::uint64_t departing = 0;
    const auto without = run_with_replacements(false, departing);
    BOOST_TEST(departing == 0U);
    const auto with = run_with_replacements(true, departing);
    BOOST_TEST(departing > 0U);
    BOOST_TEST_MESSAGE("in time " << with.in_time << " against " << without.in_time
                                  << ", completed " << with.completed << " against "
                                  << without.completed << " of " << with.jobs);
    BOOST_TEST(with.in_time > without.in_time);
    BOOST_TEST(with.completed >= without.completed);
}

BOOST_AUTO_TEST_SUITE_END()
