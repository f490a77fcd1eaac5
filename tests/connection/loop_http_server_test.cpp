#include "connection/loop_http_server.hpp"
#include "tarragonlock/common/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <vector>

using namespace tarragonlock;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned short port = 23974;

/// A server whose process does not run while a client sends a request.
struct fixture
{
    fixture()
    {
        auto opened = loop_http_server::open(
            loop, {"127.0.0.1:" + std::to_string(port), "", 4096},
            [this](http_request_id id, const http_request& received)
            {
                request = received;
                server->respond(id, {200, "", "", 0});
            },
            nullptr);
        BOOST_REQUIRE(opened.has_value());
        server = std::move(opened).value();
        client.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        boost::asio::write(client, boost::asio::buffer(std::string(
                                       "POST /job HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")));
    }

    void run_until_read()
    {
        for (const auto end = process_clock::now() + milliseconds(2000);
             !request && process_clock::now() < end;)
        {
            loop.restart();
            loop.run_for(milliseconds(5));
        }
        BOOST_REQUIRE(request.has_value());
    }

    boost::asio::io_context loop;
    std::unique_ptr<loop_http_server> server;
    tcp::socket client{loop};
    std::optional<http_request> request;
};

} // namespace

BOOST_AUTO_TEST_SUITE(loop_http_server_tests)

BOOST_AUTO_TEST_CASE(a_request_of_a_waiting_client_is_passed_on)
{
    fixture f;
    f.run_until_read();
    BOOST_TEST(!f.request->client_disconnected);
}

/// Guards against work for a client that closed its connection while the process was frozen.
BOOST_AUTO_TEST_CASE(a_request_of_a_client_that_has_closed_the_connection_is_marked)
{
    fixture f;
    f.client.close();
    f.run_until_read();
    BOOST_TEST(f.request->client_disconnected);
}

BOOST_AUTO_TEST_CASE(a_request_of_a_client_that_has_reset_the_connection_is_marked_or_lost)
{
    fixture f;
    f.client.set_option(tcp::socket::linger(true, 0));
    f.client.close();
    f.loop.run_for(milliseconds(50));
    if (f.request)
        BOOST_TEST(f.request->client_disconnected);
}

namespace
{

/// A server with a small budget, and clients that send a request and read what the server answers.
struct limited_fixture
{
    limited_fixture()
    {
        auto opened = loop_http_server::open(
            loop, {"127.0.0.1:" + std::to_string(port + 1), "", 400'000, gate},
            [this](http_request_id id, const http_request&) { server->respond(id, {200}); },
            nullptr);
        BOOST_REQUIRE(opened.has_value());
        server = std::move(opened).value();
    }

    std::shared_ptr<tcp::socket> send(const std::string& text)
    {
        auto client = std::make_shared<tcp::socket>(loop);
        client->connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port + 1));
        boost::asio::write(*client, boost::asio::buffer(text));
        client->non_blocking(true);
        run();
        return client;
    }

    void run()
    {
        loop.restart();
        loop.run_for(milliseconds(100));
    }

    /// @return the first line of the answer; empty when there is none
    std::string status_line(tcp::socket& client)
    {
        for (const auto end = process_clock::now() + milliseconds(2000); process_clock::now() < end;
             run())
        {
            std::array<char, 256> bytes{};
            boost::system::error_code error;
            const auto size = client.read_some(boost::asio::buffer(bytes), error);
            if (error != boost::asio::error::would_block)
                return std::string(bytes.data(), size)
                    .substr(0, std::string_view("HTTP/1.1 200").size());
        }
        return "";
    }

