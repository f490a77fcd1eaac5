#include "common/guarded_call.hpp"
#include "connection/frame_channel.hpp"
#include "connection/loop_http_client.hpp"
#include "connection/loop_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr auto http_address = "127.0.0.1:23972";
constexpr auto frame_address = "127.0.0.1:23973";

template<class Condition>
void run_until(boost::asio::io_context& loop, Condition done)
{
    for (const auto end = process_clock::now() + milliseconds(2000);
         !done() && process_clock::now() < end;)
    {
        loop.restart();
        loop.run_for(milliseconds(5));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(handler_errors_tests)

BOOST_AUTO_TEST_CASE(a_request_handler_that_throws_ends_only_its_request)
{
    boost::asio::io_context loop;
    std::unique_ptr<loop_http_server> server;
    auto opened = loop_http_server::open(
        loop, {http_address, "", 4096},
        [&](http_request_id id, const http_request& request)
        {
            if (request.target == "/bad")
                throw std::runtime_error("bad request");
            server->respond(id, {200, "", "", 0});
        },
        nullptr);
    BOOST_REQUIRE(opened.has_value());
    server = std::move(opened).value();
    const auto client = loop_http_client::create(loop, http_address, 1);
    const auto errors_before = unexpected_error_count();
    std::vector<unsigned> statuses;
    for (const auto* target : {"/bad", "/good"})
        client->call({"GET", target, "", {}, milliseconds(1000)},
                     [&](std::error_code, const http_client_response& reply)
                     { statuses.push_back(reply.status); });
    run_until(loop, [&] { return statuses.size() == 2; });
    BOOST_TEST((statuses == std::vector<unsigned>{500, 200}));
    BOOST_TEST(unexpected_error_count() == errors_before + 1);
}

BOOST_AUTO_TEST_CASE(a_response_handler_that_throws_does_not_block_later_calls)
{
    boost::asio::io_context loop;
    std::unique_ptr<loop_http_server> server;
    auto opened = loop_http_server::open(
        loop, {http_address, "", 4096},
        [&](http_request_id id, const http_request&) {
            server->respond(id, {200, "", "", 0});
        },
        nullptr);
    BOOST_REQUIRE(opened.has_value());
    server = std::move(opened).value();
    const auto client = loop_http_client::create(loop, http_address, 1);
    bool answered = false;
    client->call({"GET", "/", "", {}, milliseconds(1000)},
                 [](std::error_code, const http_client_response&)
                 { throw std::runtime_error("bad response"); });
    client->call({"GET", "/", "", {}, milliseconds(1000)},
                 [&](std::error_code, const http_client_response&) { answered = true; });
    run_until(loop, [&] { return answered; });
    BOOST_TEST(answered);
}

BOOST_AUTO_TEST_CASE(a_frame_handler_that_throws_closes_only_its_channel)
{
    boost::asio::io_context loop;
    std::size_t frames = 0;
    auto server = frame_channels::create(
        loop, {[](frame_channels::channel) {}, [](frame_channels::channel) {},
               [&](frame_channels::channel, const lease_frame& frame)
               {
                   ++frames;
                   if (std::holds_alternative<withdraw_job>(frame[0]))
                       throw std::runtime_error("bad frame");
               }});
    BOOST_REQUIRE(server->listen(frame_address).has_value());
    std::vector<frame_channels::channel> lost;
    std::size_t open = 0;
    auto client = frame_channels::create(
        loop, {[&](frame_channels::channel) { ++open; },
               [&](frame_channels::channel channel) { lost.push_back(channel); },
               [](frame_channels::channel, const lease_frame&) {}});
    const auto bad = client->dial(frame_address);
    const auto good = client->dial(frame_address);
    run_until(loop, [&] { return open == 2; });
    // A channel that doesn't begin with this message is closed for that reason.
    client->send(bad, agent_hello{"bad", 1});
    client->send(good, agent_hello{"good", 1});
    run_until(loop, [&] { return frames == 2; });
    BOOST_TEST(lost.empty());
    client->send(bad, withdraw_job{"job"});
    run_until(loop, [&] { return !lost.empty(); });
    BOOST_TEST((lost == std::vector<frame_channels::channel>{bad}));
    client->send(good, lease_renewal{1});
    run_until(loop, [&] { return frames == 4; });
    BOOST_TEST(frames == 4U);
}

/// Guards against clients that keep a channel of the system's processes for themselves.
BOOST_AUTO_TEST_CASE(a_channel_that_does_not_begin_as_an_agents_is_closed)
{
    boost::asio::io_context loop;
    std::size_t frames = 0;
    auto server = frame_channels::create(
        loop, {[](frame_channels::channel) {}, [](frame_channels::channel) {},
               [&](frame_channels::channel, const lease_frame&) { ++frames; }});
    BOOST_REQUIRE(server->listen(frame_address).has_value());
    std::vector<frame_channels::channel> lost;
    bool open = false;
    auto client = frame_channels::create(
        loop, {[&](frame_channels::channel) { open = true; },
               [&](frame_channels::channel channel) { lost.push_back(channel); },
               [](frame_channels::channel, const lease_frame&) {}});
    const auto stranger = client->dial(frame_address);
    run_until(loop, [&] { return open; });
    client->send(stranger, lease_renewal{1});
    run_until(loop, [&] { return !lost.empty(); });
    BOOST_TEST((lost == std::vector<frame_channels::channel>{stranger}));
    BOOST_TEST(frames == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
