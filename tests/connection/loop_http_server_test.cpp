#include "connection/loop_http_server.hpp"
#include "tarragonlock/common/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

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

BOOST_AUTO_TEST_SUITE_END()
