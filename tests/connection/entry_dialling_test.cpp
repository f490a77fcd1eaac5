#include "tarragonlock/connection/entry_dialling.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const instant start{std::chrono::hours(1)};

bool is(instant now, const entry_contact& contact, dial_action action)
{
    return next_dial(now, contact) == action;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_dialling_tests)

BOOST_AUTO_TEST_CASE(listed_entries_are_dialled_at_short_intervals)
{
    for (const auto& contact : {entry_contact{true, false, false, {}, start},
                                entry_contact{false, true, false, {}, start}})
    {
        BOOST_TEST(is(start + milliseconds(99), contact, dial_action::wait));
        BOOST_TEST(is(start + milliseconds(100), contact, dial_action::dial));
        BOOST_TEST(is(start + seconds(600), contact, dial_action::dial));
    }
    BOOST_TEST(
        is(start + seconds(1), entry_contact{false, false, true, {}, start}, dial_action::wait));
}

BOOST_AUTO_TEST_CASE(an_entry_that_removed_its_key_is_dialled_for_a_while)
{
    const entry_contact gone{false, false, false, start, start};
    BOOST_TEST(is(start + milliseconds(499), gone, dial_action::wait));
    BOOST_TEST(is(start + milliseconds(500), gone, dial_action::dial));
    BOOST_TEST(is(start + seconds(60), gone, dial_action::dial));
    BOOST_TEST(is(start + seconds(61), gone, dial_action::forget));
}

BOOST_AUTO_TEST_CASE(an_address_that_never_answered_is_forgotten_with_its_key)
{
    BOOST_TEST(is(start, entry_contact{false, false, false, {}, start}, dial_action::forget));
}

BOOST_AUTO_TEST_SUITE_END()
