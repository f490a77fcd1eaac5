// Tests fair sharing, ejection, placement, speed estimates, job identifiers and the job registry.

#include "tarragonlock/connection/worker_directory.hpp"
#include "tarragonlock/process/speed_estimate.hpp"
#include "tarragonlock/request/dispatcher.hpp"
#include "tarragonlock/request/fair_queue.hpp"
#include "tarragonlock/request/job_id.hpp"
#include "tarragonlock/request/job_registry.hpp"
#include "tarragonlock/request/placement.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace tarragonlock;
using std::chrono::seconds;

namespace
{

const auto any_pool = [](pool_index) { return true; };

worker_directory directory_of(std::uint32_t workers)
{
    diagnostics faults;
    worker_directory directory({}, std::chrono::minutes(10));
    directory.apply_declarations(std::make_shared<const declarations>(
        declarations::parse("services: [{name: a}]", "f", faults).value()));
    directory.pool_for("a", {no_selector, 5});
    for (std::uint32_t i = 0; i < workers; ++i)
    {
        agent_announcement notice;
        notice.incarnation = 1;
        notice.service = "a";
        notice.slots = 8;
        notice.load.free_slots = 8;
        directory.on_announce(instant(), "w" + std::to_string(i), notice);
    }
    return directory;
}

worker_load failing_load(std::uint32_t failures)
{
    worker_load load;
    load.free_slots = 8;
    load.consecutive_failures = failures;
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_test)

BOOST_AUTO_TEST_CASE(a_flooding_team_leaves_the_other_team_its_share)
{
    fair_queue queue;
    queue.push(0, "flood", 1.0, 9, {0, 1}, 100'000);
    for (int i = 0; i < 1000; ++i)
        queue.pop(0, 100.0);
    queue.push(0, "quiet", 1.0, 0, {0, 2}, 100);
    int quiet = 0;
    for (int i = 0; i < 100; ++i)
    {
        quiet += queue.next(any_pool)->job == 2 ? 1 : 0;
        queue.pop(0, 100.0);
    }
    // Urgency orders tasks only within a team's share, so the flooding team gets no more than half
    // of the slots although its tasks are more urgent.
    BOOST_TEST(quiet >= 49);
    BOOST_TEST(quiet <= 51);
}

BOOST_AUTO_TEST_CASE(slots_are_shared_by_weight_and_actual_cost)
{
    fair_queue queue;
    queue.push(0, "heavy", 3.0, 5, {0, 1}, 10'000);
    queue.push(0, "light", 1.0, 5, {0, 2}, 10'000);
    int heavy = 0;
    for (int i = 0; i < 400; ++i)
    {
        heavy += queue.next(any_pool)->job == 1 ? 1 : 0;
        queue.pop(0, 10.0);
    }
    BOOST_TEST(heavy >= 297);
    BOOST_TEST(heavy <= 303);
}

BOOST_AUTO_TEST_CASE(the_most_urgent_job_of_a_team_is_first)
{
    fair_queue queue;
    queue.push(0, "t", 1.0, 2, {0, 1}, 1);
    queue.push(0, "t", 1.0, 9, {1000, 2}, 1);
    BOOST_TEST(queue.next(any_pool)->job == 2U);
    queue.remove(0, "t", {1000, 2});
    BOOST_TEST(queue.next(any_pool)->job == 1U);
    BOOST_TEST(queue.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(the_last_job_of_the_next_team_can_be_popped)
{
    fair_queue queue;
    queue.push(0, "t", 1.0, 5, {1000, 1}, 2);
    queue.push(0, "t", 1.0, 5, {2000, 2}, 1);
    queue.push(0, "t", 1.0, 9, {3000, 3}, 1);
    BOOST_TEST((queue.last(0) == job_handle(2)));
    queue.pop_last(0, 1.0);
    BOOST_TEST((queue.last(0) == job_handle(1)));
    BOOST_TEST(queue.next(any_pool)->job == 3U);
    BOOST_TEST(queue.waiting(0) == 3U);
    BOOST_TEST(!queue.last(1));
}

BOOST_AUTO_TEST_CASE(equally_urgent_jobs_are_ordered_by_isolated_finish_time)
{
    fair_queue queue;
    queue.push(0, "t", 1.0, 5, {2000, 1}, 180);
    queue.push(0, "t", 1.0, 5, {1500, 2}, 1);
    BOOST_TEST(queue.next(any_pool)->job == 2U);
    queue.pop(0, 1.0);
    queue.push(0, "t", 1.0, 5, {2500, 3}, 1);
    BOOST_TEST(queue.next(any_pool)->job == 1U);
    // A task that is queued again keeps the rank of its job.
    queue.pop(0, 1.0);
    queue.push(0, "t", 1.0, 5, {2000, 1}, 1);
    BOOST_TEST(queue.waiting() == 181U);
    queue.remove(0, "t", {2000, 1});
    BOOST_TEST(queue.next(any_pool)->job == 3U);
}

BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_is_ejected_and_probed)
{
    auto directory = directory_of(10);
    directory.on_load_report(instant(), "w0", failing_load(3));
    BOOST_TEST(directory.at(0).ejected);
    BOOST_TEST(directory.pool(0).free_workers.size() == 9U);
    directory.on_tick(instant(seconds(6)));
    BOOST_TEST(directory.pool(0).probe_candidates.size() == 1U);
    directory.on_load_report(instant(seconds(7)), "w0", failing_load(0));
    BOOST_TEST(!directory.at(0).ejected);
}

BOOST_AUTO_TEST_CASE(a_service_that_fails_on_all_workers_ejects_a_limited_share)
{
    auto directory = directory_of(10);
    for (const auto& worker : directory.workers())
        directory.on_load_report(instant(), std::string(worker.id.name), failing_load(9));
    std::size_t ejected = 0;
    for (const auto& worker : directory.workers())
        ejected += worker.ejected ? 1 : 0;
    BOOST_TEST(ejected <= 4U);
}

BOOST_AUTO_TEST_CASE(the_last_task_of_a_job_does_not_go_to_a_slow_worker)
{
    auto directory = directory_of(2);
    auto slow = failing_load(0);
    slow.log_slowness = std::log(4.0);
    directory.on_load_report(instant(), "w1", slow);
    directory.on_tick(instant(seconds(1)));
    auto busy = failing_load(0);
    busy.free_slots = 0;
    directory.on_load_report(instant(), "w0", busy);
    const auto placement = make_placement("earliest_finish").value();
    BOOST_TEST(!placement->choose(directory, {0, 100.0, 100.0, 0.0, false}));
    BOOST_TEST((placement->choose(directory, {0, 100.0, 10'000.0, 0.0, false}) == worker_index(1)));
    BOOST_TEST(!make_placement("best"));
}

BOOST_AUTO_TEST_CASE(many_short_jobs_do_not_all_wait_for_the_fastest_worker)
{
    auto directory = directory_of(2);
    diagnostics faults;
    dispatcher jobs({}, directory, make_placement("earliest_finish").value(),
                    [](const fencing_token&) { return true; });
    jobs.set_declarations(instant(), 1,
                          std::make_shared<const declarations>(
                              declarations::parse("services: [{name: a}]", "f", faults).value()));
    auto slow = failing_load(0);
    slow.log_slowness = std::log(4.0);
    directory.on_load_report(instant(), "w1", slow);
    auto busy = failing_load(0);
    busy.free_slots = 0;
    directory.on_load_report(instant(), "w0", busy);
    const auto admit_and_count_sent = [&](int count)
    {
        for (int i = 0; i < count; ++i)
        {
            submission job;
            job.id = std::to_string(i);
            job.service = "a";
            job.team = default_team;
            job.deadline_ms = 30'000;
            job.tasks.resize(1);
            jobs.admit(instant(), std::move(job), {});
        }
        directory.on_tick(instant(seconds(1)));
        jobs.place_waiting_tasks(instant());
        std::size_t sent = 0;
        for (const auto& item : jobs.take_messages())
            sent += std::holds_alternative<start_tasks>(item.body) ? 1 : 0;
        return sent;
    };
    // A single job waits for the next slot of the fast worker; a hundred jobs would wait there too
    // long, so some use the slow worker.
    BOOST_TEST(admit_and_count_sent(1) == 0U);
    BOOST_TEST(admit_and_count_sent(100) == 8U);
}

BOOST_AUTO_TEST_CASE(speed_estimate_tolerates_noise_and_adapts_to_a_changed_worker)
{
    std::mt19937_64 random(7);
    // The ratio of run times to expected ones scatters by a factor of e^0.6.
    std::normal_distribution<double> noise(0.0, 0.6);
    speed_estimate speed;
    const auto run = [&](int tasks, double slowness)
    {
        double worst = 0.0;
        for (int i = 0; i < tasks; ++i)
        {
            speed.add(300.0 * slowness * std::exp(noise(random)), 300.0);
            worst = i < tasks / 2
                        ? 0.0
                        : std::max(worst, std::abs(speed.log_slowness() - std::log(slowness)));
        }
        return worst;
    };
    BOOST_TEST(run(400, 2.0) < 0.35);
    BOOST_TEST(run(60, 20.0) < 0.7);
    BOOST_TEST(run(400, 2.0) < 0.35);
}

BOOST_AUTO_TEST_CASE(job_ids_encode_their_origin_and_creation_time)
{
    const generated_job_id minted{{"entry-0", 0xabcdef}, 17};
    BOOST_TEST((parse_generated_job_id(to_string(minted)) == minted));
    BOOST_TEST(!parse_generated_job_id("tl-zz"));
    BOOST_TEST(uuid7_time("01938f2c-7d10-7abc-8def-0123456789ab")->count() == 0x01938f2c7d10LL);
    BOOST_TEST(!uuid7_time("01938f2c-7d10-4abc-8def-0123456789ab"));
    BOOST_TEST(!is_valid_job_id(""));
    BOOST_TEST(!is_valid_job_id("a/b"));
    BOOST_TEST(!is_valid_job_id(std::string(97, 'a')));
}

BOOST_AUTO_TEST_CASE(the_registry_expires_jobs_and_drops_results_over_its_limit)
{
    job_registry registry(seconds(10), 100);
    registry.start(instant(seconds(1)), "j", 1);
    registry.finish(instant(seconds(2)), {"j", outcome::complete, reason::none, {"r"}, 0});
    registry.expire(instant(seconds(3)));
    BOOST_TEST(!registry.find("j")->results_dropped);
    registry.finish(instant(seconds(4)),
                    {"k", outcome::complete, reason::none, {std::string(200, 'x')}, 0});
    registry.expire(instant(seconds(5)));
    BOOST_TEST(registry.find("k")->results_dropped);
    registry.expire(instant(seconds(13)));
    BOOST_TEST((registry.find("j") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
