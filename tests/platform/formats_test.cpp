#include "platform/formats.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

namespace
{

constexpr auto job_id = "5c0e7a21d94b36f8";

http_request submit_request(const std::string& body)
{
    return {"POST", std::string("/lots/") + job_id, "nony24.example", body, "2500"};
}

http_request announcement_request(const std::string& body)
{
    return {"PUT", "/-/instances/i-7f3a91c2", "", body, ""};
}

constexpr auto valid_announcement =
    R"({"service":"desk","address":"10.128.0.9:8080","zone":"fd-1","version":"v1","slots":8,
        "state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],
        "clock_ms":482113,"seq":4,"born":1700000000000})";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_format_tests)

BOOST_AUTO_TEST_CASE(a_job_submission_is_decoded)
{
    const auto format = platform::make_caller_format();
    const auto job = format->decode_job(
        submit_request(R"({"spec":"s","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,
                 "estimate_ms":900,"data_rack":"r1-3"},{"count":2,"after":[0],"requires":"b",
                 "max_per_server":1}]})"),
        job_id);
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job.value().deadline_ms == 2500U);
    BOOST_REQUIRE_EQUAL(job.value().steps.size(), 2U);
    BOOST_TEST((job.value().steps[0].demand == resource_amount{500, 256, 0}));
    BOOST_TEST(job.value().steps[0].data_rack == "r1-3");
    BOOST_TEST(job.value().steps[1].max_per_worker == 1U);
    BOOST_TEST(job.value().steps[1].required_label == "b");
}

BOOST_AUTO_TEST_CASE(malformed_and_unsupported_jobs_are_rejected)
{
    const auto format = platform::make_caller_format();
    for (const auto* body :
         {"", "{", "[]", "{}", R"({"best_effort":true,"steps":[]})",
          R"({"best_effort":true,"steps":[{"count":0}]})",
          R"({"best_effort":true,"steps":[{"count":"4"}]})",
          R"({"best_effort":true,"steps":[{"count":1,"after":[0]}]})",
          R"({"best_effort":true,"steps":[{"count":99999999999999999999}]})",
          R"({"best_effort":true,"steps":["x"]})", R"({"best_effort":true,"steps":{"a":1}})",
          R"({"spec":7,"best_effort":true,"steps":[{"count":1}]})"})
        BOOST_TEST((format->decode_job(submit_request(body), job_id).error() ==
                    std::errc::invalid_argument),
                   body);
    for (const auto* body :
         {R"({"steps":[{"count":1}]})", R"({"best_effort":true,"steps":[{"count":1,"gang":true}]})",
          R"({"best_effort":true,"long_running":true,"steps":[{"count":1}]})"})
        BOOST_TEST(
            (format->decode_job(submit_request(body), job_id).error() == std::errc::not_supported),
            body);
}

BOOST_AUTO_TEST_CASE(job_outcomes_map_to_http_answers)
{
    const auto format = platform::make_caller_format();
    BOOST_TEST(format->job_ended({leased_outcome::completed}).status == 200U);
    BOOST_TEST(format->job_ended({leased_outcome::failed}).body == R"({"state":"failed"})");
    const auto refused =
        format->job_ended({leased_outcome::refused, leased_reason::overloaded, 40});
    BOOST_TEST(refused.status == 429U);
    BOOST_TEST(refused.retry_after_ms == 40U);
    BOOST_TEST(format->job_ended({leased_outcome::given_up}).status == 504U);
}

BOOST_AUTO_TEST_CASE(actions_depend_on_method_and_path)
{
    const auto format = platform::make_caller_format();
    http_request request{"GET", "", "", "", ""};
    BOOST_TEST((format->action(request, "") == caller_action::query_queue));
    BOOST_TEST((format->action(request, job_id) == caller_action::query_job));
    BOOST_TEST((format->action(request, "nonsense") == caller_action::unknown));
    request.method = "DELETE";
    BOOST_TEST((format->action(request, job_id) == caller_action::cancel_job));
    request.method = "PATCH";
    BOOST_TEST((format->action(request, job_id) == caller_action::unknown));
}

BOOST_AUTO_TEST_CASE(an_announcement_is_decoded)
{
    const auto format = platform::make_announcement_format();
    const auto worker = format->decode(announcement_request(valid_announcement));
    BOOST_REQUIRE(worker.has_value());
    BOOST_TEST(worker.value().id == "i-7f3a91c2");
    BOOST_TEST(worker.value().accepting);
    BOOST_TEST(worker.value().failure_domain == "fd-1");
    BOOST_TEST(worker.value().start_time_ms == 1'700'000'000'000);
    BOOST_TEST(worker.value().labels.contains("r1-3"));
    BOOST_TEST(!worker.value().leaves_after.has_value());
}

BOOST_AUTO_TEST_CASE(remaining_time_of_a_draining_worker_is_decoded)
{
    const auto format = platform::make_announcement_format();
    std::string body = valid_announcement;
    const auto state = body.find(R"("ready")");
    body.replace(state, 7, R"("draining","drain_remaining_ms":1250)");
    const auto worker = format->decode(announcement_request(body));
    BOOST_REQUIRE(worker.has_value());
    BOOST_TEST(!worker.value().accepting);
    BOOST_TEST((worker.value().leaves_after == std::chrono::milliseconds(1250)));
    body.replace(body.find("1250"), 4, "-1");
    BOOST_TEST(!format->decode(announcement_request(body)).has_value());
}

