#include "platform/formats.hpp"
#include "tarragonlock/process/leased_dispatcher.hpp"
#include "tarragonlock/process/task_host.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr channel_id channel = 1;
constexpr caller_id caller = 1;

/// An entry and an agent, whose worker announces a service and labels on the platform's wire.
struct fixture
{
    fixture(const std::string& service, const std::string& labels)
    {
        const auto announced = platform::make_announcement_format()->decode(
            {"PUT", "/-/instances/i-1", "",
             R"({"service":")" + service +
                 R"(","address":"10.0.0.9:8080","zone":"fd-0","state":"ready","seq":1,
                    "clock_ms":5000,"capacity":{"cpu":4000,"mem_mb":4096},"labels":)" +
                 labels + "}",
             ""});
        BOOST_REQUIRE(announced.has_value());
        host.on_announcement(now, announced.value());
        entry.on_channel_open(now, channel);
        host.on_channel_open(now, channel);
        exchange();
        // Entries place tasks on a worker once its agent knows what runs there.
        host.on_tick(now);
        exchange();
    }

    /// Delivers the messages of the agent; its worker runs nothing.
    void exchange()
    {
        for (auto effects = host.take_effects(); !effects.empty(); effects = host.take_effects())
        {
            for (const auto& effect : effects)
            {
                if (const auto* renewal = std::get_if<renewal_request>(&effect))
                    host.on_renewal_reply(now, renewal->number, run_listing{5000, 0, {}, {}});
                else if (const auto* message = std::get_if<to_entry>(&effect))
                    entry.on_message(now, channel, message->body);
            }
            host.on_tick(now);
            host.send_load_reports(now);
        }
        entry.on_frame_end(now);
        entry.take_effects();
    }

    /// Submits a job of one step.
    /// @return whether its task was placed; otherwise the job was refused at once
    bool is_placed(const std::string& step_fields, const std::string& service)
    {
        const auto id = "00000000000000" + std::to_string(10 + ++jobs);
        const auto table = platform::make_configuration_format()->decode(
            R"({"version":1,"routes":[{"name":"q","host":"h","prefix":"/q/","service":")" +
            service + R"(","target_duration_ms":3000}]})");
        BOOST_REQUIRE(table.has_value());
        const auto job = platform::make_caller_format()->decode_job(
            {"POST", "/q/" + id, "h",
             R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1,"estimate_ms":10)" +
                 step_fields + "}]}",
             "3000"},
            id);
        BOOST_REQUIRE(job.has_value());
        entry.submit(now, caller, job.value(), table.value().rules().front());
        bool placed = false;
        bool refused = false;
        for (const auto& effect : entry.take_effects())
        {
            if (const auto* message = std::get_if<to_agent>(&effect))
                placed = placed || std::holds_alternative<place_tasks>(message->body);
            else if (const auto* reply = std::get_if<to_caller>(&effect))
                refused = reply->answer.outcome == leased_outcome::refused;
        }
        BOOST_TEST(placed != refused);
        return placed;
    }

    instant now{std::chrono::hours(1)};
    task_host host{{"agent-0", 7}};
    /// Has run for longer than it waits for agents after its start.
    leased_dispatcher entry{now - std::chrono::minutes(1), {"entry-0", "fd-0"}};
    int jobs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(required_labels_tests)

// Guards against jobs that run on workers without the label that they require, because the worker's
// service was kept among its labels.
BOOST_AUTO_TEST_CASE(the_service_of_a_worker_is_not_one_of_its_labels)
{
    fixture f("desk", R"(["a","r1-2"])");
    BOOST_TEST(f.is_placed("", "desk"));
    BOOST_TEST(f.is_placed(R"(,"requires":"a")", "desk"));
    BOOST_TEST(!f.is_placed(R"(,"requires":"service")", "desk"));
    BOOST_TEST(!f.is_placed(R"(,"requires":"desk")", "desk"));
    BOOST_TEST(!f.is_placed(R"(,"requires":"failure_domain")", "desk"));
}

// Guards against labels that hide the service, and against a service whose name is also a label.
BOOST_AUTO_TEST_CASE(a_label_may_have_the_name_of_an_attribute)
{
    fixture f("desk", R"(["service","r1-2"])");
    BOOST_TEST(f.is_placed(R"(,"requires":"service")", "desk"));
    BOOST_TEST(!f.is_placed("", "r1-2"));
    BOOST_TEST(!f.is_placed("", "service"));
}

// Guards against names of services that are read as the text of a selector, which rejected the
// whole configuration or sent a queue to the workers of another service.
BOOST_AUTO_TEST_CASE(the_name_of_a_service_is_compared_as_it_is)
{
    for (const auto* name : {"desk,!x", "desk (north)", "a=b", "=desk", "desk ", "d\u00e9pot"})
    {
        fixture exact(name, "[]");
        BOOST_TEST(exact.is_placed("", name), name);
        fixture other("desk", "[]");
        BOOST_TEST(!other.is_placed("", name), name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
