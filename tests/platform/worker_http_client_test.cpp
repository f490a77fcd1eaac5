#include "connection/loop_http_server.hpp"
#include "platform/formats.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr auto worker_address = "127.0.0.1:23972";

/// A worker that answers every call with one status and body.
struct fixture
{
    fixture(unsigned status, const std::string& body)
    {
        auto opened = loop_http_server::open(
            loop, {worker_address, "", 4096},
            [this, status, body](http_request_id id, const http_request&) {
                server->respond(id, {status, body, "application/json", 0});
            },
            nullptr);
        BOOST_REQUIRE(opened.has_value());
        server = std::move(opened).value();
        client = platform::make_worker_http_client(loop);
        client->connect(worker_address);
    }

    template<class Condition>
    void run_until(Condition done)
    {
        for (const auto end = process_clock::now() + milliseconds(2000);
             !done() && process_clock::now() < end;)
        {
            loop.run_for(milliseconds(5));
            client->on_tick(process_clock::now());
        }
    }

    stop_reply stop()
    {
        std::optional<stop_reply> received;
        client->stop({{"5c0e7a21d94b36f8", 0, 0, 1}, 7},
                     [&](stop_reply reply) { received = reply; });
        run_until([&] { return received.has_value(); });
        BOOST_REQUIRE(received.has_value());
        return *received;
    }

    renewal_reply renew()
    {
        std::optional<renewal_reply> received;
        client->renew({1, 0, 7, 0, 0}, [&](const renewal_reply& reply) { received = reply; });
        run_until([&] { return received.has_value(); });
        BOOST_REQUIRE(received.has_value());
        return *received;
    }

    boost::asio::io_context loop;
    std::unique_ptr<loop_http_server> server;
    std::unique_ptr<worker_client> client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_http_client_tests)

// Guards against a fence that is raised because an unhealthy worker turns requests away.
BOOST_AUTO_TEST_CASE(only_a_conflict_means_that_a_stop_was_fenced)
{
    BOOST_TEST((fixture(200, R"({"clock_ms":1})").stop() == stop_reply::accepted));
    BOOST_TEST((fixture(409, R"({"clock_ms":1,"reason":"fence"})").stop() == stop_reply::fenced));
    BOOST_TEST((fixture(429, "").stop() == stop_reply::unavailable));
    BOOST_TEST((fixture(503, "").stop() == stop_reply::unavailable));
}

// Guards against a fenced renewal that is taken for a missing answer and repeated with its fence.
BOOST_AUTO_TEST_CASE(fenced_renewal_is_told_from_one_without_an_answer)
{
    const auto failure = [](unsigned status, const std::string& body)
    { return std::get<renewal_failure>(fixture(status, body).renew()); };
    BOOST_TEST((failure(409, R"({"clock_ms":1,"reason":"fence"})") == renewal_failure::fenced));
    BOOST_TEST((failure(503, "") == renewal_failure::no_answer));
    BOOST_TEST((failure(200, "[]") == renewal_failure::no_answer));
    const auto listed = fixture(200, R"({"clock_ms":9,"running":[],"finished":[]})").renew();
    BOOST_TEST(std::get<run_listing>(listed).clock_ms == 9);
}

BOOST_AUTO_TEST_SUITE_END()
