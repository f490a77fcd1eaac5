#include "tarragonlock/connection/adaptive_timeout.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(adaptive_timeout_tests)

BOOST_AUTO_TEST_CASE(fast_responses_keep_the_limit_at_the_minimum)
{
    adaptive_timeout timeout({milliseconds(20), milliseconds(500)});
    for (int i = 0; i < 50; ++i)
        timeout.on_response(std::chrono::microseconds(300));
    BOOST_TEST((timeout.limit() == milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(repeated_timeouts_raise_the_limit_to_the_maximum)
{
    adaptive_timeout timeout({milliseconds(20), milliseconds(500)});
    instant now{std::chrono::hours(1)};
    for (int i = 0; i < 10; ++i)
    {
        now += timeout.limit();
        timeout.on_timeout(now);
    }
    BOOST_TEST((timeout.limit() == milliseconds(500)));
    for (int i = 0; i < 30; ++i)
        timeout.on_response(milliseconds(60));
    BOOST_TEST((timeout.limit() >= milliseconds(100)));
    BOOST_TEST((timeout.limit() <= milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(simultaneous_timeouts_double_the_limit_once)
{
    adaptive_timeout timeout({milliseconds(20), milliseconds(500)});
    const instant now{std::chrono::hours(1)};
    for (int i = 0; i < 8; ++i)
        timeout.on_timeout(now);
    BOOST_TEST((timeout.limit() == milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(a_response_after_a_timeout_resets_the_limit)
{
    adaptive_timeout timeout({milliseconds(20), milliseconds(500)});
    timeout.on_response(milliseconds(1));
    timeout.on_timeout(instant{std::chrono::hours(1)});
    timeout.on_response(milliseconds(1));
    BOOST_TEST((timeout.limit() == milliseconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()
