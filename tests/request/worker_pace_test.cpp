// Workers that turn slow are told apart from runs that take long.

#include "fakes/load_patterns.hpp"
#include "tarragonlock/request/worker_pace.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr instant start{std::chrono::hours(1)};

/// @return the pace of a worker of slowness 1 after many runs
worker_pace usual_pace()
{
    worker_pace pace;
    for (int run = 0; run < 100; ++run)
        pace.on_run_done(start, milliseconds(100), milliseconds(100));
    return pace;
}

std::map<std::string, fakes::queue_result> run_with_slow_workers(bool judge_latest_runs,
                                                                 std::uint64_t& stalled)
{
    auto options = fakes::load_pattern_named("run times with a tail, 3 of 11 turn slow");
    options.host.judge_latest_runs = judge_latest_runs;
    std::map<std::string, fakes::queue_result> total;
    for (options.seed = 1; options.seed <= 6; ++options.seed)
    {
        const auto result = fakes::leased_fleet(options).run();
        BOOST_TEST(result.violations.empty());
        stalled += result.stalled;
        for (const auto& [queue, sum] : result.queues)
            total[queue].add(sum);
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_pace_tests)

BOOST_AUTO_TEST_CASE(worker_is_slow_when_nearly_all_its_runs_are)
{
    const auto pace = usual_pace();
    const auto later = start + seconds(10);
    BOOST_TEST(pace.slowness(later, {7.5, 6.0, 9.0, 7.5}) > 7.0);
    BOOST_TEST(pace.slowness(later, {7.5, 6.0, 9.0}) < 1.1); // too few runs
}

BOOST_AUTO_TEST_CASE(single_long_runs_do_not_make_a_worker_slow)
{
    const auto pace = usual_pace();
    BOOST_TEST(pace.slowness(start + seconds(10), {7.0, 7.0, 1.0, 0.7, 1.4, 0.9}) < 1.1);
    // Runs that ended just before count as well.
    BOOST_TEST(pace.slowness(start, {7.0, 7.0, 7.0, 7.0}) < 1.1);
}

BOOST_AUTO_TEST_CASE(slow_worker_recovers_with_its_first_normal_runs)
{
    auto pace = usual_pace();
    auto now = start + seconds(10);
    for (int run = 0; run < 60; ++run)
        pace.on_run_done(now, milliseconds(750), milliseconds(100));
    BOOST_TEST(pace.usual_slowness() > 5.0);
    for (int run = 0; run < 4; ++run)
        pace.on_run_done(now, milliseconds(100), milliseconds(100));
    BOOST_TEST(pace.slowness(now, {}) < 1.1);
}

BOOST_AUTO_TEST_CASE(worker_without_recent_runs_is_tried_again)
{
    auto pace = usual_pace();
    for (int run = 0; run < 4; ++run)
        pace.on_run_done(start, milliseconds(750), milliseconds(100));
    BOOST_TEST(pace.slowness(start + seconds(1), {}) > 7.0);
    BOOST_TEST(pace.slowness(start + worker_pace::sample_lifetime, {}) < 2.0);
}

BOOST_AUTO_TEST_CASE(progress_bounds_the_slowness_of_a_run)
{
    BOOST_TEST(min_slowness(milliseconds(75), 9, milliseconds(100)) == 7.5,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(min_slowness(milliseconds(75), 100, milliseconds(100)) == 0.75,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(workers_that_turn_slow_get_only_work_that_ends_in_time)
{
    std::uint64_t stalled_with = 0;
    std::uint64_t stalled_without = 0;
    auto with = run_with_slow_workers(true, stalled_with);
    auto without = run_with_slow_workers(false, stalled_without);
    for (const auto& [queue, sum] : with)
        BOOST_TEST_MESSAGE(queue << ": in time " << sum.in_time_share() << ", without "
                                 << without[queue].in_time_share());
    BOOST_TEST_MESSAGE("stalled " << stalled_with << ", without " << stalled_without);
    BOOST_TEST(with["lookup"].in_time_share() > without["lookup"].in_time_share());
    BOOST_TEST(with["hold"].in_time_share() > without["hold"].in_time_share());
}

BOOST_AUTO_TEST_CASE(runs_with_a_long_tail_are_not_taken_for_stalled)
{
    auto options = fakes::load_pattern_named("run times with a tail");
    std::uint64_t stalled = 0;
    std::uint64_t starts = 0;
    for (options.seed = 1; options.seed <= 4; ++options.seed)
    {
        const auto result = fakes::leased_fleet(options).run();
        stalled += result.stalled;
        starts += result.starts;
    }
    BOOST_TEST_MESSAGE("stalled " << stalled << " of " << starts << " starts");
    // No worker stands still in this pattern, so each of these runs was sound.
    BOOST_TEST(stalled * 10'000 <= starts);
}

BOOST_AUTO_TEST_SUITE_END()
