#include "tarragonlock/process/evacuation_relay.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr instant start_time{std::chrono::hours(1)};
constexpr instant later = start_time + milliseconds(600);

using messages = std::vector<std::pair<channel_id, evacuated_domains>>;

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_relay_tests)

BOOST_AUTO_TEST_CASE(without_evacuated_domains_nothing_is_sent)
{
    evacuation_relay relay;
    relay.on_channel_open(start_time, 1);
    relay.on_snapshot(start_time, 20, {});
    relay.on_snapshot(later, 30, {});
    BOOST_TEST(relay.take_messages(later).empty());
}

BOOST_AUTO_TEST_CASE(a_change_is_sent_to_every_peer_once)
{
    evacuation_relay relay;
    relay.on_channel_open(start_time, 1);
    relay.on_channel_open(start_time, 2);
    relay.on_change(start_time, 20, "fd-1", true);
    const evacuated_domains expected{20, {"fd-1"}};
    BOOST_TEST((relay.take_messages(start_time) == messages{{1, expected}, {2, expected}}));
    BOOST_TEST(relay.take_messages(later).empty());
    relay.on_channel_open(later, 3);
    BOOST_TEST((relay.take_messages(later) == messages{{3, expected}}));
}

/// Guards against a process that starts, or is cut from the service, and never learns of an
/// evacuation that its peers know.
BOOST_AUTO_TEST_CASE(a_copy_is_passed_on_to_the_peers_that_still_lack_it)
{
    evacuation_relay relay;
    for (const channel_id channel : {1, 2, 3})
        relay.on_channel_open(start_time, channel);
    BOOST_TEST(relay.take_messages(start_time).empty());
    BOOST_TEST(relay.on_copy(start_time, 1, {20, {"fd-1"}}));
    BOOST_TEST(relay.take_messages(start_time).empty());
    BOOST_TEST(!relay.on_copy(start_time + milliseconds(50), 2, {20, {"fd-1"}}));
    BOOST_TEST((relay.take_messages(later) == messages{{3, {20, {"fd-1"}}}}));
}

BOOST_AUTO_TEST_CASE(a_peer_with_older_domains_is_corrected)
{
    evacuation_relay relay;
    relay.on_snapshot(start_time, 30, {});
    relay.on_channel_open(start_time, 1);
    BOOST_TEST(relay.take_messages(start_time).empty());
    BOOST_TEST(!relay.on_copy(later, 1, {20, {"fd-1"}}));
    BOOST_TEST((relay.take_messages(later) == messages{{1, {30, {}}}}));
}

BOOST_AUTO_TEST_CASE(a_copy_of_a_lost_channel_is_still_applied)
{
    evacuation_relay relay;
    relay.on_channel_open(start_time, 1);
    relay.on_channel_lost(1);
    BOOST_TEST(relay.on_copy(start_time, 1, {20, {"fd-1"}}));
    BOOST_TEST(relay.take_messages(later).empty());
}

BOOST_AUTO_TEST_SUITE_END()
