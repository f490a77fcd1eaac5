#include "tarragonlock/version/declarations.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

namespace
{

std::string first_error(const std::string& text)
{
    diagnostics errors;
    const auto parsed = declarations::parse(text, "file.yaml", errors);
    return parsed || errors.empty() ? std::string() : to_string(errors.front());
}

} // namespace

BOOST_AUTO_TEST_SUITE(declarations_test)

BOOST_AUTO_TEST_CASE(selectors_match_labels_and_reject_invalid_syntax)
{
    const label_set labels{{"kind", "release"}, {"depot", "emmen"}};
    const auto matches = [&](const char* text)
    { return selector::parse(text).value().matches(labels); };
    BOOST_TEST(matches(""));
    BOOST_TEST(matches("kind=release, depot in (emmen, kriens)"));
    BOOST_TEST(matches("kind, !rack, depot != sursee"));
    BOOST_TEST(matches("depot notin (sursee)"));
    BOOST_TEST(!matches("kind in (lookup)"));
    BOOST_TEST(!matches("rack"));
    for (const char* bad : {"kind in release", "kind in ()", "a b c", ",", "ki\"nd=x"})
        BOOST_TEST(!selector::parse(bad));
}

BOOST_AUTO_TEST_CASE(errors_name_file_line_and_key)
{
    BOOST_TEST(first_error("services:\n  - {name: a, colour: red}\n") ==
               "file.yaml:2: services[0].colour: unknown key; known here: name, labels, objective, "
               "default_deadline_ms, max_queued_tasks");
    BOOST_TEST(first_error("services: [{name: a}]\nselectors:\n  - {name: s, work: \"k=a,k=b\"}\n")
                   .starts_with("file.yaml:3: selectors[0].work: can match nothing"));
    BOOST_TEST(first_error("services: [{name: a}]\nselectors:\n  - {name: s, urgency: 1}\n"
                           "  - {name: t, work: \"k=a\", urgency: 2}\n")
                   .find("contradictory urgency 1") != std::string::npos);
    BOOST_TEST(first_error("services: [{name: a}, {name: a}]").find("declared twice") !=
               std::string::npos);
    BOOST_TEST(!first_error("services: [").empty());
    BOOST_TEST(first_error("services: [{name: a}]").empty());
}

BOOST_AUTO_TEST_CASE(the_first_matching_selector_routes_a_job)
{
    diagnostics errors;
    const auto config = declarations::parse("services: [{name: a, labels: {desk: x}}]\n"
                                            "selectors:\n"
                                            "  - {name: s, work: k=1, workers: fast, urgency: 8}\n"
                                            "  - {name: t, work: desk=x, urgency: 2}\n",
                                            "f", errors)
                            .value();
    submission job;
    job.service = "a";
    job.labels = {{"k", "1"}};
    const auto rule = config.route(config.job_labels(job));
    BOOST_TEST(rule.urgency == 8U);
    BOOST_TEST(!config.allows(rule, {{"slow", "1"}}));
    BOOST_TEST(config.allows(rule, {{"fast", "1"}}));
    job.labels.clear();
    BOOST_TEST(config.route(config.job_labels(job)).urgency == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
