#include "fakes/capacity_bound.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using fakes::max_in_time;
using fakes::offered_job;
using std::chrono::milliseconds;

namespace
{

constexpr instant begin{std::chrono::hours(1)};
constexpr double tolerance = 0.01;

offered_job job(const std::string& queue, int sent_ms, int due_ms, int work_ms)
{
    return {queue, begin + milliseconds(sent_ms), begin + milliseconds(due_ms),
            milliseconds(work_ms), true};
}

double steady(instant)
{
    return 1.0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_bound_tests)

BOOST_AUTO_TEST_CASE(all_jobs_fit_into_an_idle_fleet)
{
    const std::vector jobs{job("a", 0, 500, 100), job("b", 0, 500, 200)};
    auto bound = max_in_time(jobs, steady);
    BOOST_TEST(bound["a"] == 1.0, boost::test_tools::tolerance(tolerance));
    BOOST_TEST(bound["b"] == 1.0, boost::test_tools::tolerance(tolerance));
}

BOOST_AUTO_TEST_CASE(small_jobs_displace_large_ones)
{
    // 400 ms of work, of which 300 ms can be completed in time.
    const std::vector jobs{job("small", 0, 295, 100), job("small", 0, 295, 100),
                           job("large", 0, 295, 200)};
    auto bound = max_in_time(jobs, steady);
    BOOST_TEST(bound["small"] == 2.0, boost::test_tools::tolerance(tolerance));
    BOOST_TEST(bound["large"] == 0.5, boost::test_tools::tolerance(tolerance));
}

BOOST_AUTO_TEST_CASE(job_with_later_due_time_waits_for_a_small_job)
{
    // The large job can wait until the small one is complete.
    const std::vector jobs{job("large", 0, 295, 200), job("small", 0, 95, 100)};
    auto bound = max_in_time(jobs, steady);
    BOOST_TEST(bound["small"] == 1.0, boost::test_tools::tolerance(tolerance));
    BOOST_TEST(bound["large"] == 1.0, boost::test_tools::tolerance(tolerance));
}

BOOST_AUTO_TEST_CASE(lost_worker_contributes_until_it_is_lost)
{
    const std::vector jobs{job("a", 0, 195, 100), job("a", 0, 195, 100)};
    auto bound =
        max_in_time(jobs, [](instant now) { return now < begin + milliseconds(100) ? 1.0 : 0.0; });
    BOOST_TEST(bound["a"] == 1.0, boost::test_tools::tolerance(tolerance));
}

BOOST_AUTO_TEST_SUITE_END()
