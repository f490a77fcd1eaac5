#include "process/stall_detector.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

struct fixture
{
    fixture() { detector.on_activity(now); }

    /// Runs events at the interval of a busy process.
    /// @return whether a stall was reported
    bool run_for(duration length)
    {
        bool stalled = false;
        for (const auto end = now + length; now < end;)
        {
            now += milliseconds(20);
            stalled = detector.on_activity(now) || stalled;
        }
        return stalled;
    }

    stall_detector detector;
    instant now{std::chrono::hours(1)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(stall_detector_tests)

BOOST_AUTO_TEST_CASE(input_of_a_running_process_has_just_arrived)
{
    fixture f;
    BOOST_TEST(!f.run_for(milliseconds(5000)));
    BOOST_TEST((f.detector.earliest_arrival(f.now) == f.now));
    BOOST_TEST(!f.detector.has_backlog());
}

/// Guards against a request that counts as new because the process did not run when it arrived.
BOOST_AUTO_TEST_CASE(input_may_be_as_old_as_the_stall_until_all_of_it_is_read)
{
    fixture f;
    f.run_for(milliseconds(500));
    const auto began = f.now;
    f.now += milliseconds(3500);
    BOOST_TEST(f.detector.on_activity(f.now));
    f.run_for(milliseconds(100));
    BOOST_TEST((f.detector.earliest_arrival(f.now) == began));
    f.detector.on_input_read();
    BOOST_TEST((f.detector.earliest_arrival(f.now) == f.now));
}

BOOST_AUTO_TEST_CASE(a_second_stall_prolongs_the_first)
{
    fixture f;
    const auto began = f.now;
    f.now += milliseconds(1000);
    f.detector.on_activity(f.now);
    f.run_for(milliseconds(100));
    f.now += milliseconds(1000);
    BOOST_TEST(f.detector.on_activity(f.now));
    BOOST_TEST((f.detector.earliest_arrival(f.now) == began));
}

BOOST_AUTO_TEST_CASE(the_backlog_of_an_overloaded_process_ends)
{
    fixture f;
    f.now += milliseconds(3500);
    f.detector.on_activity(f.now);
    f.run_for(milliseconds(900));
    BOOST_TEST(f.detector.has_backlog());
    f.run_for(milliseconds(200));
    BOOST_TEST(!f.detector.has_backlog());
}

BOOST_AUTO_TEST_SUITE_END()
