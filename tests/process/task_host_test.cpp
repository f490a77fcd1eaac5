#include "tarragonlock/process/task_host.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr channel_id entry_a = 1;
constexpr channel_id entry_b = 2;
constexpr std::int64_t first_start_time_ms = 1000;

/// An agent whose worker has the capacity for two tasks, with channels to two entries.
struct fixture
{
    explicit fixture(task_host_mechanisms mechanisms = {}) : mechanisms(mechanisms)
    {
        restart_agent();
        answer_renewals({});
        collect_effects();
    }

    /// Replaces the agent by a new process, which has received no listing yet.
    void restart_agent()
    {
        task_host_options options;
        options.name = "worker-0";
        options.incarnation = 7;
        options.mechanisms = mechanisms;
        host = std::make_unique<task_host>(options);
        host->on_announcement(now, announcement(first_start_time_ms));
        host->on_channel_open(now, entry_a);
        host->on_channel_open(now, entry_b);
        collect_effects();
    }

    worker_announcement announcement(std::int64_t start_time_ms)
    {
        worker_announcement announced;
        announced.id = "i-1";
        announced.service = "clearing";
        announced.capacity = {3200, 1024, 0};
        announced.accepting = true;
        announced.clock_ms = 5000;
        announced.start_time_ms = start_time_ms;
        announced.sequence = ++sequence;
        return announced;
    }

    void collect_effects()
    {
        host->send_load_reports(now);
        for (auto& effect : host->take_effects())
        {
            if (const auto* start = std::get_if<start_request>(&effect))
                starts.push_back(*start);
            else if (const auto* stop = std::get_if<stop_request>(&effect))
                stops.push_back(*stop);
            else if (const auto* renewal = std::get_if<renewal_request>(&effect))
                renewals.push_back(*renewal);
            else if (const auto* message = std::get_if<to_entry>(&effect))
            {
                if (const auto* end = std::get_if<task_end>(&message->body))
                    ends.push_back(*end);
                if (const auto* description = std::get_if<worker_description>(&message->body))
                    descriptions[message->channel] = *description;
                if (const auto* report = std::get_if<agent_report>(&message->body))
                {
                    last_report = *report;
                    ++reports;
                    ++reports_by_channel[message->channel];
                }
            }
        }
    }

    void answer_renewals(const run_listing& listing)
    {
        collect_effects();
        for (const auto& renewal : std::exchange(renewals, {}))
        {
            auto reply = listing;
            reply.clock_ms = std::max<std::int64_t>(reply.clock_ms, 5000);
            reply.start_time_ms = start_time_ms;
            host->on_renewal_reply(now, renewal.number, reply);
        }
        collect_effects();
    }

    /// Advances the clock; the worker answers no renewal.
    void advance_unanswered(duration length)
    {
        for (const auto end = now + length; now < end;)
        {
            advance(milliseconds(10), {entry_a, entry_b});
            for (const auto& renewal : std::exchange(renewals, {}))
                host->on_renewal_reply(now, renewal.number, renewal_failure::no_answer);
        }
    }

    /// Places a task every 10 ms; the worker refuses its start as unhealthy, and all renewals.
    void refuse_tasks(duration length)
    {
        const auto end = now + length;
        for (int number = 0; now < end; ++number)
        {
            const auto sent_before = starts.size();
            place(entry_a, "refused-" + std::to_string(number), 1, 0, 0);
            if (starts.size() > sent_before)
                host->on_start_reply(now, starts.back().run, start_reply::unavailable, 0);
            advance_unanswered(milliseconds(10));
        }
        ends.clear();
    }

    void place(channel_id channel, const std::string& job, std::uint32_t tasks = 1,
               std::uint32_t priority = 0, std::uint32_t start_within_ms = 1000,
               std::uint32_t caller_waits_ms = 4000)
    {
        place_tasks request;
        request.job = job;
        request.demand = {1600, 64, 0};
        request.declared_ms = 200;
        request.priority = priority;
        request.start_within_ms = start_within_ms;
        request.caller_waits_ms = caller_waits_ms;
        for (std::uint32_t i = 0; i < tasks; ++i)
            request.tasks.push_back({i, 1});
        host->on_message(now, channel, request);
        collect_effects();
    }

    /// Starts tasks of an entry, which withdraws their job once they run.
    void run_and_withdraw(const std::string& job, std::uint32_t tasks = 1)
    {
        place(entry_a, job, tasks);
        for (const auto& start : starts)
            host->on_start_reply(now, start.run, start_reply::accepted, 5000);
        host->on_message(now, entry_a, withdraw_job{job});
        collect_effects();
    }

