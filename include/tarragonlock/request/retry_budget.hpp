#pragma once

#include <algorithm>

namespace tarragonlock
{

/// Limits retries to a share of recent successes, so that retries cannot amplify an overload.
class retry_budget
{
public:
    /// Retries earned by one success.
    static constexpr double retries_per_success = 0.1;
    /// Most retries that can accumulate, and the number available at the start.
    static constexpr double max_tokens = 20.0;

    void on_success() { tokens_ = std::min(max_tokens, tokens_ + retries_per_success); }

    /// Deducts one retry from the budget. @return whether the budget allowed it.
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
