#pragma once

#include <cstdint>

namespace tarragonlock
{

/// Limits that the operators set for requests of callers; 0 where they set none.
struct client_limits
{
    std::uint32_t max_header_bytes = 0;
    std::uint32_t max_body_bytes = 0;
    /// Time within which a client must make progress with a header.
    std::uint32_t header_timeout_ms = 0;
    /// Time after which an idle connection may be closed.
    std::uint32_t idle_timeout_ms = 0;

    friend bool operator==(const client_limits&, const client_limits&) = default;
};

} // namespace tarragonlock
