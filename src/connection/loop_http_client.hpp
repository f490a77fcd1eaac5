#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/adaptive_timeout.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace tarragonlock
{

/// Reasons why an HTTP call has no response.
enum class http_client_error
{
    not_connected = 1, ///< nothing was sent
    refused,           ///< no process listens at the address; nothing was sent
    no_response        ///< the call may have been carried out
};

std::error_code make_error_code(http_client_error error);

struct http_client_request
{
    std::string method;
    std::string target;
    std::string body;
    /// Headers besides Host and Content-Type.
    std::vector<std::pair<std::string, std::string>> headers;
    /// Longest time from the call to the end of the response.
    duration timeout = std::chrono::milliseconds(1000);
};

struct http_client_response
{
    unsigned status = 0;
    std::string body;
};

/// Client of one HTTP/1.1 server on an event loop, with persistent connections.
class loop_http_client
{
public:
    using handler = std::function<void(std::error_code, http_client_response)>;

    /// @param adaptive_bounds  bounds of a timeout that adapts to the server's response times; none
    ///                         for no such timeout. The timeout of a request applies as well.
    static std::unique_ptr<loop_http_client>
    create(boost::asio::io_context& loop, std::string address, std::size_t max_connections,
           std::optional<adaptive_timeout_bounds> adaptive_bounds = std::nullopt);
    virtual ~loop_http_client() = default;
    loop_http_client() = default;
    loop_http_client(const loop_http_client&) = delete;
    loop_http_client& operator=(const loop_http_client&) = delete;

    /// Sends a request on an idle or new connection, or queues it when all connections are busy.
    virtual void call(http_client_request request, handler on_response) = 0;
    /// Fails calls that have timed out; to be called every few milliseconds while calls are open.
    virtual void on_tick(instant now) = 0;
    virtual const std::string& address() const = 0;
    virtual std::size_t open_calls() const = 0;
};

} // namespace tarragonlock

template<>
struct std::is_error_code_enum<tarragonlock::http_client_error> : std::true_type
{
};
