#pragma once

#include <algorithm>

namespace tarragonlock
{

/// Limits retries to a share of recent successes, so that retries cannot multiply an overload.
class retry_budget
{
public:
    /// Retries earned by one success.
    static constexpr double share = 0.1;
    /// Most retries that can be saved up, and the number available at the start.
    static constexpr double capacity = 20.0;

    void on_success() { tokens_ = std::min(capacity, tokens_ + share); }

    /// @return whether a retry may be made; takes it from the budget.
    bool take()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    double tokens_ = capacity;
};

} // namespace tarragonlock
