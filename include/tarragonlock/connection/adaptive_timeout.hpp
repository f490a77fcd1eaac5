#pragma once

#include "tarragonlock/common/time.hpp"

#include <chrono>

namespace tarragonlock
{

/// Bounds of an adaptive timeout.
struct adaptive_timeout_bounds
{
    duration minimum = std::chrono::milliseconds(20);
    duration maximum = std::chrono::milliseconds(500);
    friend bool operator==(const adaptive_timeout_bounds&,
                           const adaptive_timeout_bounds&) = default;
};

/// Timeout for calls to a server, estimated from measured response times in the way TCP computes
/// its retransmission timeout (RFC 6298).
///
/// Calls that time out are repeated on new connections, which costs a slow server more than the
/// response would have. Therefore a timeout doubles the limit until a response arrives.
class adaptive_timeout
{
public:
    explicit adaptive_timeout(adaptive_timeout_bounds bounds)
        : bounds_(bounds), limit_(bounds.minimum)
    {
    }

    /// Records the response time of a call.
    void on_response(duration response_time);
    /// Records that a call timed out.
    void on_timeout(instant now);
    /// @return the timeout of the next call.
    duration limit() const { return limit_; }

private:
    adaptive_timeout_bounds bounds_;
    duration limit_;
    duration mean_{};
    duration deviation_{};
    /// When the limit was last doubled; calls that were in progress then do not double it again.
    instant last_doubling_;
};

} // namespace tarragonlock
