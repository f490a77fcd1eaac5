#include "connection/http_session.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace tarragonlock
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

/// Most fields of a header. Each is allocated of its own; callers send fewer than 20.
constexpr std::size_t max_header_fields = 128;
/// Allocated for a header field besides its text.
constexpr std::uint64_t field_cost = 96;
/// Bytes that may be read ahead of the present request besides a header.
constexpr std::size_t read_ahead_bytes = 16U << 10U;
/// Largest number of bytes read from the socket at once.
constexpr std::size_t read_bytes = 16U << 10U;
/// Read buffer of an idle connection; holds most requests.
constexpr std::size_t kept_buffer_bytes = 4096;
/// A client must send or read min_body_bytes within this time. Longer than the outages of links and
/// hosts that callers are expected to survive.
constexpr duration body_interval = std::chrono::seconds(15);
constexpr std::size_t min_body_bytes = 1024;
/// A client must send this part of a header within the header timeout.
constexpr std::size_t min_header_bytes = 64;
/// Idle connections are kept this much longer than the operators' limit, so that a client that
/// observes the limit closes first.
constexpr duration idle_margin = std::chrono::seconds(2);

} // namespace

void http_session::start()
{
    id_ = owner_.gate().open(
        [weak = weak_from_this(), executor = socket_.get_executor()](refusal_cause)
        {
            // At once if this is the session's own thread.
            asio::dispatch(executor,
                           [weak]
                           {
                               if (const auto self = weak.lock())
                                   self->close();
                           });
        },
        owner_.settings().is_reserved);
    if (owner_.gate().is_open(id_))
        read();
    else
        close();
}

void http_session::read()
{
    progress_.begin(owner_.running_time());
    has_header_ = false;
    field_bytes_ = 0;
    if (buffer_.size() == 0 && buffer_.capacity() > kept_buffer_bytes)
        buffer_.shrink_to_fit();
    phase_ = connection_phase::idle;
    if (buffer_.size() > 0)
        parse();
    else
        read_some();
}

void http_session::read_some()
{
    if (!socket_.is_open())
        return;
    buffer_.max_size(owner_.header_bytes() + read_ahead_bytes);
    const auto room = buffer_.max_size() - std::min(buffer_.max_size(), buffer_.size());
    if (room == 0)
        return refuse(431, refusal_cause::long_header);
    const auto wanted = buffer_.size() == 0 ? kept_buffer_bytes : read_bytes;
    const auto space = buffer_.prepare(std::min(room, wanted));
    const auto body_bytes = parser_ ? parser_->get().body().capacity() : 0;
    report_to_budget(phase_, buffer_.capacity() + field_bytes_ + body_bytes);
    if (!socket_.is_open())
        return;
    socket_.async_read_some(space,
                            [self = shared_from_this()](error_code error, std::size_t bytes)
                            {
                                if (!self->socket_.is_open())
                                    return;
                                if (error)
                                    return self->close();
                                self->on_bytes(bytes);
                            });
}

void http_session::on_bytes(std::size_t bytes)
{
    const auto now = owner_.running_time();
    buffer_.commit(bytes);
    if (phase_ == connection_phase::idle)
        progress_.begin(now);
    progress_.add(now, bytes, has_header_ ? min_body_bytes : min_header_bytes);
    owner_.gate().on_progress(id_);
    parse();
}

/// Parses what has been read, with the limits in force when the request began.
void http_session::parse()
{
    if (!parser_)
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(owner_.header_bytes());
        parser_->body_limit(owner_.settings().max_body_bytes);
    }
    error_code error;
    for (std::size_t parsed = 1; parsed > 0 && !error && !parser_->is_done();)
    {
        parsed = buffer_.size() > 0 ? parser_->put(buffer_.data(), error) : 0;
        buffer_.consume(parsed);
    }
    if (error == http::error::body_limit)
        return refuse(413, refusal_cause::long_body);
    if (error == http::error::header_limit)
        return refuse(431, refusal_cause::long_header);
    if (error && error != http::error::need_more)
        return close();
    if (!has_header_ && parser_->is_header_done() && !on_header())
        return refuse(431, refusal_cause::long_header);
    if (parser_->is_done())
        return on_request();
    phase_ = connection_phase::receiving;
    read_some();
}

/// @return whether the header has no more fields than allowed
bool http_session::on_header()
{
    has_header_ = true;
    std::size_t count = 0;
    for (const auto& field : parser_->get())
    {
        ++count;
        field_bytes_ += field_cost + field.name_string().size() + field.value().size();
    }
    progress_.begin(owner_.running_time());
    if (count > max_header_fields)
        return false;
    if (!parser_->is_done() &&
        boost::beast::iequals(parser_->get()[http::field::expect], "100-continue"))
        send_continue();
    return true;
}

