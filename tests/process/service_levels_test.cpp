#include "tarragonlock/process/service_levels.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr instant now{std::chrono::hours(1)};

void record(service_levels& levels, const std::string& service, const std::string& team)
{
    levels.record(now, {service, team, 5}, {}, outcome::refused, milliseconds(1));
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_levels_tests)

/// Load pattern: submissions that each name another team. Guards against an entry that runs out of
/// memory, and whose status page has a row for each name that was ever sent.
BOOST_AUTO_TEST_CASE(names_without_end_are_counted_together)
{
    service_levels levels;
    record(levels, "clearing", "buyers");
    constexpr std::uint64_t names = 20'000;
    for (std::uint64_t i = 0; i < names; ++i)
        record(levels, "clearing", "team-" + std::to_string(i));
    record(levels, "clearing", "buyers");
    const auto summaries = levels.summaries(now);
    BOOST_TEST(summaries.size() < 2000U);
    std::uint64_t total = 0;
    for (const auto& level : summaries)
    {
        total += level.last_hour.total;
        if (level.key.team == "buyers")
            BOOST_TEST(level.last_hour.total == 2U);
    }
    BOOST_TEST(total == names + 2);
}

/// Guards against names that end a line of the metrics, or the label that holds them, and so stand
/// for other series.
BOOST_AUTO_TEST_CASE(names_are_escaped_in_metrics)
{
    service_levels levels;
    record(levels, "a\"} 1\nforged{x=\"", "b\\");
    const auto text = levels.metrics();
    BOOST_TEST(text.find("\nforged") == std::string::npos);
    BOOST_TEST(text.find(R"(service="a\"} 1\nforged{x=\"",team="b\\")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
