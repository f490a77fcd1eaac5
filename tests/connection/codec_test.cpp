#include "tarragonlock/connection/codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

namespace
{

start_tasks sample()
{
    start_tasks batch;
    batch.job = "job-1";
    batch.service = "clearing";
    batch.task_count = 2;
    batch.tasks = {{0, 0, "a"}, {1, 3, "b"}};
    return batch;
}

} // namespace

BOOST_AUTO_TEST_SUITE(codec_test)

BOOST_AUTO_TEST_CASE(a_message_is_unchanged_after_encoding_and_decoding)
{
    const message sent = sample();
    BOOST_TEST((decode(encode(sent).value()).value() == sent));
}

BOOST_AUTO_TEST_CASE(every_truncation_is_an_error)
{
    const auto bytes = encode(message(sample())).value();
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decode(std::string_view(bytes).substr(0, size)));
}

BOOST_AUTO_TEST_CASE(unknown_version_type_and_trailing_bytes_are_errors)
{
    auto bytes = encode(message(sample())).value();
    BOOST_TEST(decode(bytes + "x").error() == codec_error::trailing_bytes);
    bytes[0] = 99;
    BOOST_TEST(decode(bytes).error() == codec_error::unknown_version);
    bytes[0] = message_version;
    bytes[1] = 77;
    BOOST_TEST(!decode(bytes));
    BOOST_TEST(decode(std::string(max_message_bytes + 1, 'x')).error() == codec_error::oversized);
}

BOOST_AUTO_TEST_CASE(stored_tables_do_not_depend_on_the_message_version)
{
    shard_table table;
    table.version = 2;
    table.owners = {{"e", 3, 4}};
    const auto bytes = encode_table(table);
    // Tables in the key-value service have had this version byte since the first release and
    // outlive the processes that wrote them.
    BOOST_TEST(bytes.front() == '\x01');
    BOOST_TEST((decode_table(bytes).value() == table));
}

BOOST_AUTO_TEST_CASE(a_length_beyond_the_remaining_bytes_is_an_error)
{
    cancel_jobs request;
    request.jobs = {"a"};
    auto bytes = encode(message(request)).value();
    // The vector's length follows the version and the variant's index.
    const auto at = bytes.size() - 1 - 4 - 4;
    bytes.replace(at, 4, "\xff\xff\xff\x7f", 4);
    BOOST_TEST(decode(bytes).error() == codec_error::truncated);
}

BOOST_AUTO_TEST_CASE(values_outside_an_enumeration_are_errors)
{
    // The status byte precedes the run time and the empty body.
    task_results results;
    results.outcomes.push_back({"j", 0, 0, task_status::running, 0, ""});
    auto bytes = encode(message(results)).value();
    const auto at = bytes.find(std::string("j") + std::string(8, '\0') + '\x03') + 9;
    BOOST_TEST((decode(bytes).value() == message(results)));
    bytes[at] = '\x04';
    BOOST_TEST(decode(bytes).error() == codec_error::unknown_type);
}

BOOST_AUTO_TEST_SUITE_END()
