#include "tarragonlock/process/agent_core.hpp"
#include "tarragonlock/version/selector.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// An agent with a backend server of two slots; two of three entries have registered it.
struct fixture
{
    explicit fixture(agent_mechanisms mechanisms = {})
    {
        agent_options options;
        options.name = "worker-0";
        options.entry_count = 3;
        options.mechanisms = mechanisms;
        agent = std::make_unique<agent_core>(options);
        agent->on_backend_announced(now, {"clearing", {}, "127.0.0.1:1", 2});
        for (const char* entry : {"a", "b"})
        {
            agent->on_entry_connected(now, entry);
            agent->on_message(now, entry, entry_status{});
        }
        agent->take_effects();
    }

    start_tasks batch(const std::string& job, std::uint32_t tasks = 1)
    {
        start_tasks request;
        request.job = job;
        request.service = "clearing";
        request.task_count = tasks;
        request.shard = shard_of(job);
        request.epoch = 5;
        request.grant_timestamp_ms =
            static_cast<std::uint64_t>(now.time_since_epoch().count() / 1000);
        request.deadline_ms = 10'000;
        for (std::uint32_t i = 0; i < tasks; ++i)
            request.tasks.push_back({i, 0, "body"});
        return request;
    }

    std::size_t count_started(const message& request)
    {
        agent->on_message(now, "a", request);
        std::size_t count = 0;
        for (const auto& effect : agent->take_effects())
            count += std::holds_alternative<run_task>(effect) ? 1 : 0;
        return count;
    }

    instant now{seconds(100)};
    std::unique_ptr<agent_core> agent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_core_test)

