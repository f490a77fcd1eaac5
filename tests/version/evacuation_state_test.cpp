#include "tarragonlock/version/evacuation_state.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

namespace
{

using domains = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_state_tests)

BOOST_AUTO_TEST_CASE(changes_are_applied_in_the_order_of_their_revisions)
{
    evacuation_tracker tracker;
    BOOST_TEST(tracker.apply_change(5, "fd-1", true));
    BOOST_TEST(tracker.apply_change(9, "fd-1", false));
    BOOST_TEST(!tracker.apply_change(5, "fd-1", true));
    BOOST_TEST((tracker.current() == evacuation_state(9, {})));
}

BOOST_AUTO_TEST_CASE(changes_of_one_transaction_are_all_applied)
{
    evacuation_tracker tracker;
    BOOST_TEST(tracker.apply_change(5, "fd-1", true));
    BOOST_TEST(tracker.apply_change(5, "fd-2", true));
    BOOST_TEST((tracker.current() == evacuation_state(5, {"fd-1", "fd-2"})));
}

/// After a lost history, the service reports no deletion of what was removed meanwhile.
BOOST_AUTO_TEST_CASE(a_snapshot_ends_the_evacuations_that_it_lacks)
{
    evacuation_tracker tracker;
    tracker.apply_change(5, "fd-1", true);
    tracker.apply_change(6, "fd-2", true);
    BOOST_TEST(tracker.apply_snapshot(20, {"fd-2"}));
    BOOST_TEST((tracker.current().failure_domains() == domains{"fd-2"}));
}

BOOST_AUTO_TEST_CASE(a_late_snapshot_is_ignored)
{
    evacuation_tracker tracker;
    tracker.apply_copy({20, {"fd-1"}});
    BOOST_TEST(!tracker.apply_snapshot(19, {}));
    BOOST_TEST(tracker.current().contains("fd-1"));
}

BOOST_AUTO_TEST_CASE(only_a_newer_copy_is_applied)
{
    evacuation_tracker tracker;
    tracker.apply_snapshot(20, {});
    BOOST_TEST(!tracker.apply_copy({19, {"fd-1"}}));
    BOOST_TEST(!tracker.apply_copy({20, {"fd-1"}}));
    BOOST_TEST(tracker.current().failure_domains().empty());
    BOOST_TEST(tracker.apply_copy({21, {"fd-1"}}));
    BOOST_TEST(!tracker.apply_change(20, "fd-1", false));
    BOOST_TEST(tracker.current().contains("fd-1"));
}

BOOST_AUTO_TEST_CASE(odd_names_and_too_many_domains_change_nothing)
{
    evacuation_tracker tracker;
    BOOST_TEST(!tracker.apply_change(5, "", true));
    BOOST_TEST(!tracker.apply_change(5, std::string(max_failure_domain_length + 1, 'x'), true));
    domains many;
    for (std::size_t i = 0; i <= max_evacuated_domains; ++i)
        many.insert(std::to_string(i));
    BOOST_TEST(!tracker.apply_copy({6, many}));
    BOOST_TEST((tracker.current() == evacuation_state()));
}

BOOST_AUTO_TEST_SUITE_END()
