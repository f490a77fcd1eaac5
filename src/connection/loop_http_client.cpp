#include "connection/loop_http_client.hpp"

#include "common/guarded_call.hpp"
#include "connection/loop_socket.hpp"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>

namespace tarragonlock
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

class http_client_category : public std::error_category
{
public:
    const char* name() const noexcept override { return "tarragonlock.http_client"; }
    std::string message(int value) const override
    {
        switch (static_cast<http_client_error>(value))
        {
        case http_client_error::not_connected:
            return "the server cannot be reached";
        case http_client_error::refused:
            return "the server refused the connection";
        case http_client_error::no_response:
            return "the server did not respond";
        }
        return "unknown HTTP client error";
    }
};

/// An unreachable host does not refuse a connection, and the kernel repeats the SYN packet at
/// growing intervals; a new attempt after this time detects sooner that the host is reachable
/// again.
constexpr auto connect_timeout = std::chrono::milliseconds(200);

struct pending_call
{
    http_client_request request;
    loop_http_client::handler on_response;
    instant deadline;
};

/// A persistent connection with at most one call in progress.
struct pooled_connection
{
    explicit pooled_connection(asio::io_context& loop) : socket(loop) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<pending_call> call;
    bool sent = false;
    instant connect_started;
    /// When the present call was assigned to this connection.
    instant call_started;
};

class client : public loop_http_client
{
public:
    client(asio::io_context& loop, std::string address, std::size_t max_connections,
           std::optional<adaptive_timeout_bounds> adaptive_bounds)
        : loop_(loop), address_(std::move(address)), max_connections_(max_connections)
    {
        if (adaptive_bounds)
            adaptive_timeout_.emplace(*adaptive_bounds);
    }

    void call(http_client_request request, handler on_response) override
    {
        const auto limit = adaptive_timeout_ ? std::min(adaptive_timeout_->limit(), request.timeout)
                                             : request.timeout;
        const auto deadline = process_clock::now() + limit;
        waiting_calls_.push_back({std::move(request), std::move(on_response), deadline});
        begin_calls();
    }

    void on_tick(instant now) override
    {
        std::vector<handler> never_sent;
        std::erase_if(waiting_calls_,
                      [&](pending_call& waiting)
                      {
                          if (waiting.deadline > now)
                              return false;
                          never_sent.push_back(std::move(waiting.on_response));
                          return true;
                      });
        std::vector<std::shared_ptr<pooled_connection>> expired;
        for (const auto& busy : busy_)
        {
            if (busy->call && (busy->call->deadline <= now ||
                               (!busy->sent && now - busy->connect_started > connect_timeout)))
                expired.push_back(busy);
        }
        if (adaptive_timeout_ && !expired.empty())
            adaptive_timeout_->on_timeout(now);
        for (const auto& each : expired)
            fail(each,
                 each->sent ? http_client_error::no_response : http_client_error::not_connected);
        for (const auto& each : never_sent)
            guarded_call("response", [&] { each(http_client_error::not_connected, {}); });
    }

    const std::string& address() const override { return address_; }
    std::size_t open_calls() const override { return waiting_calls_.size() + busy_.size(); }

private:
    void begin_calls()
    {
        while (!waiting_calls_.empty() && (!idle_.empty() || busy_.size() < max_connections_))
        {
            auto next = std::move(waiting_calls_.front());
            waiting_calls_.pop_front();
            std::shared_ptr<pooled_connection> connection;
            if (!idle_.empty())
            {
                connection = std::move(idle_.back());
                idle_.pop_back();
            }
            else
                connection = std::make_shared<pooled_connection>(loop_);
            connection->call = std::move(next);
            connection->call_started = process_clock::now();
            busy_.push_back(connection);
            if (connection->socket.is_open())
                send(connection);
            else
                connect(connection);
        }
    }

