#pragma once

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// A request as it came over HTTP/1.1.
struct http_request
{
    std::string method;
    /// Path with its query.
    std::string target;
    /// Host header without port.
    std::string host;
    std::string body;
    /// Value of the header that the server was told to look for; empty when it is missing.
    std::string deadline_header;
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
