#include "tarragonlock/version/route_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

BOOST_AUTO_TEST_SUITE(route_table_tests)

BOOST_AUTO_TEST_CASE(the_rule_with_the_longest_matching_prefix_is_found)
{
    queue_rule wide;
    wide.name = "wide";
    wide.host = "a.example";
    wide.path_prefix = "/x/";
    auto narrow = wide;
    narrow.name = "narrow";
    narrow.path_prefix = "/x/y/";
    const route_table table(3, {wide, narrow});
    BOOST_TEST(table.version() == 3U);
    BOOST_TEST(table.find("a.example", "/x/1")->name == "wide");
    BOOST_TEST(table.find("a.example", "/x/y/1")->name == "narrow");
    BOOST_TEST(table.find("b.example", "/x/1") == nullptr);
    BOOST_TEST(table.find("a.example", "/z/1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
