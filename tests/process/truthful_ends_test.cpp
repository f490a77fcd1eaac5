#include "tarragonlock/process/leased_dispatcher.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

/// An entry with agents whose workers have resources for two tasks each.
struct fixture
{
    explicit fixture(std::uint32_t agents = 2)
    {
        rule.name = "holds";
        rule.workers = selector::parse("service=clearing").value();
        rule.max_attempts = 2;
        rule.stretch = 1.6;
        rule.objective_ms = 60;
        for (channel_id channel = 1; channel <= agents; ++channel)
        {
            entry.on_channel_open(now, channel);
            entry.on_message(now, channel, agent_hello{"worker-" + std::to_string(channel), 1});
            worker_description worker;
            worker.accepting = true;
            worker.failure_domain = "fd-0";
            worker.attributes = {{"service", "clearing"}};
            worker.capacity = {3200, 1024, 0};
            receive(channel, worker);
            report(channel, 3200);
        }
    }

    void receive(channel_id channel, const lease_message& message)
    {
        entry.on_message(now, channel, message);
        entry.on_frame_end(now);
        collect_effects();
    }

    void report(channel_id channel, std::int64_t free_cpu)
    {
        agent_report load;
        load.free_resources = {free_cpu, 1024, 0};
        // All room in the queue is taken.
        load.queued_cpu = {32'000, 0, 0};
        load.mean_run_ms = 200;
        load.placements_received = 100;
        receive(channel, load);
    }

    void end_task(channel_id channel, std::uint32_t index, task_end_kind kind)
    {
        receive(channel, task_end{"one", 0, index, 1, kind, 50});
    }

    void submit(std::uint32_t tasks, std::uint32_t declared_ms)
    {
        job_step step;
        step.task_count = tasks;
        step.demand = {1600, 64, 0};
        step.declared_ms = declared_ms;
        entry.submit(now, 1, {"one", "spec", {step}, 3000, {}}, rule);
        collect_effects();
    }

    /// Advances the clock in the entry's ticks.
    /// @param silent  an agent that sends nothing meanwhile; 0 for none
    void advance(duration length, channel_id silent = 0)
    {
        for (const auto end = now + length; now < end;)
        {
            now += milliseconds(10);
            for (const auto channel : entry.channels())
            {
                if (channel != silent)
                    report(channel, 0);
            }
            entry.on_tick(now);
            collect_effects();
        }
    }

    void collect_effects()
    {
        for (auto& effect : entry.take_effects())
        {
            if (const auto* message = std::get_if<to_agent>(&effect))
            {
                if (std::holds_alternative<place_tasks>(message->body))
                    placed.push_back(message->channel);
                if (std::holds_alternative<take_back_job>(message->body))
                    asked.push_back(message->channel);
                if (std::holds_alternative<withdraw_job>(message->body))
                    withdrawn.push_back(message->channel);
            }
            else if (const auto* reply = std::get_if<to_caller>(&effect))
                answers.push_back(reply->answer);
        }
    }

    bool answered(leased_outcome outcome) const
    {
        return answers.size() == 1 && answers[0].outcome == outcome;
    }

    const instant start{std::chrono::hours(1)};
    instant now = start;
    queue_rule rule;
    leased_dispatcher entry{now, {"entry-0", "fd-0"}};
    std::vector<channel_id> placed;
    std::vector<channel_id> asked;
    std::vector<channel_id> withdrawn;
    std::vector<leased_answer> answers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(truthful_ends_tests)

/// Guards against jobs of which nothing is placed any more because their agents were asked once.
BOOST_AUTO_TEST_CASE(a_task_that_fails_after_its_job_was_asked_about_is_placed_again)
{
    fixture f(2);
    f.rule.max_attempts = 3;
    job_step long_step;
    long_step.task_count = 1;
    long_step.demand = {1600, 64, 0};
    long_step.declared_ms = 900;
    auto short_step = long_step;
    short_step.declared_ms = 50;
    f.entry.submit(f.now, 1, {"one", "spec", {long_step, short_step}, 3000, {}}, f.rule);
    f.collect_effects();
    BOOST_REQUIRE_EQUAL(f.placed.size(), 2U);
    f.advance(milliseconds(2600));
    BOOST_REQUIRE(!f.asked.empty());
    for (const auto channel : std::vector<channel_id>(f.asked))
        f.receive(channel, job_taken_back{"one"});
    f.report(1, 3200);
    f.report(2, 3200);
    f.receive(f.placed[1], task_end{"one", 1, 0, 1, task_end_kind::failed, 50});
    BOOST_TEST(f.placed.size() == 3U);
    BOOST_TEST(f.answers.empty());
}

BOOST_AUTO_TEST_CASE(a_job_that_only_waits_at_an_agent_is_taken_back_and_refused)
{
    fixture f(1);
    f.submit(1, 400);
    BOOST_REQUIRE_EQUAL(f.placed.size(), 1U);
    f.advance(milliseconds(2700));
    BOOST_TEST(f.asked.empty());
    f.advance(milliseconds(100));
    BOOST_REQUIRE_EQUAL(f.asked.size(), 1U);
    f.end_task(1, 0, task_end_kind::not_started);
    f.receive(1, job_taken_back{"one"});
    BOOST_TEST(f.answered(leased_outcome::refused));
    BOOST_TEST(f.entry.counters().jobs_taken_back == 1U);
}

BOOST_AUTO_TEST_CASE(a_job_that_runs_when_it_is_taken_back_keeps_its_time)
{
    fixture f(1);
    f.submit(1, 400);
    f.advance(milliseconds(2800));
    BOOST_REQUIRE_EQUAL(f.asked.size(), 1U);
    f.receive(1, job_taken_back{"one"});
    f.advance(milliseconds(100));
    BOOST_TEST(f.answers.empty());
    f.end_task(1, 0, task_end_kind::done);
    BOOST_TEST(f.answered(leased_outcome::completed));
}

BOOST_AUTO_TEST_CASE(a_job_with_a_step_to_come_is_not_taken_back_early)
{
    fixture f(1);
    job_step first;
    first.task_count = 1;
    first.demand = {1600, 64, 0};
    first.declared_ms = 400;
    auto second = first;
    second.after = {0};
    f.entry.submit(f.now, 1, {"one", "spec", {first, second}, 3000, {}}, f.rule);
    f.collect_effects();
    f.advance(milliseconds(2700));
    BOOST_TEST(f.asked.empty());
    f.end_task(1, 0, task_end_kind::done);
    BOOST_TEST(f.placed.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_begun_job_that_cannot_be_in_time_is_answered_before_its_deadline)
{
    fixture f(1);
    f.submit(2, 800);
    f.end_task(1, 0, task_end_kind::done);
    f.report(1, 0);
    f.end_task(1, 1, task_end_kind::not_started);
    // The other task needs 400 ms at least, on a worker without room.
    f.advance(milliseconds(2500));
    BOOST_TEST(f.answers.empty());
    f.advance(milliseconds(100));
    BOOST_TEST(f.answered(leased_outcome::given_up));
    BOOST_TEST(f.entry.counters().jobs_ended_early == 1U);
}

BOOST_AUTO_TEST_CASE(a_job_is_answered_when_its_agent_is_lost_too_late_to_start_it_again)
{
    fixture f;
    f.submit(1, 1200);
    BOOST_REQUIRE_EQUAL(f.placed.size(), 1U);
    f.advance(milliseconds(1500));
    f.entry.on_channel_lost(f.now, f.placed[0]);
    f.advance(milliseconds(20), f.placed[0]);
    BOOST_TEST(f.answered(leased_outcome::given_up));
}

BOOST_AUTO_TEST_CASE(a_lost_agent_leaves_time_to_start_elsewhere)
{
    fixture f;
    f.submit(1, 400);
    f.entry.on_channel_lost(f.now, f.placed[0]);
    f.advance(milliseconds(1400));
    BOOST_TEST(f.answers.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_did_not_run_reads_ends_before_it_answers_overdue_jobs)
{
    fixture f(1);
    f.submit(1, 400);
    f.now += milliseconds(3500);
    f.entry.hold_placements();
    f.entry.on_tick(f.now);
    f.collect_effects();
    BOOST_TEST(f.answers.empty());
    f.end_task(1, 0, task_end_kind::not_started);
    f.entry.resume_placements(f.now);
    f.collect_effects();
    BOOST_TEST(f.answered(leased_outcome::refused));
}

BOOST_AUTO_TEST_CASE(a_shutdown_takes_back_what_waits)
{
    fixture f;
    f.submit(4, 400);
    f.entry.take_back_all_jobs(f.now);
    f.collect_effects();
    BOOST_REQUIRE_EQUAL(f.asked.size(), 2U);
    f.end_task(1, 0, task_end_kind::not_started);
    f.end_task(1, 1, task_end_kind::not_started);
    f.receive(1, job_taken_back{"one"});
    BOOST_TEST(f.answers.empty());
    f.entry.end_all_jobs(f.now);
    f.collect_effects();
    BOOST_TEST(f.answered(leased_outcome::given_up));
}

BOOST_AUTO_TEST_SUITE_END()
