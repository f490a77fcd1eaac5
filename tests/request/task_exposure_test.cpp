#include "tarragonlock/request/task_exposure.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

const instant start{std::chrono::hours(1)};
/// A job with three seconds left and a task that takes 200 ms at least.
const job_times early{start + milliseconds(3000), start, start + milliseconds(200)};

bool is(job_verdict one, job_verdict other)
{
    return one == other;
}

} // namespace

BOOST_AUTO_TEST_SUITE(task_exposure_tests)

BOOST_AUTO_TEST_CASE(a_job_that_was_offered_is_taken_back_before_its_deadline)
{
    job_exposure exposure;
    exposure.on_offered(2);
    BOOST_TEST(is(judge_job(start, exposure, early), job_verdict::wait));
    const auto asked = next_judgement(start, exposure, early);
    BOOST_TEST((asked == early.deadline - milliseconds(200)));
    const job_times late{early.deadline, asked, asked + milliseconds(200)};
    BOOST_TEST(is(judge_job(asked, exposure, late), job_verdict::take_back));

    exposure.take_back({1, 2}, asked + take_back_wait);
    exposure.on_returned();
    exposure.on_taken_back(1);
    BOOST_TEST(is(judge_job(asked, exposure, late), job_verdict::wait));
    exposure.on_returned();
    BOOST_TEST(is(judge_job(asked, exposure, late), job_verdict::refuse));
}

BOOST_AUTO_TEST_CASE(a_job_is_never_refused_while_an_agent_may_have_started_a_task)
{
    job_exposure exposure;
    exposure.on_offered(1);
    exposure.take_back({1}, start + take_back_wait);
    BOOST_TEST(is(judge_job(start, exposure, early), job_verdict::wait));
    exposure.on_agent_lost(1);
    BOOST_TEST(is(judge_job(early.deadline, exposure, early), job_verdict::give_up));

    job_exposure ended;
    ended.on_offered(1);
    ended.on_ended();
    BOOST_TEST(ended.may_have_started());
    BOOST_TEST(is(judge_job(early.deadline, ended, early), job_verdict::give_up));
}

BOOST_AUTO_TEST_CASE(a_job_that_cannot_be_in_time_is_answered_before_its_deadline)
{
    const job_times too_late{start + milliseconds(300), start + milliseconds(400),
                             start + milliseconds(400)};
    BOOST_TEST(is(judge_job(start, job_exposure(), too_late), job_verdict::refuse));

    job_exposure begun;
    begun.on_offered(2);
    begun.on_ended();
    BOOST_TEST(is(judge_job(start, begun, too_late), job_verdict::give_up));

    job_exposure offered;
    offered.on_offered(2);
    BOOST_TEST(is(judge_job(start, offered, too_late), job_verdict::take_back));
    offered.take_back({1, 2}, start + take_back_wait);
    offered.on_returned();
    offered.on_taken_back(1);
    BOOST_TEST(is(judge_job(start, offered, too_late), job_verdict::wait));
    BOOST_TEST((next_judgement(start, offered, too_late) == start + take_back_wait));
    BOOST_TEST(is(judge_job(start + take_back_wait, offered, too_late), job_verdict::give_up));
    offered.on_taken_back(2);
    BOOST_TEST(is(judge_job(start, offered, too_late), job_verdict::give_up));
}

BOOST_AUTO_TEST_CASE(a_job_whose_tasks_all_run_keeps_its_time)
{
    job_exposure exposure;
    exposure.on_offered(1);
    const auto asked = early.deadline - take_back_wait;
    exposure.take_back({1}, asked + take_back_wait);
    exposure.on_taken_back(1);
    const job_times running{early.deadline, asked, asked + milliseconds(200)};
    BOOST_TEST(is(judge_job(asked, exposure, running), job_verdict::resume));
    exposure.resume();
    BOOST_TEST(!exposure.taking_back());
    BOOST_TEST(is(judge_job(asked, exposure, running), job_verdict::wait));
    BOOST_TEST((next_judgement(asked, exposure, running) == early.deadline));
}

BOOST_AUTO_TEST_SUITE_END()
