#include "tarragonlock/connection/codec.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <boost/test/unit_test.hpp>

#include <cstring>

using namespace tarragonlock;

namespace
{

lease_frame sample()
{
    place_tasks request;
    request.job = "one";
    request.spec = "text";
    request.demand = {1600, 64, 1};
    request.tasks = {{0, 1}, {3, 2}};
    worker_description worker;
    worker.attributes = {{"service", "clearing"}};
    worker.labels = {"r0-1", "service"};
    return {agent_hello{"worker-0", 7},
            worker,
            agent_report{},
            lease_renewal{9},
            request,
            withdraw_job{"two"},
            take_back_job{"two"},
            job_taken_back{"two"},
            task_end{"one", 0, 3, 2, task_end_kind::stopped, 12},
            configuration_notice{4},
            configuration_request{},
            configuration_copy{4, "text"},
            evacuated_domains{20, {"fd-1", "fd-2"}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease_codec_tests)

BOOST_AUTO_TEST_CASE(every_message_is_unchanged_after_encoding_and_decoding)
{
    const auto bytes = encode_frame(sample());
    BOOST_REQUIRE(bytes.has_value());
    const auto frame = decode_frame(bytes.value());
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST((frame.value() == sample()));
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_errors_and_do_not_crash)
{
    const auto bytes = encode_frame(sample()).value();
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decode_frame(std::string_view(bytes).substr(0, length)).has_value());
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        auto changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 0x55);
        (void)decode_frame(changed); // May succeed or fail, but must not crash.
    }
    BOOST_TEST((decode_frame(bytes + "x").error() == codec_error::trailing_bytes));
    BOOST_TEST((decode_frame("\x09").error() == codec_error::unknown_version));
}

BOOST_AUTO_TEST_CASE(odd_lists_of_evacuated_domains_are_rejected)
{
    const auto accepted = [](const std::vector<std::string>& names) {
        return decode_frame(encode_frame({evacuated_domains{20, names}}).value()).has_value();
    };
    BOOST_TEST(accepted({std::string(200, 'x')}));
    BOOST_TEST(!accepted({std::string(201, 'x')}));
    BOOST_TEST(!accepted({""}));
    BOOST_TEST(accepted(std::vector<std::string>(1024, "fd-1")));
    BOOST_TEST(!accepted(std::vector<std::string>(1025, "fd-1")));
}

/// Guards against frames whose messages occupy many times their bytes.
BOOST_AUTO_TEST_CASE(frames_of_too_many_messages_are_rejected)
{
    const lease_frame longest(max_frame_messages, configuration_request{});
    const auto bytes = encode_frame(longest);
    BOOST_REQUIRE(bytes.has_value());
    BOOST_TEST((decode_frame(bytes.value()).value() == longest));
    BOOST_TEST(
        (encode_frame(lease_frame(max_frame_messages + 1, configuration_request{})).error() ==
         codec_error::oversized));
    auto longer = bytes.value() + bytes.value().substr(bytes.value().size() - 4);
    const auto count = static_cast<std::uint32_t>(max_frame_messages + 1);
    std::memcpy(longer.data() + 1, &count, sizeof(count));
    BOOST_TEST(!decode_frame(longer).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
