#include "connection/loop_http_server.hpp"

#include "common/guarded_call.hpp"
#include "connection/loop_socket.hpp"
#include "tarragonlock/common/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <map>
#include <optional>

namespace tarragonlock
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

class server;

class session : public std::enable_shared_from_this<session>
{
public:
    session(server& owner, tcp::socket socket) : owner_(owner), socket_(std::move(socket)) {}

    void read();
    void respond(const http_response& reply, bool close_connection);

private:
    void on_read(error_code error);
    /// What can be read from a connection without waiting.
    enum class readable_input : std::uint8_t
    {
        none,
        data,
        end ///< the client has closed or reset the connection
    };

    readable_input peek();
    void watch_for_close();
    void close();

    server& owner_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    http_request_id request_id_ = 0;
    bool awaiting_response_ = false;
};

class server : public loop_http_server
{
public:
    server(asio::io_context& loop, options settings, request_handler on_request,
           disconnect_handler on_disconnect)
        : settings_(std::move(settings)), on_request_(std::move(on_request)),
          on_disconnect_(std::move(on_disconnect)), acceptor_(loop)
    {
    }

    result<void> listen()
    {
        const auto listening = listen_at(acceptor_, settings_.listen);
        if (listening)
            accept();
        return listening;
    }

    void respond(http_request_id request, http_response reply) override
    {
        const auto found = pending_requests_.find(request);
        if (found == pending_requests_.end())
            return;
        const auto target = found->second;
        pending_requests_.erase(found);
        target->respond(reply, closing_);
    }

    void close_after_responses() override { closing_ = true; }
    std::size_t connections() const override { return open_connections_; }

    http_request_id register_request(const std::shared_ptr<session>& from)
    {
        pending_requests_[++last_request_id_] = from;
        return last_request_id_;
    }

    void handle(http_request_id id, http_request request)
    {
        if (!guarded_call("request", [&] { on_request_(id, std::move(request)); }))
            respond(id, {500, "", "", 0});
    }

    void session_disconnected(http_request_id request)
    {
        if (pending_requests_.erase(request) > 0 && on_disconnect_)
            guarded_call("disconnect", [&] { on_disconnect_(request); });
    }

    void session_closed() { --open_connections_; }
    const options& settings() const { return settings_; }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](error_code error, tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                    return;
                if (error)
                    log_event(log_level::warn, "accept_failed", {{"error", error.message()}});
                else
                {
                    set_connection_options(socket);
                    ++open_connections_;
                    std::make_shared<session>(*this, std::move(socket))->read();
                }
                accept();
            });
    }

    options settings_;
    request_handler on_request_;
    disconnect_handler on_disconnect_;
    tcp::acceptor acceptor_;
    std::map<http_request_id, std::shared_ptr<session>> pending_requests_;
    http_request_id last_request_id_ = 0;
    std::size_t open_connections_ = 0;
    bool closing_ = false;
};

void session::read()
{
    parser_.emplace();
    parser_->body_limit(owner_.settings().max_body_bytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t)
                     { self->on_read(error); });
}

void session::on_read(error_code error)
{
    if (error == http::error::body_limit)
    {
        http_response too_long;
        too_long.status = 413;
        respond(too_long, true);
        return;
    }
    if (error)
    {
        close();
        return;
    }
    auto message = parser_->release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    const auto host = message[http::field::host];
    request.host = std::string(host.substr(0, host.find(':')));
    if (!owner_.settings().deadline_header.empty())
        request.deadline_header = std::string(message[owner_.settings().deadline_header]);
    request.body = std::move(message.body());
    request.client_disconnected = peek() == readable_input::end;
    response_ = {};
    response_.keep_alive(message.keep_alive());
    request_id_ = owner_.register_request(shared_from_this());
    awaiting_response_ = true;
    const auto id = request_id_;
    owner_.handle(id, std::move(request));
    if (awaiting_response_)
        watch_for_close();
}

session::readable_input session::peek()
{
    char next = 0;
    const auto bytes = ::recv(socket_.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (bytes > 0)
        return readable_input::data;
    const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return bytes < 0 && would_block ? readable_input::none : readable_input::end;
}

/// Detects that the client closes the connection before the response, so that the tasks of its job
/// can be stopped.
void session::watch_for_close()
{
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), id = request_id_](error_code error)
                       {
                           if (!self->awaiting_response_ || self->request_id_ != id)
                               return;
                           const auto input = error ? readable_input::end : self->peek();
                           if (input == readable_input::none)
                               self->watch_for_close();
                           // With more data, the client has sent a further request and has not
                           // disconnected.
                           if (input != readable_input::end)
                               return;
                           self->awaiting_response_ = false;
                           self->owner_.session_disconnected(id);
                           self->close();
                       });
}

void session::respond(const http_response& reply, bool close_connection)
{
    awaiting_response_ = false;
    response_.version(11);
    response_.result(reply.status);
    if (!reply.content_type.empty() && !reply.body.empty())
        response_.set(http::field::content_type, reply.content_type);
    if (reply.retry_after_ms > 0)
        response_.set(http::field::retry_after,
                      std::to_string((reply.retry_after_ms + 999) / 1000));
    response_.body() = reply.body;
    if (close_connection)
        response_.keep_alive(false);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](error_code error, std::size_t)
                      {
                          if (error || !self->response_.keep_alive())
                          {
                              error_code ignored; // The connection is closed in any case.
                              self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
                              self->close();
                              return;
                          }
                          self->read();
                      });
}

void session::close()
{
    if (!socket_.is_open())
        return;
    error_code ignored; // The connection is closed in any case.
    socket_.close(ignored);
    owner_.session_closed();
}

} // namespace

result<std::unique_ptr<loop_http_server>> loop_http_server::open(asio::io_context& loop,
                                                                 options settings,
                                                                 request_handler on_request,
                                                                 disconnect_handler on_disconnect)
{
    auto opened = std::make_unique<server>(loop, std::move(settings), std::move(on_request),
                                           std::move(on_disconnect));
    if (const auto listening = opened->listen(); !listening)
        return listening.error();
    return std::unique_ptr<loop_http_server>(std::move(opened));
}

} // namespace tarragonlock