    /// Advances the clock; the given entries echo the stamps of the agent's reports.
    void advance(duration length, const std::vector<channel_id>& responding)
    {
        for (const auto end = now + length; now < end; now += milliseconds(10))
        {
            host->on_tick(now);
            collect_effects();
            for (const auto channel : responding)
                host->on_message(
                    now, channel,
                    lease_renewal{static_cast<std::uint64_t>(now.time_since_epoch().count())});
        }
        collect_effects();
    }

    task_host_mechanisms mechanisms;
    instant now{std::chrono::hours(1)};
    std::int64_t start_time_ms = first_start_time_ms;
    std::uint64_t sequence = 0;
    std::unique_ptr<task_host> host;
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<renewal_request> renewals;
    std::map<channel_id, int> reports_by_channel;
    /// Last description sent to each entry.
    std::map<channel_id, worker_description> descriptions;
    std::vector<task_end> ends;
    agent_report last_report;
    std::size_t reports = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(task_host_tests)

BOOST_AUTO_TEST_CASE(starts_only_tasks_that_fit_the_free_resources)
{
    fixture f;
    f.place(entry_a, "one", 3);
    BOOST_TEST(f.starts.size() == 2U);
    BOOST_TEST(f.host->waiting() == 1U);
    for (const auto& start : f.starts)
        f.host->on_start_reply(f.now, start.run, start_reply::accepted, 5000);
    f.now += milliseconds(100);
    f.host->on_tick(f.now);
    run_listing listing;
    listing.running = {{f.starts[1].run}};
    listing.ended = {{1, f.starts[0].run, run_end_kind::done}};
    f.answer_renewals(listing);
    BOOST_TEST(f.starts.size() == 3U);
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST((f.ends[0].kind == task_end_kind::done));
}

// The worker leaves while the run has made progress, but can't end before.
BOOST_AUTO_TEST_CASE(run_that_outlives_its_worker_is_stopped_while_its_caller_waits_for_a_new_one)
{
    for (const auto& [caller_waits_ms, stops] :
         std::map<std::uint32_t, std::size_t>{{1000, 1}, {300, 0}})
    {
        fixture f;
        f.place(entry_a, "one", 1, 0, 1000, caller_waits_ms);
        f.host->on_start_reply(f.now, f.starts[0].run, start_reply::accepted, 5000);
        f.advance(milliseconds(50), {entry_a, entry_b});
        auto leaving = f.announcement(first_start_time_ms);
        leaving.accepting = false;
        leaving.leaves_after = milliseconds(300);
        f.host->on_announcement(f.now, leaving);
        run_listing listing;
        listing.running = {{f.starts[0].run, 4}};
        f.answer_renewals(listing);
        BOOST_TEST(f.stops.size() == stops);
        BOOST_TEST(f.host->counters().departing == stops);
        BOOST_TEST(f.host->counters().stalled == 0U);
    }
}

BOOST_AUTO_TEST_CASE(run_being_stopped_keeps_its_resources)
{
    fixture f;
    f.place(entry_a, "one", 2);
    for (const auto& start : f.starts)
        f.host->on_start_reply(f.now, start.run, start_reply::accepted, 5000);
    f.place(entry_b, "two", 1);
    f.host->on_message(f.now, entry_a, withdraw_job{"one"});
    f.collect_effects();
    BOOST_TEST(f.stops.size() == 2U);
    BOOST_TEST(f.starts.size() == 2U);
    for (const auto& stop : f.stops)
        f.host->on_stop_reply(f.now, stop.run, stop_reply::accepted);
    f.collect_effects();
    BOOST_TEST(f.starts.size() == 2U);
    f.advance(milliseconds(60), {entry_a, entry_b});
    f.answer_renewals({});
    BOOST_TEST(f.starts.size() == 3U);
}

BOOST_AUTO_TEST_CASE(urgent_tasks_start_first)
{
    fixture f;
    f.place(entry_a, "running", 2);
    f.place(entry_a, "low", 1, 2);
    f.place(entry_b, "high", 1, 0);
    for (const auto& start : f.starts)
        f.host->on_start_reply(f.now, start.run, start_reply::accepted, 5000);
    f.now += milliseconds(50);
    f.host->on_tick(f.now);
    run_listing listing;
    listing.running = {{f.starts[1].run}};
    listing.ended = {{1, f.starts[0].run, run_end_kind::done}};
    f.answer_renewals(listing);
    BOOST_REQUIRE_EQUAL(f.starts.size(), 3U);
    BOOST_TEST(f.starts[2].run.job == "high");
}

BOOST_AUTO_TEST_CASE(unanswered_start_keeps_its_resources_until_its_stop_is_confirmed)
{
    fixture f;
    f.place(entry_a, "one");
    f.answer_renewals({});
    BOOST_TEST(f.stops.empty());
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::no_answer, 0);
    f.collect_effects();
    BOOST_REQUIRE(!f.renewals.empty());
    BOOST_TEST(f.renewals.back().wait_ms == 0U);
    f.answer_renewals({});
    BOOST_REQUIRE_EQUAL(f.stops.size(), 1U);
    BOOST_TEST((f.stops[0].run == f.starts[0].run));
    BOOST_TEST(f.ends.empty());
    f.host->on_stop_reply(f.now, f.stops[0].run, stop_reply::no_answer);
    f.advance(milliseconds(70), {entry_a, entry_b});
    BOOST_TEST(f.stops.size() >= 2U);
    f.host->on_stop_reply(f.now, f.stops[0].run, stop_reply::accepted);
    f.advance(milliseconds(60), {entry_a, entry_b});
    f.answer_renewals({});
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST((f.ends[0].kind == task_end_kind::stopped));
}

