#include "tarragonlock/connection/connection_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using limit = connection_budget::limit;

namespace
{

constexpr instant start{};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_budget_tests)

/// Load pattern: bodies of legal size that stop just short of their end, beside ordinary requests.
BOOST_AUTO_TEST_CASE(the_largest_request_that_has_stopped_goes_first)
{
    connection_budget budget({1000'000, 100, 0});
    const auto stopped = budget.open(start);
    budget.update(stopped, connection_phase::receiving, 400'000, start);
    const auto moving = budget.open(start);
    budget.update(moving, connection_phase::receiving, 500'000, start);
    const auto small = budget.open(start);
    budget.update(small, connection_phase::receiving, 2000, start);
    BOOST_TEST(!budget.next_to_close(start + seconds(2)).has_value());
    const auto arrival = budget.open(start + seconds(2));
    budget.update(arrival, connection_phase::receiving, 200'000, start + seconds(2));
    budget.on_progress(moving, start + seconds(2));
    BOOST_TEST((budget.next_to_close(start + seconds(2)) ==
                connection_budget::closing{stopped, limit::memory}));
    budget.close(stopped);
    BOOST_TEST(!budget.next_to_close(start + seconds(2)).has_value());
    BOOST_TEST(budget.bytes() == 702'000U);
}

BOOST_AUTO_TEST_CASE(a_request_being_served_is_never_closed)
{
    connection_budget budget({1000, 2, 0});
    const auto served = budget.open(start);
    budget.update(served, connection_phase::serving, 900, start);
    BOOST_TEST(budget.can_serve(100));
    BOOST_TEST(!budget.can_serve(101));
    const auto answered = budget.open(start);
    budget.update(answered, connection_phase::sending, 200, start + seconds(60));
    BOOST_TEST((budget.next_to_close(start + seconds(60)) ==
                connection_budget::closing{answered, limit::memory}));
    budget.close(answered);
    budget.update(served, connection_phase::serving, 2000, start + seconds(60));
    BOOST_TEST(!budget.next_to_close(start + seconds(60)).has_value());
    budget.update(served, connection_phase::idle, 0, start + seconds(61));
    BOOST_TEST(budget.can_serve(1000));
}

/// Load pattern: a crowd that opens connections and says nothing.
BOOST_AUTO_TEST_CASE(silent_connections_make_room_for_new_ones)
{
    connection_budget budget({1000'000, 3, 1});
    const auto silent = budget.open(start);
    const auto active = budget.open(start);
    budget.on_progress(active, start + seconds(5));
    BOOST_TEST(!budget.next_to_close(start + seconds(5)).has_value());
    const auto arrival = budget.open(start + seconds(5));
    BOOST_TEST((budget.next_to_close(start + seconds(5)) ==
                connection_budget::closing{silent, limit::connections}));
    budget.close(silent);
    BOOST_TEST(!budget.next_to_close(start + seconds(5)).has_value());
    BOOST_TEST(budget.connections() == 2U);
    budget.close(arrival);
}

BOOST_AUTO_TEST_CASE(reserved_connections_are_free_while_callers_wait_on_all_others)
{
    connection_budget budget({1000'000, 3, 1});
    for (int i = 0; i < 2; ++i)
        budget.update(budget.open(start), connection_phase::serving, 10, start);
    const auto probe = budget.open(start, true);
    BOOST_TEST(!budget.next_to_close(start).has_value());
    const auto caller = budget.open(start);
    BOOST_TEST(
        (budget.next_to_close(start) == connection_budget::closing{caller, limit::connections}));
    budget.close(caller);
    budget.close(probe);
    BOOST_TEST(budget.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(limits_leave_room_for_files_and_the_process_itself)
{
    const auto small = connection_limits::of_host(64, 300);
    BOOST_TEST(small.max_bytes == 16U << 20U);
    BOOST_TEST(small.max_connections == 60U);
    BOOST_TEST(small.reserved_connections == 7U);
    const auto usual = connection_limits::of_host(160, 4100);
    BOOST_TEST(usual.max_connections == 3772U);
    BOOST_TEST(connection_limits::of_host(32, 10).max_connections > 0U);
}

/// Load pattern: clients that send a few bytes at a time, beside slow ones that go on.
BOOST_AUTO_TEST_CASE(a_transfer_is_overdue_without_a_minimum_of_progress)
{
    transfer_progress trickle;
    transfer_progress slow;
    trickle.begin(start);
    slow.begin(start);
    for (int second = 1; second <= 60; ++second)
    {
        const auto now = start + seconds(second);
        trickle.add(now, 10, 1024);
        slow.add(now, 300, 1024);
        BOOST_TEST(!slow.is_overdue(now, seconds(15)));
    }
    BOOST_TEST(trickle.is_overdue(start + seconds(60), seconds(15)));
    BOOST_TEST(!trickle.is_overdue(start + seconds(15), seconds(15)));
}

/// Load pattern: clients that imitate an agent, then stop inside a long frame or read nothing.
BOOST_AUTO_TEST_CASE(channels_that_hold_much_count_as_clients)
{
    constexpr std::uint64_t little = 1000;
    constexpr std::uint64_t much = 1'000'000;
    BOOST_TEST((phase_of({false, 0, 0}) == connection_phase::receiving));
    BOOST_TEST((phase_of({true, little, little}) == connection_phase::serving));
    BOOST_TEST((phase_of({true, much, 0}) == connection_phase::receiving));
    BOOST_TEST((phase_of({true, 0, much}) == connection_phase::sending));
}

BOOST_AUTO_TEST_SUITE_END()
