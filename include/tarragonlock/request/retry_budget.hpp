#pragma once

#include <algorithm>

namespace tarragonlock
{

/// Limits retries to a share of recent successes, so that retries cannot multiply an overload.
class retry_budget
{
public:
    /// Retries earned by one success.
    static constexpr double retries_per_success = 0.1;
    /// Most retries that can be saved up, and the number available at the start.
    static constexpr double max_tokens = 20.0;

    void on_success() { tokens_ = std::min(max_tokens, tokens_ + retries_per_success); }

    /// @return whether a retry may be made; takes it from the budget.
    bool try_take()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    double tokens_ = max_tokens;
};

} // namespace tarragonlock
