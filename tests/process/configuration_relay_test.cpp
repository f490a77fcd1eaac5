#include "tarragonlock/process/configuration_relay.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr instant start_time{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_relay_tests)

BOOST_AUTO_TEST_CASE(one_of_many_peers_is_asked)
{
    configuration_relay relay;
    std::size_t asked = 0;
    for (channel_id channel = 1; channel <= 40; ++channel)
    {
        relay.on_notice(channel, 7);
        asked += relay.next_peer_to_ask(start_time) ? 1 : 0;
    }
    BOOST_TEST(asked == 1U);
    relay.store_if_newer(start_time, {7, "text"});
    BOOST_TEST(!relay.next_peer_to_ask(start_time + std::chrono::seconds(5)));
    BOOST_TEST(relay.current().version == 7U);
}

BOOST_AUTO_TEST_CASE(the_next_peer_is_asked_when_no_answer_comes)
{
    configuration_relay relay;
    relay.on_notice(1, 7);
    relay.on_notice(2, 7);
    BOOST_TEST((relay.next_peer_to_ask(start_time) == channel_id{1}));
    BOOST_TEST(!relay.next_peer_to_ask(start_time + milliseconds(100)));
    BOOST_TEST((relay.next_peer_to_ask(start_time + milliseconds(500)) == channel_id{2}));
}

BOOST_AUTO_TEST_CASE(the_next_peer_is_asked_at_once_when_the_first_is_lost)
{
    configuration_relay relay;
    relay.on_notice(1, 7);
    relay.on_notice(2, 7);
    BOOST_TEST((relay.next_peer_to_ask(start_time) == channel_id{1}));
    relay.on_channel_lost(1);
    BOOST_TEST((relay.next_peer_to_ask(start_time) == channel_id{2}));
}

BOOST_AUTO_TEST_CASE(an_old_version_is_neither_asked_for_nor_stored)
{
    configuration_relay relay;
    relay.store_if_newer(start_time, {7, "new"});
    relay.on_notice(1, 7);
    relay.on_notice(2, 6);
    BOOST_TEST(!relay.next_peer_to_ask(start_time));
    relay.store_if_newer(start_time, {6, "old"});
    BOOST_TEST(relay.current().document == "new");
}

/// Guards against an entry that the store doesn't answer and that stays on an old version though
/// its agents have the new one.
BOOST_AUTO_TEST_CASE(peers_without_the_new_version_are_notified_once)
{
    configuration_relay relay;
    for (const channel_id channel : {1, 2, 3})
        relay.on_channel_open(channel);
    relay.on_notice(1, 7);
    relay.store_if_newer(start_time, {7, "text"});
    BOOST_TEST(relay.take_peers_to_notify(start_time + milliseconds(100)).empty());
    relay.on_notice(3, 7);
    const auto later = start_time + milliseconds(1000);
    BOOST_TEST((relay.take_peers_to_notify(later) == std::vector<channel_id>{2}));
    BOOST_TEST(relay.take_peers_to_notify(later).empty());
    relay.store_if_newer(later, {9, "newer"});
    BOOST_TEST(relay.take_peers_to_notify(later + milliseconds(1000)).size() == 3U);
}

/// Guards against a peer that requests the document again and again and reads none of the copies.
BOOST_AUTO_TEST_CASE(a_channel_is_sent_each_version_once)
{
    configuration_relay relay;
    BOOST_TEST(!relay.copy_for(1).has_value());
    relay.store_if_newer(start_time, {7, "text"});
    BOOST_TEST((relay.copy_for(1) == configuration_copy{7, "text"}));
    BOOST_TEST(!relay.copy_for(1).has_value());
    BOOST_TEST(relay.copy_for(2).has_value());
    relay.store_if_newer(start_time, {8, "newer"});
    BOOST_TEST((relay.copy_for(1) == configuration_copy{8, "newer"}));
    relay.on_channel_lost(1);
    BOOST_TEST(relay.copy_for(1).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