BOOST_AUTO_TEST_CASE(run_with_unanswered_start_continues_when_listed)
{
    fixture f;
    f.place(entry_a, "one");
    f.answer_renewals({});
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::no_answer, 0);
    run_listing listing;
    listing.running = {{f.starts[0].run, 10}};
    f.answer_renewals(listing);
    BOOST_TEST(f.stops.empty());
    listing.running.clear();
    listing.ended = {{1, f.starts[0].run, run_end_kind::done}};
    f.answer_renewals(listing);
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST((f.ends[0].kind == task_end_kind::done));
}

BOOST_AUTO_TEST_CASE(end_of_a_stopped_unanswered_start_is_reported_without_a_long_poll)
{
    fixture f;
    f.place(entry_a, "one");
    f.answer_renewals({});
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::no_answer, 0);
    f.answer_renewals({});
    BOOST_REQUIRE_EQUAL(f.stops.size(), 1U);
    f.host->on_stop_reply(f.now, f.stops[0].run, stop_reply::accepted);
    f.collect_effects();
    BOOST_REQUIRE(!f.renewals.empty());
    BOOST_TEST(f.renewals.back().wait_ms == 0U);
    f.answer_renewals({});
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST((f.ends[0].kind == task_end_kind::stopped));
}

BOOST_AUTO_TEST_CASE(stop_is_resent_after_its_reply_with_a_higher_fence_when_fenced)
{
    fixture f;
    f.run_and_withdraw("one");
    BOOST_REQUIRE_EQUAL(f.stops.size(), 1U);
    f.advance(milliseconds(200), {entry_a, entry_b});
    BOOST_TEST(f.stops.size() == 1U);
    f.host->on_stop_reply(f.now, f.stops[0].run, stop_reply::fenced);
    f.advance(milliseconds(60), {entry_a, entry_b});
    BOOST_REQUIRE_EQUAL(f.stops.size(), 2U);
    BOOST_TEST(f.stops[1].fence > f.stops[0].fence);
}

// Guards against a fence that overflows, below which the worker refuses the agent for good.
BOOST_AUTO_TEST_CASE(fence_does_not_overflow_while_a_worker_refuses_stops)
{
    fixture f;
    f.run_and_withdraw("one");
    constexpr std::size_t refusals = 80; // more than the fence has bits
    while (f.stops.size() < refusals)
    {
        const auto sent_before = f.stops.size();
        f.host->on_stop_reply(f.now, f.stops.back().run, stop_reply::fenced);
        f.advance(milliseconds(60), {entry_a, entry_b});
        BOOST_REQUIRE(f.stops.size() > sent_before);
        BOOST_REQUIRE(f.stops.back().fence >= f.stops[sent_before - 1].fence);
    }
}

// Guards against a fence that grows while an unhealthy worker turns stops away.
BOOST_AUTO_TEST_CASE(stop_that_an_unhealthy_worker_refuses_is_resent_with_the_same_fence)
{
    fixture f;
    f.run_and_withdraw("one");
    f.host->on_stop_reply(f.now, f.stops[0].run, stop_reply::unavailable);
    f.advance(milliseconds(60), {entry_a, entry_b});
    BOOST_REQUIRE_EQUAL(f.stops.size(), 2U);
    BOOST_TEST(f.stops[1].fence == f.stops[0].fence);
}

BOOST_AUTO_TEST_CASE(fence_is_raised_once_for_several_refusals_of_the_same_fence)
{
    fixture f;
    f.run_and_withdraw("one", 2);
    BOOST_REQUIRE_EQUAL(f.stops.size(), 2U);
    f.host->on_stop_reply(f.now, f.stops[0].run, stop_reply::fenced);
    f.host->on_stop_reply(f.now, f.stops[1].run, stop_reply::fenced);
    f.advance(milliseconds(60), {entry_a, entry_b});
    BOOST_REQUIRE_EQUAL(f.stops.size(), 4U);
    BOOST_TEST(f.stops[3].fence == f.stops[0].fence + 1);
}

