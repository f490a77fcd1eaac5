// Feeds mutations of valid messages to the decoders. The seeds are fixed, so that a failure can be
// repeated; any exception, crash or sanitizer report is a failure.

#include "platform/formats.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace tarragonlock;

namespace
{

constexpr int mutations_per_message = 3000;

/// Applies up to four random edits to a message.
std::string mutate(std::string text, std::mt19937& random)
{
    static const std::vector<std::string> insertions{"[",
                                                     "{",
                                                     "\"",
                                                     "\\",
                                                     "null",
                                                     "-1",
                                                     "1e999",
                                                     "99999999999999999999",
                                                     "\xff\xfe",
                                                     "true",
                                                     "\"key\":",
                                                     ",",
                                                     "}",
                                                     "]",
                                                     "0",
                                                     std::string(100, '['),
                                                     std::string(100, '9')};
    const auto below = [&](std::size_t limit)
    { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random); };
    for (auto edits = below(4) + 1; edits > 0 && !text.empty(); --edits)
    {
        const auto position = below(text.size());
        switch (below(4))
        {
        case 0:
            text[position] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(position, below(8) + 1);
            break;
        case 2:
            text.insert(position, insertions[below(insertions.size())]);
            break;
        default:
            text.resize(position);
        }
    }
    return text;
}

template<class Decoder>
void decode_mutations(const std::vector<std::string>& messages, Decoder decode)
{
    std::mt19937 random(20261205);
    for (const auto& message : messages)
    {
        for (int i = 0; i < mutations_per_message; ++i)
        {
            const auto mutated = mutate(message, random);
            BOOST_CHECK_NO_THROW(decode(mutated));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(decoder_fuzz_tests)

BOOST_AUTO_TEST_CASE(job_submissions)
{
    const auto format = platform::make_caller_format();
    const std::string id = "5c0e7a21d94b36f8";
    decode_mutations(
        {R"({"spec":"s","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,
           "estimate_ms":900,"data_rack":"r1-3"},{"count":2,"after":[0],"requires":"b"}]})"},
        [&](const std::string& body)
        {
            (void)format->decode_job({"POST", "/lots/" + id, "h", body, "2500"}, id);
            (void)format->decode_job({"POST", "/lots/" + id, "h", "{}", body}, id);
        });
}

BOOST_AUTO_TEST_CASE(announcements)
{
    const auto format = platform::make_announcement_format();
    decode_mutations({R"({"service":"desk","address":"10.128.0.9:8080","zone":"fd-1","slots":8,
                        "state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},
                        "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000000})"},
                     [&](const std::string& body) {
                         (void)format->decode({"PUT", "/-/instances/i-1", "", body, ""});
                     });
}

BOOST_AUTO_TEST_CASE(configurations)
{
    const auto format = platform::make_configuration_format();
    decode_mutations({R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/lots/","kind":"x",
                        "target_duration_ms":60,"priority":2,"service":"desk","max_attempts":3,
                        "stretch":1.6}],"services":[],"limits":{}})"},
                     [&](const std::string& body) { (void)format->decode(body); });
}

BOOST_AUTO_TEST_CASE(frames)
{
    place_tasks placement;
    placement.job = "5c0e7a21d94b36f8";
    placement.spec = "spec";
    placement.tasks = {{0, 1}, {1, 1}};
    worker_description description;
    description.attributes = {{"service", "desk"}};
    description.labels = {"r1-3"};
    const lease_frame frame{agent_hello{"side-1", 7}, description,
                            agent_report{},           placement,
                            report_preference{true},  configuration_copy{3, "{}"}};
    decode_mutations({encode_frame(frame).value()},
                     [](const std::string& bytes) { (void)decode_frame(bytes); });
}

BOOST_AUTO_TEST_SUITE_END()
