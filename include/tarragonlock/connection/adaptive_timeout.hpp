#pragma once

#include "tarragonlock/common/time.hpp"

#include <chrono>

namespace tarragonlock
{

/// Bounds of the time that a call may take.
struct adaptive_timeout_bounds
{
    duration minimum = std::chrono::milliseconds(20);
    duration maximum = std::chrono::milliseconds(500);
    friend bool operator==(const adaptive_timeout_bounds&,
                           const adaptive_timeout_bounds&) = default;
};

/// How long to wait for a server's answers, learned from those that came, as TCP learns its
/// retransmission time (RFC 6298).
///
/// Calls that time out are made again on new connections, which costs a slow server more than the
/// answer would have. So each one doubles the limit until an answer comes.
class adaptive_timeout
{
public:
    explicit adaptive_timeout(adaptive_timeout_bounds bounds)
        : bounds_(bounds), limit_(bounds.minimum)
    {
    }

    /// An answer came after this time.
    void on_answer(duration took);
    /// A call was given up.
    void on_timeout(instant now);
    /// @return how long the next call may take.
    duration limit() const { return limit_; }

private:
    adaptive_timeout_bounds bounds_;
    duration limit_;
    duration mean_{};
    duration deviation_{};
    /// When the limit was last doubled; calls that ran at that time do not double it again.
    instant last_doubling_;
};

} // namespace tarragonlock