// Guards against an agent that never uses its worker because an earlier process of the agent, whose
// clock was ahead, left a higher fence there.
BOOST_AUTO_TEST_CASE(agent_with_a_lower_fence_than_its_predecessor_raises_it)
{
    fixture f;
    f.restart_agent();
    const auto worker_fence = f.renewals.at(0).fence + 20'000;
    std::size_t refused = 0;
    for (bool listed = false; !listed && refused < 100;)
    {
        BOOST_REQUIRE(!f.renewals.empty());
        for (const auto& renewal : std::exchange(f.renewals, {}))
        {
            listed = renewal.fence >= worker_fence;
            refused += listed ? 0 : 1;
            if (listed)
                f.host->on_renewal_reply(f.now, renewal.number, run_listing{5000, 1000, {}, {}});
            else
                f.host->on_renewal_reply(f.now, renewal.number, renewal_failure::fenced);
        }
        f.collect_effects();
    }
    BOOST_TEST(refused < 20U);
    f.place(entry_a, "one");
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    BOOST_TEST(f.starts[0].fence >= worker_fence);
}

BOOST_AUTO_TEST_CASE(renewals_to_a_worker_that_refuses_every_fence_are_paced)
{
    constexpr std::size_t max_renewals_per_s = 50;
    fixture f;
    f.restart_agent();
    const auto refuse_for = [&f](duration length)
    {
        std::size_t refused = 0;
        for (const auto end = f.now + length; f.now < end; f.advance(milliseconds(10), {entry_a}))
        {
            for (const auto& renewal : std::exchange(f.renewals, {}))
            {
                ++refused;
                f.host->on_renewal_reply(f.now, renewal.number, renewal_failure::fenced);
            }
            f.collect_effects();
        }
        return refused;
    };
    refuse_for(std::chrono::seconds(2)); // until the fence can't be raised any more
    BOOST_TEST(refuse_for(std::chrono::seconds(1)) <= max_renewals_per_s);
}

BOOST_AUTO_TEST_CASE(expired_entry_lease_stops_only_the_tasks_of_that_entry)
{
    fixture f;
    f.place(entry_a, "mine");
    f.place(entry_b, "theirs");
    for (const auto& start : f.starts)
        f.host->on_start_reply(f.now, start.run, start_reply::accepted, 5000);
    f.advance(milliseconds(600), {entry_a});
    BOOST_TEST(f.stops.empty());
    f.advance(milliseconds(100), {entry_a});
    BOOST_REQUIRE(!f.stops.empty());
    for (const auto& stop : f.stops)
        BOOST_TEST(stop.run.job == "theirs");
}

BOOST_AUTO_TEST_CASE(worker_lease_ends_before_the_caller_of_a_lost_entry_resends)
{
    fixture f;
    f.place(entry_a, "one");
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::accepted, 5000);
    const auto last_heard = f.now;
    f.renewals.clear();
    f.advance(milliseconds(640), {entry_b});
    BOOST_REQUIRE(!f.renewals.empty());
    // The worker's clock showed 5000 when the entry last renewed its lease.
    const auto resend_at = 5000 + 1300;
    for (const auto& renewal : f.renewals)
        BOOST_TEST(renewal.lease_end_ms * 1.0 <
                   5000 + (resend_at - 5000) / 1.02); // a clock that is 2% slow reaches it later
    BOOST_TEST((f.now - last_heard < milliseconds(650)));
}

/// Guards against a start of a placement that lay unread, here or at its entry, until its entry's
/// lease was over: its caller may have sent the job to another entry by then.
BOOST_AUTO_TEST_CASE(placement_that_is_read_after_its_entry_lease_expired_never_starts)
{
    fixture f;
    f.now += std::chrono::seconds(3);
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.empty());
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST((f.ends[0].kind == task_end_kind::not_started));
    f.host->on_message(f.now, entry_a,
                       lease_renewal{static_cast<std::uint64_t>(f.now.time_since_epoch().count())});
    f.host->on_announcement(f.now, f.announcement(first_start_time_ms));
    f.collect_effects();
    BOOST_TEST(f.starts.empty());
    f.place(entry_a, "two");
    BOOST_TEST(f.starts.size() == 1U);
}

/// Guards against a start that is repeated for an entry whose lease is over because the worker's
/// answer to the first request lay unread.
BOOST_AUTO_TEST_CASE(start_is_not_repeated_after_the_entry_lease_expired)
{
    for (const auto reply :
         {start_reply::fenced, start_reply::lease_expired, start_reply::superseded})
    {
        fixture f;
        f.place(entry_a, "one");
        BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
        f.now += std::chrono::seconds(3);
        f.host->on_start_reply(f.now, f.starts[0].run, reply, 8000);
        f.collect_effects();
        BOOST_TEST(f.starts.size() == 1U);
        BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
        BOOST_TEST((f.ends[0].kind == task_end_kind::not_started));
    }
}