    void connect(const std::shared_ptr<pooled_connection>& connection)
    {
        const auto endpoint = parse_endpoint(address_);
        if (!endpoint)
        {
            asio::post(loop_,
                       [this, connection] { fail(connection, http_client_error::not_connected); });
            return;
        }
        connection->connect_started = process_clock::now();
        connection->socket.async_connect(endpoint.value(),
                                         [this, connection](error_code error)
                                         {
                                             if (!connection->call)
                                                 return;
                                             if (error)
                                             {
                                                 fail(connection,
                                                      error == asio::error::connection_refused
                                                          ? http_client_error::refused
                                                          : http_client_error::not_connected);
                                                 return;
                                             }
                                             set_connection_options(connection->socket);
                                             send(connection);
                                         });
    }

    void send(const std::shared_ptr<pooled_connection>& connection)
    {
        const auto& outgoing = connection->call->request;
        connection->request = {};
        connection->request.version(11);
        connection->request.method_string(outgoing.method);
        connection->request.target(outgoing.target);
        connection->request.set(http::field::host, address_);
        if (!outgoing.body.empty())
            connection->request.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : outgoing.headers)
            connection->request.set(name, value);
        connection->request.body() = outgoing.body;
        connection->request.prepare_payload();
        connection->sent = true;
        http::async_write(connection->socket, connection->request,
                          [this, connection](error_code error, std::size_t)
                          {
                              if (!connection->call)
                                  return;
                              if (error)
                                  fail(connection, http_client_error::no_response);
                              else
                                  receive(connection);
                          });
    }

    void receive(const std::shared_ptr<pooled_connection>& connection)
    {
        // A response may contain a full page of a listing of the key-value service.
        constexpr std::uint64_t max_response_bytes = 16U << 20U;
        connection->parser.emplace();
        connection->parser->body_limit(max_response_bytes);
        http::async_read(connection->socket, connection->buffer, *connection->parser,
                         [this, connection](error_code error, std::size_t)
                         {
                             if (!connection->call)
                                 return;
                             if (error)
                                 fail(connection, http_client_error::no_response);
                             else
                                 finish(connection);
                         });
    }

    void finish(const std::shared_ptr<pooled_connection>& connection)
    {
        auto message = connection->parser->release();
        auto done = std::move(*connection->call);
        if (adaptive_timeout_)
            adaptive_timeout_->on_response(process_clock::now() - connection->call_started);
        connection->call.reset();
        connection->sent = false;
        std::erase(busy_, connection);
        if (message.keep_alive())
            idle_.push_back(connection);
        guarded_call("response",
                     [&] {
                         done.on_response({}, {message.result_int(), std::move(message.body())});
                     });
        begin_calls();
    }

    void fail(const std::shared_ptr<pooled_connection>& connection, http_client_error error)
    {
        if (!connection->call)
            return;
        auto failed = std::move(*connection->call);
        connection->call.reset();
        error_code ignored; // The connection is discarded in any case.
        connection->socket.close(ignored);
        std::erase(busy_, connection);
        guarded_call("response", [&] { failed.on_response(error, {}); });
        begin_calls();
    }

    asio::io_context& loop_;
    std::string address_;
    std::size_t max_connections_;
    std::optional<adaptive_timeout> adaptive_timeout_;
    std::deque<pending_call> waiting_calls_;
    std::vector<std::shared_ptr<pooled_connection>> busy_;
    std::vector<std::shared_ptr<pooled_connection>> idle_;
};

} // namespace

std::error_code make_error_code(http_client_error error)
{
    static const http_client_category category;
    return {static_cast<int>(error), category};
}

std::unique_ptr<loop_http_client>
loop_http_client::create(asio::io_context& loop, std::string address, std::size_t max_connections,
                         std::optional<adaptive_timeout_bounds> adaptive_bounds)
{
    return std::make_unique<client>(loop, std::move(address), max_connections, adaptive_bounds);
}

} // namespace tarragonlock
