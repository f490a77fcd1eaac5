#pragma once

#include "connection/loop_http_server.hpp"
#include "connection/received_body.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace tarragonlock
{

class http_session;

/// What a session needs from its server.
class http_session_owner
{
public:
    virtual ~http_session_owner() = default;
    /// @return the number under which the request waits for its response
    virtual http_request_id register_request(const std::shared_ptr<http_session>& from) = 0;
    virtual void handle(http_request_id id, http_request request) = 0;
    virtual void session_disconnected(http_request_id request) = 0;
    virtual void session_closed(const std::shared_ptr<http_session>& closed) = 0;
    virtual const loop_http_server::options& settings() const = 0;
    virtual connection_gate& gate() = 0;
    /// Longest header, in bytes.
    virtual std::uint32_t header_bytes() const = 0;
    virtual duration header_interval() const = 0;
    /// Zero for none.
    virtual duration idle_timeout() const = 0;
    /// Time for which the process has run. Clients are not blamed for time in which it did not.
    virtual instant running_time() const = 0;
};

/// One connection of a loop_http_server, with at most one request in progress.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(http_session_owner& owner, boost::asio::ip::tcp::socket socket)
        : owner_(owner), socket_(std::move(socket))
    {
    }

    void start();
    void respond(const http_response& reply, bool close_connection);
    bool reserve(std::uint64_t bytes);
    /// Closes the connection without a response to its request.
    void abandon();
    /// @return whether a request waits for its response, or the response has not been sent
    bool is_busy() const
    {
        return phase_ == connection_phase::serving || phase_ == connection_phase::sending;
    }
    /// Closes the connection if its client makes too little progress.
    void check_progress(instant now);
    void close();

private:
    void read();
    void read_some();
    void on_bytes(std::size_t bytes);
    void parse();
    bool on_header();
    void send_continue();
    void on_request();
    void refuse(unsigned status, refusal_cause cause);
    /// What can be read from a connection without waiting.
    enum class readable_input : std::uint8_t
    {
        none,
        data,
        end ///< the client has closed or reset the connection
    };

    readable_input peek();
    void watch_for_close();
    /// Reports to the budget what the connection holds.
    void report_to_budget(connection_phase phase, std::uint64_t bytes);

    http_session_owner& owner_;
    boost::asio::ip::tcp::socket socket_;
    connection_gate::connection id_ = 0;
    connection_phase phase_ = connection_phase::idle;
    transfer_progress progress_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<received_body>> parser_;
    /// Whether the header of the present request is complete.
    bool has_header_ = false;
    std::uint64_t field_bytes_ = 0;
    std::string response_;
    bool keep_alive_ = false;
    http_request_id request_id_ = 0;
    bool awaiting_response_ = false;
};

} // namespace tarragonlock
