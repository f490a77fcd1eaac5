// The history checker reports each kind of violation, and none for a valid history.

#include "fakes/history.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using namespace tarragonlock::test;

namespace
{

submission job(const std::string& id)
{
    submission request;
    request.id = id;
    request.tasks = {{"x", 0}, {"y", 0}};
    return request;
}

answer complete(const std::string& id)
{
    return {id, outcome::complete, reason::none, {expected_result("x"), expected_result("y")}, 0};
}

answer refused(const std::string& id)
{
    return {id, outcome::refused, reason::queue_full, {}, 0};
}

started start(const std::string& id, std::uint32_t index, std::uint64_t version = 0)
{
    return {{id, index, 0}, "w", version, {}};
}

std::size_t violation_count(const history& events)
{
    return check_history(events).size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(history_test)

BOOST_AUTO_TEST_CASE(valid_history_has_no_violations)
{
    BOOST_TEST(violation_count({submitted{1, job("j")}, start("j", 0), start("j", 1),
                                answered{1, complete("j"), {}}, config_seen{"p", 1},
                                config_seen{"p", 2}}) == 0U);
}

BOOST_AUTO_TEST_CASE(each_violation_is_found)
{
    BOOST_TEST(violation_count({submitted{1, job("j")}, start("j", 0), start("j", 0)}) == 1U);
    auto partial = complete("j");
    partial.results.pop_back();
    BOOST_TEST(violation_count({submitted{1, job("j")}, answered{1, partial, {}}}) == 1U);
    auto swapped = complete("j");
    std::swap(swapped.results[0], swapped.results[1]);
    BOOST_TEST(violation_count({submitted{1, job("j")}, answered{1, swapped, {}}}) > 0U);
    BOOST_TEST(violation_count({submitted{1, job("j")}, answered{1, complete("k"), {}}}) == 1U);
    BOOST_TEST(violation_count(
                   {submitted{1, job("j")}, start("j", 0), answered{1, refused("j"), {}}}) == 1U);
    BOOST_TEST(violation_count(
                   {submitted{1, job("j")}, answered{1, refused("j"), {}}, start("j", 0)}) == 1U);
    BOOST_TEST(violation_count({submitted{1, job("j")}, answered{1, complete("j"), {}},
                                answered{1, complete("j"), {}}}) == 1U);
    BOOST_TEST(violation_count({answered{7, complete("j"), {}}}) == 1U);
    BOOST_TEST(violation_count({config_seen{"p", 2}, config_seen{"p", 1}}) == 1U);
    BOOST_TEST(violation_count({submitted{1, job("j")}, start("j", 0, 5), start("j", 1, 4)}) == 1U);
}

BOOST_AUTO_TEST_CASE(refusal_of_a_job_that_started_before_is_found)
{
    BOOST_TEST(violation_count({submitted{1, job("j")}, start("j", 0), submitted{2, job("j")},
                                answered{2, refused("j"), {}}}) == 1U);
}

BOOST_AUTO_TEST_CASE(start_long_after_the_deadline_is_found)
{
    auto late = start("j", 0);
    late.at = instant(std::chrono::seconds(31));
    const received reception{"j", std::chrono::seconds(5), {}};
    BOOST_TEST(violation_count({submitted{1, job("j")}, reception, late}) == 1U);
    late.at = instant(std::chrono::seconds(29));
    BOOST_TEST(violation_count({submitted{1, job("j")}, reception, late}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
