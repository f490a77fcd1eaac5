// Invalid submissions of callers and invalid settings files.

#include "tarragonlock/connection/caller_server.hpp"
#include "tarragonlock/process/settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

namespace
{

std::string submission_error(const std::string& body)
{
    submission job;
    std::string fault;
    return parse_submission(body, job, fault) ? std::string() : fault;
}

std::string submission_with_tasks(std::size_t count)
{
    std::string list;
    for (std::size_t i = 0; i < count; ++i)
        list += std::string(i == 0 ? "" : ",") + "{\"body\":\"x\"}";
    return R"({"service":"a","tasks":[)" + list + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(input_test)

BOOST_AUTO_TEST_CASE(invalid_submissions_are_rejected)
{
    BOOST_TEST(submission_error(submission_with_tasks(1)).empty());
    BOOST_TEST(submission_error(submission_with_tasks(180)).empty());
    for (const auto& invalid_body :
         {submission_with_tasks(0), submission_with_tasks(181), std::string("{"), std::string("[]"),
          std::string(R"({"tasks":[{"body":"x"}]})"),
          std::string(R"({"service":"a","tasks":[{}]})"),
          std::string(R"({"service":"a","tasks":[{"body":"x"}],"deadline_ms":-1})"),
          std::string(R"({"service":"a","tasks":[{"body":"x"}],"colour":1})"),
          std::string(R"({"service":"a","tasks":[{"body":"x"}],"labels":{"k":1}})"),
          std::string(R"({"service":"a","tasks":[{"body":"x"}],"idempotent":"yes"})")})
        BOOST_TEST(!submission_error(invalid_body).empty(), invalid_body);
}

BOOST_AUTO_TEST_CASE(settings_errors_name_line_and_key)
{
    diagnostics faults;
    const auto settings = entry_settings::parse("name: e\nfailure_domain: d\nlisten_peers: x\n"
                                                "listen_http: 127.0.0.1:1\nstore: [a]\n"
                                                "entries: [{name: e, address: 127.0.0.1:2}]\n"
                                                "lease_ms: 5\ncolour: red\n",
                                                "e.yaml", faults);
    BOOST_TEST(!settings);
    BOOST_TEST(faults.size() == 3U);
    bool found = false;
    for (const auto& fault : faults)
        found = found ||
                to_string(fault) == "e.yaml:7: lease_ms: must be a whole number from 200 to 60000";
    BOOST_TEST(found);
}

BOOST_AUTO_TEST_SUITE_END()
