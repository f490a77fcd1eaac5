#include "tarragonlock/version/loop_store_client.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

/// Stores the handlers of calls, so that a test can answer them at any time and in any order.
class deferred_client : public key_value_client
{
public:
    void list(const std::string& prefix, const std::string& after_key,
              handler<store_page> on_page) override
    {
        prefixes.push_back(prefix);
        pages_after.push_back(after_key);
        lists.push_back(std::move(on_page));
    }
    void watch(const std::string&, std::int64_t after_revision, duration wait,
               handler<store_change_batch> on_changes) override
    {
        watched_after = after_revision;
        watch_wait = wait;
        watches.push_back(std::move(on_changes));
    }
    void write(const std::string&, std::int64_t, const std::string&, std::int64_t,
               handler<swap_result> on_written) override
    {
        writes.push_back(std::move(on_written));
    }
    void grant_lease(duration, handler<std::int64_t> on_granted) override { on_granted(lease); }
    void renew_lease(std::int64_t, handler<bool> on_renewed) override { on_renewed(true); }
    void revoke_lease(std::int64_t) override {}
    void on_tick(instant) override {}
    std::uint64_t call_count() const override { return lists.size(); }

    std::vector<handler<store_page>> lists;
    std::vector<std::string> prefixes;
    std::vector<std::string> pages_after;
    std::vector<handler<swap_result>> writes;
    static constexpr std::int64_t lease = 5;
    std::int64_t watched_after = -1;
    duration watch_wait{};
    std::vector<handler<store_change_batch>> watches;
};

struct fixture
{
    /// Advances the time in steps of a daemon's tick interval.
    void advance(duration length)
    {
        for (const auto end = now + length; now < end; now += milliseconds(20))
            client.on_tick(now);
    }

    static store_page page(const std::string& value, std::int64_t revision, bool truncated = false)
    {
        return {{{"key", value, revision}}, truncated, revision, "key"};
    }