BOOST_AUTO_TEST_CASE(listing_after_a_worker_restart_decides_which_runs_exist)
{
    fixture f;
    f.place(entry_a, "one", 2);
    for (const auto& start : f.starts)
        f.host->on_start_reply(f.now, start.run, start_reply::accepted, 5000);
    f.start_time_ms = first_start_time_ms + 500;
    f.now += milliseconds(10);
    f.host->on_announcement(f.now, f.announcement(f.start_time_ms));
    f.collect_effects();
    BOOST_TEST(f.ends.empty());
    BOOST_REQUIRE(!f.renewals.empty());
    BOOST_TEST(f.renewals.back().fence > f.starts[0].fence);
    run_listing listing;
    listing.running = {{f.starts[1].run}};
    f.answer_renewals(listing);
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST(f.ends[0].index == f.starts[0].run.index);
    BOOST_TEST((f.ends[0].kind == task_end_kind::stopped));
}

BOOST_AUTO_TEST_CASE(unknown_runs_are_stopped_before_any_start)
{
    fixture f;
    f.start_time_ms = first_start_time_ms + 500;
    f.now += milliseconds(10);
    f.host->on_announcement(f.now, f.announcement(f.start_time_ms));
    run_listing listing;
    listing.running = {{{"unknown", 0, 0, 4}}};
    f.answer_renewals(listing);
    BOOST_REQUIRE_EQUAL(f.stops.size(), 1U);
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.empty());
    f.now += milliseconds(60);
    f.host->on_tick(f.now);
    f.answer_renewals({});
    BOOST_TEST(f.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(outdated_listing_does_not_make_an_ended_run_unknown)
{
    fixture f;
    f.place(entry_a, "one");
    const auto run = f.starts.at(0).run;
    f.host->on_start_reply(f.now, run, start_reply::accepted, 5000);
    f.advance(milliseconds(60), {entry_a, entry_b});
    BOOST_REQUIRE(f.renewals.size() >= 2U);
    run_listing newer;
    newer.clock_ms = 5060;
    newer.start_time_ms = first_start_time_ms;
    newer.ended.push_back({1, run, run_end_kind::done});
    run_listing older = newer;
    older.clock_ms = 5040;
    older.ended.clear();
    older.running.push_back({run, 90});
    f.host->on_renewal_reply(f.now, f.renewals.at(1).number, newer);
    f.host->on_renewal_reply(f.now, f.renewals.at(0).number, older);
    f.collect_effects();
    BOOST_TEST(f.stops.empty());
    f.place(entry_a, "two");
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(unanswered_renewal_is_hedged_by_further_ones)
{
    fixture f;
    f.place(entry_a, "one");
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::accepted, 5000);
    f.renewals.clear();
    f.advance(milliseconds(120), {entry_a, entry_b});
    // Further renewals were sent while the first is unanswered, so that a lost listing does not
    // delay the reports of run ends.
    BOOST_TEST(f.renewals.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(leaving_worker_receives_no_more_tasks)
{
    fixture f;
    f.place(entry_a, "one", 3);
    auto leaving = f.announcement(first_start_time_ms);
    leaving.accepting = false;
    f.host->on_announcement(f.now, leaving);
    f.collect_effects();
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST((f.ends[0].kind == task_end_kind::not_started));
    f.place(entry_b, "two");
    BOOST_TEST(f.starts.size() == 2U);
    BOOST_TEST(f.ends.size() == 2U);
}

BOOST_AUTO_TEST_CASE(announcement_with_an_older_start_time_is_ignored)
{
    fixture f;
    auto old = f.announcement(first_start_time_ms - 500);
    old.accepting = false;
    f.host->on_announcement(f.now, old);
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against an agent that ignores a sound worker because its start time is earlier than that
// of the process before it, as after a correction of the host's clock.
BOOST_AUTO_TEST_CASE(worker_that_restarts_with_an_earlier_start_time_is_asked_and_used)
{
    fixture f;
    f.renewals.clear();
    BOOST_TEST(!f.host->on_announcement(f.now, f.announcement(first_start_time_ms - 500)));
    f.collect_effects();
    BOOST_REQUIRE(!f.renewals.empty());
    f.start_time_ms = first_start_time_ms - 500;
    f.answer_renewals({});
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.size() == 1U);
    BOOST_TEST(f.host->on_announcement(f.now, f.announcement(first_start_time_ms - 500)));
}

// Guards against an agent that ignores its worker for good after an announcement of another writer.
BOOST_AUTO_TEST_CASE(worker_is_used_again_after_an_announcement_that_nothing_confirms)
{
    fixture f;
    auto odd = f.announcement(first_start_time_ms + 5000);
    odd.id = "i-odd";
    BOOST_TEST(f.host->on_announcement(f.now, odd));
    constexpr int announcements = 4;
    bool used = false;
    for (int i = 0; i < announcements && !used; ++i)
    {
        f.advance_unanswered(milliseconds(1500));
        used = f.host->on_announcement(f.now, f.announcement(first_start_time_ms));
    }
    BOOST_TEST(used);
    f.answer_renewals({});
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against an agent that ignores a worker which starts again after a graceful shutdown.
BOOST_AUTO_TEST_CASE(worker_that_left_is_used_when_it_restarts_with_an_earlier_start_time)
{
    fixture f;
    f.host->on_worker_left(f.now, "i-1");
    f.host->on_announcement(f.now, f.announcement(first_start_time_ms - 500));
    f.start_time_ms = first_start_time_ms - 500;
    f.answer_renewals({});
    BOOST_TEST(f.host->on_announcement(f.now, f.announcement(first_start_time_ms - 500)));
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_announcement_does_not_bring_back_a_worker_that_left)
{
    fixture f;
    auto last = f.announcement(first_start_time_ms);
    BOOST_TEST(f.host->on_announcement(f.now, last));
    f.host->on_worker_left(f.now, "i-1");
    BOOST_TEST(!f.host->on_announcement(f.now, last));
    f.place(entry_a, "one");
    BOOST_TEST(f.starts.empty());
    // The same worker process, which goes on after all.
    BOOST_TEST(f.host->on_announcement(f.now, f.announcement(first_start_time_ms)));
    f.place(entry_a, "two");
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against an entry that never uses a worker because it connected at a moment when the agent,
// after a stall, had not read the worker's announcements yet.
BOOST_AUTO_TEST_CASE(entry_that_connects_after_a_stall_learns_that_the_worker_accepts_tasks)
{
    constexpr channel_id entry_c = 3;
    fixture f;
    f.now += std::chrono::seconds(5);
    f.host->on_channel_open(f.now, entry_c);
    f.host->on_announcement(f.now, f.announcement(first_start_time_ms));
    f.collect_effects();
    BOOST_TEST(f.descriptions[entry_a].accepting);
    BOOST_TEST(f.descriptions[entry_c].accepting);
}

// Guards against entries that keep the labels and the capacity of a worker's earlier process.
BOOST_AUTO_TEST_CASE(entries_learn_of_changed_labels_and_capacity)
{
    fixture f;
    auto changed = f.announcement(first_start_time_ms);
    changed.labels.insert("b");
    changed.capacity = {1600, 512, 0};
    f.host->on_announcement(f.now, changed);
    f.collect_effects();
    BOOST_TEST(f.descriptions[entry_a].labels.contains("b"));
    BOOST_TEST((f.descriptions[entry_b].capacity == changed.capacity));
}

BOOST_AUTO_TEST_CASE(delayed_announcements_are_not_applied)
{
    fixture f;
    auto earlier = f.announcement(first_start_time_ms);
    BOOST_TEST(f.host->on_announcement(f.now, f.announcement(first_start_time_ms)));
    BOOST_TEST(!f.host->on_announcement(f.now, earlier));
    BOOST_TEST(f.host->on_announcement(f.now, f.announcement(first_start_time_ms + 500)));
    BOOST_TEST(!f.host->on_announcement(f.now, f.announcement(first_start_time_ms)));
}

BOOST_AUTO_TEST_CASE(entry_with_reduced_reports_learns_of_its_own_task_ends_at_once)
{
    fixture f;
    f.host->on_message(f.now, entry_b, report_preference{true});
    f.place(entry_b, "one", 1);
    f.collect_effects();
    const auto reports_for = [&](channel_id channel, const run_listing& listing)
    {
        f.reports_by_channel.clear();
        f.now += milliseconds(25);
        f.answer_renewals(listing);
        f.host->send_load_reports(f.now);
        f.collect_effects();
        return f.reports_by_channel[channel];
    };
    run_listing ended;
    ended.ended.push_back({1, f.starts.at(0).run, run_end_kind::done});
    BOOST_TEST(reports_for(entry_b, ended) == 1);
    // The load changes again, without an end for this entry.
    f.place(entry_a, "two", 1);
    BOOST_TEST(reports_for(entry_b, {}) == 0);
    BOOST_TEST(f.reports_by_channel[entry_a] == 1);
}

BOOST_AUTO_TEST_CASE(run_without_progress_is_stopped)
{
    fixture f;
    f.place(entry_a, "stuck");
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::accepted, 5000);
    const auto report_progress = [&](std::int64_t clock_ms, std::uint32_t percent)
    {
        f.advance(milliseconds(50), {entry_a, entry_b});
        run_listing listing;
        listing.clock_ms = clock_ms;
        listing.running = {{f.starts[0].run, percent}};
        f.answer_renewals(listing);
    };
    report_progress(5050, 20);
    report_progress(5140, 20);
    BOOST_TEST(f.stops.empty());
    report_progress(5149, 21);
    report_progress(5240, 21);
    BOOST_TEST(f.stops.empty());
    report_progress(5249, 21);
    BOOST_REQUIRE(!f.stops.empty());
    BOOST_TEST((f.stops[0].run == f.starts[0].run));
    BOOST_TEST(f.host->counters().stalled == 1U);
}

BOOST_AUTO_TEST_CASE(late_listing_does_not_count_as_a_stall)
{
    fixture f;
    f.place(entry_a, "one");
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::accepted, 5000);
    f.advance(milliseconds(400), {entry_a, entry_b});
    run_listing listing;
    listing.clock_ms = 5040;
    listing.running = {{f.starts[0].run, 0}};
    f.answer_renewals(listing);
    BOOST_TEST(f.stops.empty());
}

BOOST_AUTO_TEST_CASE(worker_with_stalled_runs_gets_one_trial_task_at_a_time)
{
    fixture f;
    for (const auto* job : {"a", "b", "c"})
    {
        f.place(entry_a, job);
        const auto run = f.starts.back().run;
        f.host->on_start_reply(f.now, run, start_reply::accepted, 5000);
        f.advance(milliseconds(20), {entry_a, entry_b});
        run_listing listing;
        listing.clock_ms = 5200;
        listing.running = {{run, 0}};
        f.answer_renewals(listing);
        listing.running.clear();
        listing.ended = {{f.starts.size(), run, run_end_kind::stopped}};
        f.answer_renewals(listing);
    }
    const auto before = f.starts.size();
    BOOST_TEST(before == 3U);
    f.place(entry_a, "d");
    BOOST_TEST(f.starts.size() == before);
    f.advance(milliseconds(600), {entry_a, entry_b});
    f.place(entry_a, "e", 2);
    BOOST_TEST(f.starts.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(task_that_must_start_at_once_is_returned_when_resources_are_taken)
{
    fixture f;
    f.place(entry_a, "one", 1);
    f.place(entry_a, "waits", 2);
    BOOST_TEST(f.starts.size() == 2U);
    f.place(entry_b, "two", 1, 0, 0);
    BOOST_REQUIRE_EQUAL(f.ends.size(), 1U);
    BOOST_TEST(f.ends[0].job == "two");
    BOOST_TEST((f.ends[0].kind == task_end_kind::not_started));
}

BOOST_AUTO_TEST_CASE(duplicate_placement_does_not_remove_the_waiting_task_of_another_entry)
{
    fixture f;
    f.place(entry_a, "one", 2);
    f.place(entry_a, "waits", 1);
    f.place(entry_b, "waits", 1, 0, 0);
    BOOST_TEST(f.ends.size() == 1U);
    BOOST_TEST(f.host->waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(unavailable_worker_is_reported_as_resting)
{
    fixture f;
    f.place(entry_a, "one");
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::unavailable, 5000);
    f.now += milliseconds(20);
    f.host->on_tick(f.now);
    f.collect_effects();
    BOOST_TEST((f.last_report.condition == worker_condition::paused));
    f.now += milliseconds(200);
    f.host->on_tick(f.now);
    f.collect_effects();
    BOOST_TEST((f.last_report.condition == worker_condition::healthy));
}

// Guards against an agent that never uses its worker again after the worker has turned away the
// agent's first requests for some seconds.
BOOST_AUTO_TEST_CASE(idle_agent_asks_a_worker_again_that_refused_its_first_requests)
{
    fixture f;
    f.refuse_tasks(milliseconds(3000));
    const auto started_before = f.starts.size();
    f.host->on_announcement(f.now, f.announcement(first_start_time_ms));
    f.advance(milliseconds(100), {entry_a, entry_b});
    BOOST_REQUIRE(!f.renewals.empty());
    f.answer_renewals({});
    f.place(entry_a, "next");
    BOOST_TEST(f.starts.size() == started_before + 1);
}

// Guards against requests to a crashed worker for as long as no other one takes its place.
BOOST_AUTO_TEST_CASE(idle_agent_asks_a_silent_worker_only_while_it_announces_itself)
{
    fixture f;
    f.refuse_tasks(milliseconds(6000));
    f.renewals.clear();
    f.advance(milliseconds(500), {entry_a, entry_b});
    BOOST_TEST(f.renewals.empty());
    f.host->on_announcement(f.now, f.announcement(first_start_time_ms));
    f.collect_effects();
    BOOST_TEST(!f.renewals.empty());
}

BOOST_AUTO_TEST_CASE(load_report_rate_does_not_grow_with_the_number_of_entries)
{
    constexpr int simulated_seconds = 2;
    constexpr std::size_t max_reports_per_s = 600;
    for (const channel_id entries : {2, 12, 60})
    {
        fixture f;
        for (channel_id channel = 3; channel <= entries; ++channel)
            f.host->on_channel_open(f.now, channel);
        f.collect_effects();
        f.reports = 0;
        for (int i = 0; i < simulated_seconds * 500; ++i)
        {
            f.now += milliseconds(2);
            if (i % 2 == 0)
                f.place(entry_a, "one", 3);
            else
                f.host->on_message(f.now, entry_a, withdraw_job{"one"});
            f.collect_effects();
        }
        BOOST_TEST(f.reports > 0U);
        BOOST_TEST(f.reports <= simulated_seconds * max_reports_per_s + entries);
    }
}

/// Sends the agent the evacuated domains; the worker's domain is "fd-0".
void announce_in_domain(fixture& f)
{
    auto announced = f.announcement(first_start_time_ms);
    announced.failure_domain = "fd-0";
    f.host->on_announcement(f.now, announced);
    f.collect_effects();
}

BOOST_AUTO_TEST_CASE(nothing_starts_in_an_evacuated_domain)
{
    fixture f;
    announce_in_domain(f);
    f.place(entry_a, "running", 2);
    f.place(entry_a, "waiting", 2);
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    f.host->on_message(f.now, entry_b, evacuated_domains{20, {"fd-0", "fd-9"}});
    f.collect_effects();
    BOOST_TEST(f.ends.size() == 2U);
    BOOST_TEST(f.host->running() == 2U);
    BOOST_TEST(f.stops.empty());
    BOOST_TEST(!f.descriptions[entry_a].accepting);
    // The placing entry does not know of the evacuation yet.
    f.place(entry_a, "late", 1);
    BOOST_TEST(f.ends.size() == 3U);
    for (const auto& end : f.ends)
        BOOST_TEST((end.kind == task_end_kind::not_started));
    BOOST_TEST(f.host->counters().returned_for_evacuation == 3U);
    // The worker had raised its fence: the refused start is not repeated.
    f.host->on_start_reply(f.now, f.starts[0].run, start_reply::fenced, 5000);
    f.collect_effects();
    BOOST_TEST(f.starts.size() == 2U);
    BOOST_TEST(f.host->running() == 1U);
}

BOOST_AUTO_TEST_CASE(a_domain_that_is_no_longer_evacuated_is_used_at_once)
{
    fixture f;
    announce_in_domain(f);
    f.host->on_message(f.now, entry_a, evacuated_domains{20, {"fd-0"}});
    f.host->on_message(f.now, entry_a, evacuated_domains{19, {}});
    f.place(entry_a, "early", 1);
    BOOST_TEST(f.starts.empty());
    f.host->on_message(f.now, entry_a, evacuated_domains{21, {"fd-1"}});
    f.collect_effects();
    BOOST_TEST(f.descriptions[entry_a].accepting);
    f.place(entry_a, "one", 1);
    BOOST_TEST(f.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_agent_informs_entries_of_evacuations_that_they_lack)
{
    fixture f;
    f.host->on_message(f.now, entry_a, evacuated_domains{20, {"fd-0"}});
    std::map<channel_id, evacuated_domains> informed;
    const auto collect = [&]
    {
        for (auto& effect : f.host->take_effects())
        {
            if (const auto* message = std::get_if<to_entry>(&effect))
            {
                if (const auto* copy = std::get_if<evacuated_domains>(&message->body))
                    informed[message->channel] = *copy;
            }
        }
    };
    f.host->on_channel_open(f.now, 3);
    collect();
    BOOST_REQUIRE_EQUAL(informed.size(), 1U);
    BOOST_TEST((informed.at(3) == evacuated_domains{20, {"fd-0"}}));
    f.now += milliseconds(600);
    f.host->on_tick(f.now);
    collect();
    BOOST_TEST(informed.contains(entry_b));
    BOOST_TEST(!informed.contains(entry_a));
}

/// Guards against a failure domain of cold workers that gets as much work as when they were warm.
BOOST_AUTO_TEST_CASE(a_cold_worker_reports_that_it_is_slower)
{
    fixture f;
    f.advance(milliseconds(500), {entry_a, entry_b});
    BOOST_TEST(f.last_report.slowness_millis == 1000U);
    auto announced = f.announcement(first_start_time_ms);
    announced.cold_remaining_ms = 2000;
    f.host->on_announcement(f.now, announced);
    f.advance(milliseconds(600), {entry_a, entry_b});
    BOOST_TEST(f.last_report.slowness_millis > 1000U);
    f.advance(milliseconds(2000), {entry_a, entry_b});
    BOOST_TEST(f.last_report.slowness_millis == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
