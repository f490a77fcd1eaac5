#include "tarragonlock/connection/answer_time.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Weights of a new sample, and of the deviation in the limit (RFC 6298, section 2).
constexpr int mean_weight = 8;
constexpr int deviation_weight = 4;
constexpr int deviations_allowed = 4;
/// Answers may take this many times the usual time.
constexpr int slack = 2;

} // namespace

void answer_time::on_answer(duration took)
{
    const auto off = took > mean_ ? took - mean_ : mean_ - took;
    deviation_ += (off - deviation_) / deviation_weight;
    mean_ += (took - mean_) / mean_weight;
    limit_ =
        std::clamp(slack * (mean_ + deviations_allowed * deviation_), bounds_.least, bounds_.most);
}

void answer_time::on_timeout(instant now)
{
    if (now - doubled_ < limit_)
        return;
    doubled_ = now;
    limit_ = std::min(limit_ * 2, bounds_.most);
}

} // namespace tarragonlock