    boost::asio::io_context loop;
    std::shared_ptr<connection_gate> gate =
        std::make_shared<connection_gate>(connection_limits{500'000, 10, 0});
    std::unique_ptr<loop_http_server> server;
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_over_a_limit_are_refused_before_they_are_read)
{
    limited_fixture f;
    const auto long_body = f.send("POST /job HTTP/1.1\r\nContent-Length: 400001\r\n\r\n{");
    BOOST_TEST(f.status_line(*long_body) == "HTTP/1.1 413");
    std::string fields;
    for (int i = 0; i < 200; ++i)
        fields += "a" + std::to_string(i) + ":\r\n";
    const auto many_fields = f.send("GET /job HTTP/1.1\r\n" + fields + "\r\n");
    BOOST_TEST(f.status_line(*many_fields) == "HTTP/1.1 431");
    f.server->set_limits({0, 1000, 0, 0});
    const auto longer_than_configured =
        f.send("POST /job HTTP/1.1\r\nContent-Length: 1001\r\n\r\n{");
    BOOST_TEST(f.status_line(*longer_than_configured) == "HTTP/1.1 413");
    BOOST_TEST(f.gate->count_of(refusal_cause::long_body) == 2U);
    BOOST_TEST(f.gate->count_of(refusal_cause::long_header) == 1U);
}

BOOST_AUTO_TEST_CASE(bodies_that_stop_short_are_closed_and_whole_requests_served)
{
    limited_fixture f;
    const auto start = std::string("POST /job HTTP/1.1\r\nContent-Length: 300000\r\n\r\n");
    constexpr std::size_t clients = 4;
    std::vector<std::shared_ptr<tcp::socket>> stopped;
    stopped.reserve(clients);
    for (std::size_t i = 0; i < clients; ++i)
        stopped.push_back(f.send(start + std::string(150'000, 'x')));
    BOOST_TEST(f.gate->count_of(refusal_cause::memory) > 0U);
    BOOST_TEST(f.gate->bytes() <= 500'000U);
    const auto whole = f.send("POST /job HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
    BOOST_TEST(f.status_line(*whole) == "HTTP/1.1 200");
}

/// Load pattern: many clients that send the greater part of a header and stop.
BOOST_AUTO_TEST_CASE(headers_that_stop_short_are_counted_and_closed)
{
    limited_fixture f;
    f.server->set_limits({0, 0, 500, 0});
    const auto half = f.send("GET /job HTTP/1.1\r\na: " + std::string(5000, 'x'));
    BOOST_TEST(f.gate->bytes() >= 5000U);
    for (int i = 0; i < 100 && f.gate->count_of(refusal_cause::slow_request) == 0; ++i)
        f.run();
    BOOST_TEST(f.gate->count_of(refusal_cause::slow_request) == 1U);
    BOOST_TEST(f.gate->bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_header_in_pieces_is_served_with_the_limits_in_force_when_it_begins)
{
    limited_fixture f;
    const auto client = f.send("");
    f.server->set_limits({0, 1000, 0, 0});
    for (const std::string piece :
         {"POST /job HT", "TP/1.1\r\nContent-Le", "ngth: 2\r\n\r\n", "{", "}"})
    {
        boost::asio::write(*client, boost::asio::buffer(piece));
        f.run();
    }
    BOOST_TEST(f.status_line(*client) == "HTTP/1.1 200");
    boost::asio::write(*client, boost::asio::buffer(std::string(
                                    "POST /job HTTP/1.1\r\nContent-Length: 1001\r\n\r\n{")));
    BOOST_TEST(f.status_line(*client) == "HTTP/1.1 413");
}

/// Load pattern: very many connections that send nothing.
BOOST_AUTO_TEST_CASE(the_read_buffers_of_idle_connections_are_counted)
{
    limited_fixture f;
    const auto idle = f.send("");
    BOOST_TEST(f.gate->connections() == 1U);
    BOOST_TEST(f.gate->bytes() >= 1024U);
}

BOOST_AUTO_TEST_CASE(a_client_that_waits_before_its_body_is_asked_for_it)
{
    limited_fixture f;
    const auto client =
        f.send("POST /job HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_TEST(f.status_line(*client) == "HTTP/1.1 100");
    boost::asio::write(*client, boost::asio::buffer(std::string("{}")));
    BOOST_TEST(f.status_line(*client) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_SUITE_END()
