#include "tarragonlock/process/speed_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonlock
{

namespace
{

constexpr double slow_mean_gain = 0.02;
constexpr double fast_mean_gain = 0.15;
/// Weight of the initial estimate, slowness 1, as a number of samples.
constexpr double prior_samples = 2.0;
/// Difference between the two averages at which the worker is taken to have changed. The logarithm
/// of a single ratio scatters by about 0.6, the fast average by a quarter of that.
constexpr double change_threshold = 0.6;
constexpr std::uint32_t min_samples_to_compare = 20;

} // namespace

void speed_estimate::add(double run_ms, double expected_ms)
{
    if (expected_ms <= 0.0)
        return;
    const double sample = std::log(std::max(run_ms, 1.0) / expected_ms);
    ++samples_;
    const double initial_gain = 1.0 / (samples_ + prior_samples);
    slow_mean_ += std::max(slow_mean_gain, initial_gain) * (sample - slow_mean_);
    fast_mean_ += std::max(fast_mean_gain, initial_gain) * (sample - fast_mean_);
    if (samples_ < min_samples_to_compare || std::abs(fast_mean_ - slow_mean_) < change_threshold)
        return;
    // The worker has changed, so earlier samples no longer describe it.
    slow_mean_ = fast_mean_;
    samples_ = min_samples_to_compare / 2;
}

} // namespace tarragonlock
