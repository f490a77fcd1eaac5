#include "tarragonlock/request/cold_start.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

BOOST_AUTO_TEST_SUITE(cold_start_tests)

BOOST_AUTO_TEST_CASE(a_few_runs_teach_the_factor)
{
    cold_start cold;
    BOOST_TEST(cold.factor() > 1.0);
    for (int run = 0; run < 15; ++run)
        cold.record(3.0);
    BOOST_TEST(cold.factor() > 2.8);
    for (int run = 0; run < 15; ++run)
        cold.record(0.4);
    BOOST_TEST(cold.factor() >= 1.0);
    BOOST_TEST(cold.factor() < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()