    instant now = process_clock::now();
    deferred_client kv_client;
    std::vector<store_event> events;
    loop_store_client client{
        kv_client, {"prefix/"}, [this](const store_event& event) { events.push_back(event); }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(loop_store_client_tests)

/// Guards against a registration that is gone for good although its lease is renewed: a late write
/// of an earlier process may have bound the key to that process's lease, or the service may have
/// lost it.
BOOST_AUTO_TEST_CASE(registration_whose_key_is_missing_is_written_again)
{
    fixture f;
    f.client.keep_registered("entries/entry-0", "10.1.0.13:7720");
    f.advance(milliseconds(100));
    f.kv_client.lists.at(0)(fixture::page("configuration", 3));
    f.kv_client.writes.at(0)(swap_result{});
    // Renewals succeed all the while. The next list call is the check of the key.
    f.advance(std::chrono::seconds(15));
    BOOST_REQUIRE_EQUAL(f.kv_client.lists.size(), 2U);
    BOOST_TEST(f.kv_client.prefixes.at(1) == "entries/entry-0");
    f.kv_client.lists[1](store_page{{{"entries/entry-01", "10.1.0.14:7720", 4}}, false, 9, ""});
    f.advance(milliseconds(100));
    BOOST_REQUIRE_EQUAL(f.kv_client.writes.size(), 2U);
    f.kv_client.writes[1](swap_result{});

    f.advance(std::chrono::seconds(15));
    BOOST_REQUIRE_EQUAL(f.kv_client.lists.size(), 3U);
    f.kv_client.lists[2](store_page{{{"entries/entry-0", "10.1.0.13:7720", 10}}, false, 11, ""});
    f.advance(std::chrono::seconds(2));
    BOOST_TEST(f.kv_client.writes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_unanswered_read_is_hedged)
{
    fixture f;
    f.advance(milliseconds(300));
    BOOST_TEST(f.kv_client.lists.size() == 1U);
    f.advance(milliseconds(200));
    BOOST_REQUIRE_EQUAL(f.kv_client.lists.size(), 2U);
    f.kv_client.lists[1](fixture::page("new", 7));
    BOOST_REQUIRE_EQUAL(f.events.size(), 1U);
    BOOST_TEST(std::get<store_snapshot>(f.events[0]).items.at(0).value == "new");
    BOOST_TEST(f.kv_client.watched_after == 7);
}

BOOST_AUTO_TEST_CASE(a_read_that_ends_after_another_one_is_ignored)
{
    fixture f;
    f.advance(milliseconds(500));
    f.kv_client.lists.at(1)(fixture::page("new", 7));
    f.kv_client.lists.at(0)(fixture::page("old", 5));
    BOOST_TEST(f.events.size() == 1U);
    BOOST_TEST(f.kv_client.watched_after == 7);
    f.advance(milliseconds(3000));
    BOOST_TEST(f.kv_client.lists.size() == 2U);
}

BOOST_AUTO_TEST_CASE(concurrent_reads_are_limited_and_restart_when_all_have_failed)
{
    fixture f;
    f.advance(milliseconds(6000));
    BOOST_TEST(f.kv_client.lists.size() == 5U);
    for (std::size_t i = 0; i < 5; ++i)
        f.kv_client.lists[i](make_error_code(store_error::unreachable));
    // The client computes the time of its retry from the process clock, which is seconds behind
    // the clock of the test by now.
    f.advance(milliseconds(40));
    BOOST_TEST(f.kv_client.lists.size() == 6U);
    BOOST_TEST(f.events.empty());
}

BOOST_AUTO_TEST_CASE(a_page_without_readable_items_does_not_end_the_read)
{
    fixture f;
    f.advance(milliseconds(100));
    f.kv_client.lists.at(0)(store_page{{}, true, 5, "odd-key"});
    BOOST_REQUIRE_EQUAL(f.kv_client.lists.size(), 2U);
    BOOST_TEST(f.kv_client.pages_after.at(1) == "odd-key");
    f.kv_client.lists[1](fixture::page("rest", 8));
    BOOST_REQUIRE_EQUAL(f.events.size(), 1U);
    BOOST_TEST(std::get<store_snapshot>(f.events[0]).items.at(0).value == "rest");
    BOOST_TEST(std::get<store_snapshot>(f.events[0]).revision == 5);
    BOOST_TEST(f.kv_client.watched_after == 5);
}

BOOST_AUTO_TEST_CASE(pages_of_two_reads_are_not_mixed)
{
    fixture f;
    f.advance(milliseconds(500));
    f.kv_client.lists.at(0)(fixture::page("first", 5, true));
    f.kv_client.lists.at(1)(fixture::page("second", 6, true));
    BOOST_REQUIRE_EQUAL(f.kv_client.lists.size(), 4U);
    f.kv_client.lists[3](fixture::page("rest", 8));
    BOOST_REQUIRE_EQUAL(f.events.size(), 1U);
    const auto& items = std::get<store_snapshot>(f.events[0]).items;
    BOOST_REQUIRE_EQUAL(items.size(), 2U);
    BOOST_TEST(items[0].value == "second");
    BOOST_TEST(f.kv_client.watched_after == 6);
}

/// Guards against a watch that the service never received, or whose answer is lost, and that keeps
/// old state in use: a silent watch must end within the 3 s after which a process that has contact
/// to the service again has to follow it, less a second for its call.
BOOST_AUTO_TEST_CASE(a_watch_is_held_open_for_a_short_time)
{
    fixture f;
    f.advance(milliseconds(100));
    f.kv_client.lists.at(0)(fixture::page("old", 5));
    BOOST_REQUIRE_EQUAL(f.kv_client.watches.size(), 1U);
    BOOST_TEST((f.kv_client.watch_wait <= milliseconds(2000)));
}

/// Guards against a pause in addition to the time that an unanswered watch has taken.
BOOST_AUTO_TEST_CASE(an_unanswered_watch_is_opened_again_at_once)
{
    fixture f;
    f.now -= milliseconds(2500);
    f.advance(milliseconds(100));
    f.kv_client.lists.at(0)(fixture::page("old", 5));
    std::this_thread::sleep_for(milliseconds(320));
    f.kv_client.watches.at(0)(make_error_code(store_error::unreachable));
    f.client.on_tick(process_clock::now());
    BOOST_TEST(f.kv_client.watches.size() == 2U);
}

/// Guards against a call every tick while the service refuses watches.
BOOST_AUTO_TEST_CASE(a_refused_watch_is_opened_again_after_a_pause)
{
    fixture f;
    f.advance(milliseconds(100));
    f.kv_client.lists.at(0)(fixture::page("old", 5));
    f.kv_client.watches.at(0)(make_error_code(store_error::refused));
    f.client.on_tick(process_clock::now());
    BOOST_TEST(f.kv_client.watches.size() == 1U);
    f.client.on_tick(process_clock::now() + milliseconds(400));
    BOOST_TEST(f.kv_client.watches.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