BOOST_AUTO_TEST_CASE(a_start_with_an_old_grant_is_refused)
{
    for (const bool refuse : {false, true})
    {
        agent_mechanisms mechanisms;
        mechanisms.refuse_stale_grants = refuse;
        fixture setup(mechanisms);
        const auto stale_start = setup.batch("job");
        setup.now += seconds(21);
        BOOST_TEST(setup.count_started(stale_start) == (refuse ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(a_worker_registered_with_a_minority_of_entries_starts_no_task_of_a_shard)
{
    for (const bool require : {false, true})
    {
        agent_mechanisms mechanisms;
        mechanisms.require_majority = require;
        fixture setup(mechanisms);
        setup.agent->on_entry_lost(setup.now, "b");
        BOOST_TEST(setup.count_started(setup.batch("job")) == (require ? 0U : 1U));
        auto unsharded = setup.batch("job-2");
        unsharded.shard = no_shard;
        BOOST_TEST(setup.count_started(unsharded) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_fenced_epoch_is_refused)
{
    for (const bool refuse : {false, true})
    {
        agent_mechanisms mechanisms;
        mechanisms.refuse_fenced_epochs = refuse;
        fixture setup(mechanisms);
        setup.agent->on_message(setup.now, "b", fence_shards{1, {{shard_of("job"), 6}}});
        setup.agent->take_effects();
        BOOST_TEST(setup.count_started(setup.batch("job")) == (refuse ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(a_start_decided_under_an_older_configuration_is_refused)
{
    for (const bool refuse : {false, true})
    {
        agent_mechanisms mechanisms;
        mechanisms.refuse_older_config = refuse;
        fixture setup(mechanisms);
        setup.agent->on_message(setup.now, "b", entry_status{7, 0, false});
        BOOST_TEST(setup.count_started(setup.batch("job")) == (refuse ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(a_task_queried_before_its_start_arrives_never_starts)
{
    fixture setup;
    setup.agent->on_message(setup.now, "a", query_tasks{{{"job", 0, 0}}});
    BOOST_TEST(setup.count_started(setup.batch("job")) == 0U);
}

BOOST_AUTO_TEST_CASE(a_cancelled_task_never_starts_and_a_mass_cancellation_costs_one_message)
{
    fixture setup;
    BOOST_TEST(setup.count_started(setup.batch("job", 6)) == 2U);
    cancel_jobs request;
    request.jobs = {"job"};
    for (int i = 0; i < 10'000; ++i)
        request.jobs.push_back("other-" + std::to_string(i));
    setup.agent->on_message(setup.now, "a", request);
    BOOST_TEST(setup.agent->take_effects().size() == 1U);
    setup.agent->on_task_finished(setup.now, {"job", 0, 0, task_status::succeeded, 0, "r"});
    BOOST_TEST(setup.agent->queued() == 0U);
    BOOST_TEST(setup.count_started(setup.batch("other-1")) == 0U);
}

BOOST_AUTO_TEST_CASE(a_freed_slot_is_offered_to_the_entry_whose_team_uses_the_fewest_slots)
{
    fixture setup;
    auto first = setup.batch("job", 2);
    first.team = "flood";
    first.waiting = {1, "quiet", 1.0};
    BOOST_TEST(setup.count_started(first) == 2U);
    // Entry b uses no slot of this worker, but its team does, through entry a.
    setup.agent->on_message(setup.now, "b", slot_request{"clearing", {50, "flood", 1.0}});
    setup.agent->take_effects();
    setup.agent->on_task_finished(setup.now, {"job", 0, 0, task_status::succeeded, 0, "r"});
    std::map<std::string, std::uint32_t> offered;
    for (const auto& effect : setup.agent->take_effects())
    {
        const auto& outgoing = std::get<outgoing_message>(effect);
        if (const auto* results = std::get_if<task_results>(&outgoing.body))
            offered[outgoing.to] = results->load.free_slots;
        if (const auto* report = std::get_if<load_report>(&outgoing.body))
            offered[outgoing.to] = report->load.free_slots;
    }
    BOOST_TEST(offered["a"] == 1U);
    BOOST_TEST(offered["b"] == 0U);
}

BOOST_AUTO_TEST_CASE(a_slot_request_after_an_expired_offer_gets_a_new_offer)
{
    fixture setup;
    for (int round = 0; round < 2; ++round)
    {
        setup.agent->on_message(setup.now, "a", slot_request{"clearing", {50, "team", 1.0}});
        const auto effects = setup.agent->take_effects();
        BOOST_REQUIRE(effects.size() == 1U);
        const auto& report = std::get<load_report>(std::get<outgoing_message>(effects[0]).body);
        BOOST_TEST(report.load.free_slots == 2U);
        setup.now += seconds(1);
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_backend_server_gets_no_new_tasks)
{
    fixture setup;
    BOOST_TEST(setup.count_started(setup.batch("job")) == 1U);
    setup.agent->on_backend_leaving(setup.now);
    BOOST_TEST(setup.count_started(setup.batch("job-2")) == 0U);
    BOOST_TEST(!setup.agent->idle());
    setup.agent->on_task_finished(setup.now, {"job", 0, 0, task_status::succeeded, 0, "r"});
    BOOST_TEST(setup.agent->idle());
}

BOOST_AUTO_TEST_CASE(a_success_of_a_task_started_before_the_failures_does_not_reset_their_count)
{
    fixture setup;
    std::uint32_t reported_failures = 0;
    const auto finish = [&](const std::string& job, task_status status)
    {
        setup.now += milliseconds(10);
        setup.agent->on_task_finished(setup.now, {job, 0, 0, status, 0, ""});
        for (const auto& effect : setup.agent->take_effects())
        {
            const auto* outgoing = std::get_if<outgoing_message>(&effect);
            if (const auto* results =
                    outgoing ? std::get_if<task_results>(&outgoing->body) : nullptr)
                reported_failures = results->load.consecutive_failures;
        }
    };
    BOOST_TEST(setup.count_started(setup.batch("old")) == 1U);
    setup.now += milliseconds(10);
    for (const char* job : {"f1", "f2", "f3"})
    {
        BOOST_TEST(setup.count_started(setup.batch(job)) == 1U);
        finish(job, task_status::failed);
    }
    finish("old", task_status::succeeded);
    BOOST_TEST(reported_failures == 3U);
    BOOST_TEST(setup.count_started(setup.batch("new")) == 1U);
    finish("new", task_status::succeeded);
    BOOST_TEST(reported_failures == 0U);
}

BOOST_AUTO_TEST_CASE(a_backend_server_without_announcements_is_removed)
{
    fixture setup;
    setup.now += seconds(4);
    setup.agent->on_tick(setup.now);
    BOOST_TEST(!setup.agent->has_backend());
}

BOOST_AUTO_TEST_CASE(freed_slots_are_offered_to_one_waiting_entry_at_a_time)
{
    fixture setup;
    BOOST_TEST(setup.count_started(setup.batch("job", 2)) == 2U);
    setup.agent->on_message(setup.now, "b", slot_request{"clearing", 5});
    setup.agent->take_effects();
    setup.agent->on_task_finished(setup.now, {"job", 0, 0, task_status::succeeded, 0, "r"});
    std::uint32_t offered_to_b = 0;
    std::uint32_t offered_to_a = 0;
    for (const auto& effect : setup.agent->take_effects())
    {
        const auto& outgoing = std::get<outgoing_message>(effect);
        if (const auto* offer = std::get_if<load_report>(&outgoing.body))
            (outgoing.to == "b" ? offered_to_b : offered_to_a) += offer->load.free_slots;
        if (const auto* results = std::get_if<task_results>(&outgoing.body))
            offered_to_a += results->load.free_slots;
    }
    BOOST_TEST(offered_to_b == 1U);
    BOOST_TEST(offered_to_a == 0U);
}

// Guards against selectors of workers that a backend server's own labels satisfy in place of what
// the system knows of it.
BOOST_AUTO_TEST_CASE(labels_set_by_the_agent_go_before_those_announced)
{
    fixture setup;
    setup.agent->on_backend_announced(
        setup.now,
        {"clearing", {{"service", "other"}, {"worker", "x"}, {"rack", "r1"}}, "127.0.0.1:1", 2});
    label_set announced;
    for (const auto& effect : setup.agent->take_effects())
    {
        if (const auto* message = std::get_if<outgoing_message>(&effect))
        {
            if (const auto* body = std::get_if<agent_announcement>(&message->body))
                announced = body->labels;
        }
    }
    BOOST_TEST(announced["service"] == "clearing");
    BOOST_TEST(announced["worker"] == "worker-0");
    BOOST_TEST(announced["rack"] == "r1");
    BOOST_TEST(selector::parse("service=clearing").value().matches(announced));
}

BOOST_AUTO_TEST_SUITE_END()