BOOST_AUTO_TEST_CASE(malformed_announcements_are_rejected)
{
    const auto format = platform::make_announcement_format();
    const std::string valid = valid_announcement;
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {R"("state":"ready")", R"("state":"asleep")"},
             {R"("capacity":{)", R"("capacity_":{)"},
             {R"("cpu":16000)", R"("cpu":"16000")"},
             {R"("service":"desk")", R"("service":7)"},
             {R"("labels":["a","r1-3"])", R"("labels":[1])"},
             {R"("seq":4)", R"("seq":-4)"},
             {R"({"service")", R"("service")"}})
    {
        auto changed = valid;
        changed.replace(changed.find(from), from.size(), to);
        BOOST_TEST(!format->decode(announcement_request(changed)).has_value(), to);
    }
    auto wrong_path = announcement_request(valid);
    wrong_path.target = "/-/instances/";
    BOOST_TEST(!format->decode(wrong_path).has_value());
}

BOOST_AUTO_TEST_CASE(routes_are_decoded_into_queue_rules)
{
    const auto format = platform::make_configuration_format();
    const auto table = format->decode(
        R"({"version":7,"routes":[{"name":"r","host":"nony24.example","prefix":"/lots/",
            "kind":"unsafe","timeout_ms":1500,"target_duration_ms":60,"priority":2,
            "service":"desk","max_attempts":3,"stretch":1.6}],"services":[],"limits":{}})");
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table.value().version() == 7U);
    const auto* rule = table.value().find("nony24.example", "/lots/5c0e");
    BOOST_REQUIRE(rule != nullptr);
    BOOST_TEST(rule->priority == 2U);
    BOOST_TEST(rule->max_attempts == 3U);
    BOOST_TEST(rule->objective_ms == 60U);
    BOOST_TEST(rule->workers.matches({{"service", "desk"}}));
    for (const auto* bad : {"", "{}", R"({"version":0,"routes":[]})", R"({"version":7})",
                            R"({"version":7,"routes":[{"priority":-1,"service":"desk"}]})"})
        BOOST_TEST(!format->decode(bad).has_value(), bad);
}

BOOST_AUTO_TEST_CASE(only_the_keys_of_evacuations_name_a_failure_domain)
{
    const auto format = platform::make_configuration_format();
    BOOST_TEST((format->evacuated_domain("op/evacuate/riga-a") == "riga-a"));
    for (const auto* other : {"op/evacuate/", "op/evacuate", "op/evacuated/riga-a", "op/wave/3",
                              "op/config", "tarragonlock/op/evacuate/riga-a", ""})
        BOOST_TEST(!format->evacuated_domain(other), other);
}

BOOST_AUTO_TEST_CASE(the_time_for_which_a_worker_is_cold_is_decoded)
{
    const auto format = platform::make_announcement_format();
    const std::string valid = valid_announcement;
    for (const auto& [text, expected] : std::vector<std::pair<std::string, std::uint32_t>>{
             {"1500", 1500}, {"0", 0}, {"-5", 0}, {"\"7\"", 0}, {"1e300", 600'000}})
    {
        auto changed = valid;
        changed.replace(changed.find(R"("seq":4)"), 7, R"("seq":4,"cold_remaining_ms":)" + text);
        const auto worker = format->decode(announcement_request(changed));
        BOOST_REQUIRE(worker.has_value());
        BOOST_TEST(worker.value().cold_remaining_ms == expected);
    }
    BOOST_TEST(format->decode(announcement_request(valid)).value().cold_remaining_ms == 0U);
}

BOOST_AUTO_TEST_CASE(limits_of_requests_are_decoded)
{
    const auto format = platform::make_configuration_format();
    const std::string start = R"({"version":7,"routes":[],"limits":)";
    const auto some = format->decode(
        start + R"({"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000}})");
    BOOST_REQUIRE(some.has_value());
    BOOST_TEST((some.value().limits() == client_limits{16'384, 262'144, 3000, 0}));
    const auto none = format->decode(start + "{}}");
    BOOST_REQUIRE(none.has_value());
    BOOST_TEST((none.value().limits() == client_limits{}));
    BOOST_TEST(!format->decode(start + R"({"max_body_bytes":-1}})").has_value());
}

/// Load pattern: requests of legal size whose decoded form is many times as large.
BOOST_AUTO_TEST_CASE(jobs_of_too_many_values_steps_or_tasks_are_rejected)
{
    const auto format = platform::make_caller_format();
    const auto decodes = [&](std::size_t steps, std::size_t tasks, std::size_t values)
    {
        std::string body = R"({"spec":"","best_effort":true,"other":[0)";
        for (std::size_t i = 1; i < values; ++i)
            body += ",0";
        body += R"(],"steps":[)";
        for (std::size_t i = 0; i < steps; ++i)
            body += (i > 0 ? R"(,{"count":)" : R"({"count":)") + std::to_string(tasks) + "}";
        http_request request;
        request.body = body + "]}";
        return format->decode_job(request, "000000000000000a").has_value();
    };
    BOOST_TEST(decodes(1, 10'000, 1));
    BOOST_TEST(decodes(2, 10'000, 1));
    BOOST_TEST(!decodes(3, 10'000, 1));
    BOOST_TEST(decodes(1000, 1, 1));
    BOOST_TEST(!decodes(1001, 1, 1));
    BOOST_TEST(decodes(1, 1, 49'000));
    BOOST_TEST(!decodes(1, 1, 50'000));
}

BOOST_AUTO_TEST_SUITE_END()
