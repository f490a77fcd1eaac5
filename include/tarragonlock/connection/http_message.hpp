#pragma once

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// An HTTP/1.1 request as received by a server.
struct http_request
{
    std::string method;
    /// Path and query string.
    std::string target;
    /// Host header without the port.
    std::string host;
    std::string body;
    /// Value of the header named in loop_http_server::options::deadline_header; empty when missing.
    std::string deadline_header;
    /// Value of the Authorization header; empty when missing.
    std::string authorization;
    /// Whether the client had closed the connection by the time the request was read.
    bool client_disconnected = false;
};

struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Value of the Retry-After header, rounded up to seconds when sent; 0 for none.
    std::uint32_t retry_after_ms = 0;
};

} // namespace tarragonlock