/// Answers a client that holds its body back until it is asked for it.
void http_session::send_continue()
{
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto sent =
        ::send(socket_.native_handle(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // After a part of it, the client would read the beginning of its response as the rest.
    if (sent > 0 && static_cast<std::size_t>(sent) < text.size())
        close();
}

void http_session::on_request()
{
    auto message = parser_->release();
    parser_.reset();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    const auto host = message[http::field::host];
    request.host = std::string(host.substr(0, host.find(':')));
    if (!owner_.settings().deadline_header.empty())
        request.deadline_header = std::string(message[owner_.settings().deadline_header]);
    request.authorization = std::string(message[http::field::authorization]);
    request.body = std::move(message.body());
    request.client_disconnected = peek() == readable_input::end;
    keep_alive_ = message.keep_alive();
    const auto bytes = buffer_.capacity() + request.body.capacity();
    if (!owner_.gate().can_serve(bytes))
    {
        // No status: the request may concern a job that is in progress, which a refusal as not run
        // would deny.
        owner_.gate().count(refusal_cause::memory);
        return close();
    }
    request_id_ = owner_.register_request(shared_from_this());
    awaiting_response_ = true;
    report_to_budget(connection_phase::serving, bytes);
    const auto id = request_id_;
    owner_.handle(id, std::move(request));
    if (awaiting_response_)
        watch_for_close();
}

bool http_session::reserve(std::uint64_t bytes)
{
    if (!owner_.gate().can_serve(bytes))
    {
        owner_.gate().count(refusal_cause::memory);
        return false;
    }
    report_to_budget(connection_phase::serving, buffer_.capacity() + bytes);
    return true;
}

void http_session::abandon()
{
    awaiting_response_ = false;
    close();
}

void http_session::report_to_budget(connection_phase phase, std::uint64_t bytes)
{
    phase_ = phase;
    owner_.gate().update(id_, phase, bytes);
}

void http_session::refuse(unsigned status, refusal_cause cause)
{
    owner_.gate().count(cause);
    parser_.reset();
    keep_alive_ = false;
    http_response refused;
    refused.status = status;
    respond(refused, true);
}

void http_session::check_progress(instant now)
{
    if (phase_ == connection_phase::serving || !socket_.is_open())
        return;
    const auto overdue = [&](duration interval) { return progress_.is_overdue(now, interval); };
    const auto end = [&](refusal_cause cause)
    {
        owner_.gate().count(cause);
        close();
    };
    if (phase_ == connection_phase::sending)
    {
        if (overdue(body_interval))
            end(refusal_cause::slow_reading);
    }
    else if (phase_ == connection_phase::receiving)
    {
        const bool in_body = parser_ && parser_->is_header_done();
        if (overdue(in_body ? body_interval : owner_.header_interval()))
            end(refusal_cause::slow_request);
    }
    else if (owner_.idle_timeout() > duration(0) && overdue(owner_.idle_timeout() + idle_margin))
        end(refusal_cause::idle);
}

http_session::readable_input http_session::peek()
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
void http_session::watch_for_close()
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

void http_session::respond(const http_response& reply, bool close_connection)
{
    awaiting_response_ = false;
    if (!socket_.is_open())
        return;
    keep_alive_ = keep_alive_ && !close_connection;
    response_ = "HTTP/1.1 " + std::to_string(reply.status) + ' ';
    response_ += std::string(http::obsolete_reason(http::int_to_status(reply.status))) + "\r\n";
    if (!reply.content_type.empty() && !reply.body.empty())
        response_ += "Content-Type: " + reply.content_type + "\r\n";
    if (reply.retry_after_ms > 0)
        response_ += "Retry-After: " + std::to_string((reply.retry_after_ms + 999) / 1000) + "\r\n";
    if (!keep_alive_)
        response_ += "Connection: close\r\n";
    response_ += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
    progress_.begin(owner_.running_time());
    report_to_budget(connection_phase::sending, buffer_.capacity() + response_.capacity());
    if (!socket_.is_open())
        return;
    // The completion condition is called after each partial write.
    const auto report_progress = [self = shared_from_this(), before = std::size_t{0}](
                                     error_code error, std::size_t written) mutable
    {
        if (written > before)
        {
            self->progress_.add(self->owner_.running_time(), written - before, min_body_bytes);
            self->owner_.gate().on_progress(self->id_);
            before = written;
        }
        return error ? 0 : read_ahead_bytes;
    };
    asio::async_write(socket_, asio::buffer(response_), report_progress,
                      [self = shared_from_this()](error_code error, std::size_t)
                      {
                          if (!self->socket_.is_open())
                              return;
                          self->response_ = {};
                          if (error || !self->keep_alive_)
                          {
                              error_code ignored; // The connection is closed in any case.
                              self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
                              self->close();
                              return;
                          }
                          self->read();
                      });
}

void http_session::close()
{
    if (!socket_.is_open())
        return;
    error_code ignored; // The connection is closed in any case.
    socket_.close(ignored);
    owner_.gate().close(id_);
    owner_.session_closed(shared_from_this());
}

} // namespace tarragonlock
