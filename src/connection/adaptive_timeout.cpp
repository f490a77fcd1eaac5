#include "tarragonlock/connection/adaptive_timeout.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Divisors for the weight of a new sample in the mean and in the deviation, and the multiple of
/// the deviation that is added to the mean (RFC 6298, section 2).
constexpr int mean_gain_divisor = 8;
constexpr int deviation_gain_divisor = 4;
constexpr int deviations_allowed = 4;
/// A call may take this many times the estimate.
constexpr int limit_factor = 2;

} // namespace

void adaptive_timeout::on_response(duration response_time)
{
    const auto difference = response_time > mean_ ? response_time - mean_ : mean_ - response_time;
    deviation_ += (difference - deviation_) / deviation_gain_divisor;
    mean_ += (response_time - mean_) / mean_gain_divisor;
    limit_ = std::clamp(limit_factor * (mean_ + deviations_allowed * deviation_), bounds_.minimum,
                        bounds_.maximum);
}

void adaptive_timeout::on_timeout(instant now)
{
    if (now - last_doubling_ < limit_)
        return;
    last_doubling_ = now;
    limit_ = std::min(limit_ * 2, bounds_.maximum);
}

} // namespace tarragonlock
