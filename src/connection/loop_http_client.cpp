#include "connection/loop_http_client.hpp"

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
            return "nothing listens at the server's address";
        case http_client_error::no_response:
            return "the server does not answer";
        }
        return "unknown HTTP client error";
    }
};

/// A host that is cut off does not refuse a connection, and the kernel repeats the opening packet
/// at growing intervals; a new try after this time notices sooner that the host is back.
constexpr auto connect_limit = std::chrono::milliseconds(200);

struct pending_call
{
    http_client_request request;
    loop_http_client::handler on_reply;
    instant deadline;
};

/// A kept connection with at most one call under way.
struct connection
{
    explicit connection(asio::io_context& loop) : socket(loop) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<pending_call> call;
    bool sent = false;
    instant dialled;
    /// When the present call was given to this connection.
    instant began;
};

class client : public loop_http_client
{
public:
    client(asio::io_context& loop, std::string address, std::size_t max_connections,
           std::optional<adaptive_timeout_bounds> learned)
        : loop_(loop), address_(std::move(address)), max_connections_(max_connections)
    {
        if (learned)
            answers_.emplace(*learned);
    }

    void call(http_client_request request, handler on_reply) override
    {
        const auto limit =
            answers_ ? std::min(answers_->limit(), request.timeout) : request.timeout;
        const auto deadline = process_clock::now() + limit;
        queue_.push_back({std::move(request), std::move(on_reply), deadline});
        begin_calls();
    }

    void on_tick(instant now) override
    {
        std::vector<handler> never_sent;
        std::erase_if(queue_,
                      [&](pending_call& waiting)
                      {
                          if (waiting.deadline > now)
                              return false;
                          never_sent.push_back(std::move(waiting.on_reply));
                          return true;
                      });
        std::vector<std::shared_ptr<connection>> late;
        for (const auto& busy : busy_)
        {
            if (busy->call && (busy->call->deadline <= now ||
                               (!busy->sent && now - busy->dialled > connect_limit)))
                late.push_back(busy);
        }
        if (answers_ && !late.empty())
            answers_->on_timeout(now);
        for (const auto& each : late)
            fail(each,
                 each->sent ? http_client_error::no_response : http_client_error::not_connected);
        for (const auto& each : never_sent)
            each(http_client_error::not_connected, {});
    }

    const std::string& address() const override { return address_; }
    std::size_t open_calls() const override { return queue_.size() + busy_.size(); }

private:
    void begin_calls()
    {
        while (!queue_.empty() && (!idle_.empty() || busy_.size() < max_connections_))
        {
            auto next = std::move(queue_.front());
            queue_.pop_front();
            std::shared_ptr<connection> chosen;
            if (!idle_.empty())
            {
                chosen = std::move(idle_.back());
                idle_.pop_back();
            }
            else
                chosen = std::make_shared<connection>(loop_);
            chosen->call = std::move(next);
            chosen->began = process_clock::now();
            busy_.push_back(chosen);
            if (chosen->socket.is_open())
                send(chosen);
            else
                connect(chosen);
        }
    }

    void connect(const std::shared_ptr<connection>& chosen)
    {
        const auto endpoint = parse_endpoint(address_);
        if (!endpoint)
        {
            asio::post(loop_, [this, chosen] { fail(chosen, http_client_error::not_connected); });
            return;
        }
        chosen->dialled = process_clock::now();
        chosen->socket.async_connect(endpoint.value(),
                                     [this, chosen](error_code error)
                                     {
                                         if (!chosen->call)
                                             return;
                                         if (error)
                                         {
                                             fail(chosen, error == asio::error::connection_refused
                                                              ? http_client_error::refused
                                                              : http_client_error::not_connected);
                                             return;
                                         }
                                         tune(chosen->socket);
                                         send(chosen);
                                     });
    }

    void send(const std::shared_ptr<connection>& chosen)
    {
        const auto& what = chosen->call->request;
        chosen->request = {};
        chosen->request.version(11);
        chosen->request.method_string(what.method);
        chosen->request.target(what.target);
        chosen->request.set(http::field::host, address_);
        if (!what.body.empty())
            chosen->request.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : what.headers)
            chosen->request.set(name, value);
        chosen->request.body() = what.body;
        chosen->request.prepare_payload();
        chosen->sent = true;
        http::async_write(chosen->socket, chosen->request,
                          [this, chosen](error_code error, std::size_t)
                          {
                              if (!chosen->call)
                                  return;
                              if (error)
                                  fail(chosen, http_client_error::no_response);
                              else
                                  receive(chosen);
                          });
    }

    void receive(const std::shared_ptr<connection>& chosen)
    {
        // An answer may hold a whole page of the key-value service.
        constexpr std::uint64_t max_answer_bytes = 16U << 20U;
        chosen->parser.emplace();
        chosen->parser->body_limit(max_answer_bytes);
        http::async_read(chosen->socket, chosen->buffer, *chosen->parser,
                         [this, chosen](error_code error, std::size_t)
                         {
                             if (!chosen->call)
                                 return;
                             if (error)
                                 fail(chosen, http_client_error::no_response);
                             else
                                 finish(chosen);
                         });
    }

    void finish(const std::shared_ptr<connection>& chosen)
    {
        auto message = chosen->parser->release();
        auto done = std::move(*chosen->call);
        if (answers_)
            answers_->on_answer(process_clock::now() - chosen->began);
        chosen->call.reset();
        chosen->sent = false;
        std::erase(busy_, chosen);
        if (message.keep_alive())
            idle_.push_back(chosen);
        done.on_reply({}, {message.result_int(), std::move(message.body())});
        begin_calls();
    }

    void fail(const std::shared_ptr<connection>& chosen, http_client_error why)
    {
        if (!chosen->call)
            return;
        auto failed = std::move(*chosen->call);
        chosen->call.reset();
        error_code ignored; // The connection is given up either way.
        chosen->socket.close(ignored);
        std::erase(busy_, chosen);
        failed.on_reply(why, {});
        begin_calls();
    }

    asio::io_context& loop_;
    std::string address_;
    std::size_t max_connections_;
    std::optional<adaptive_timeout> answers_;
    std::deque<pending_call> queue_;
    std::vector<std::shared_ptr<connection>> busy_;
    std::vector<std::shared_ptr<connection>> idle_;
};

} // namespace

std::error_code make_error_code(http_client_error error)
{
    static const http_client_category category;
    return {static_cast<int>(error), category};
}

std::unique_ptr<loop_http_client>
loop_http_client::create(asio::io_context& loop, std::string address, std::size_t max_connections,
                         std::optional<adaptive_timeout_bounds> learned)
{
    return std::make_unique<client>(loop, std::move(address), max_connections, learned);
}

} // namespace tarragonlock
