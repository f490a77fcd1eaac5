#include "tarragonlock/request/worker_pace.hpp"

#include <algorithm>
#include <chrono>

namespace tarragonlock
{

namespace
{

/// Weight of the newest run in the moving averages, which cover about the last thirty runs.
constexpr double weight = 0.03;
/// Fewer runs than this say nothing: with 3 tails in 100 runs, three of four runs are tails less
/// than once in 9,000 times.
constexpr std::size_t min_runs = 4;
/// Least factor between the usual and the latest slowness. Declared times that are off by 40%
/// explain a factor of 2.3 between two runs.
constexpr double min_change = 2.4;
/// Bounds of the reported slowness.
constexpr double min_reported = 0.1;
constexpr double max_reported = 20.0;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

void worker_pace::on_run_done(instant now, duration elapsed, duration declared)
{
    const auto elapsed_ms = to_ms(elapsed);
    const auto declared_ms = to_ms(declared);
    mean_run_ms_ += weight * (elapsed_ms - mean_run_ms_);
    if (declared_ms <= 0.0)
        return;
    mean_actual_ms_ += weight * (elapsed_ms - mean_actual_ms_);
    mean_declared_ms_ += weight * (declared_ms - mean_declared_ms_);
    latest_.at(next_) = {now, elapsed_ms / declared_ms};
    next_ = (next_ + 1) % latest_.size();
}

duration worker_pace::mean_run() const
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(mean_run_ms_));
}

double worker_pace::usual_slowness() const
{
    if (mean_declared_ms_ <= 0.0)
        return 1.0;
    return std::clamp(mean_actual_ms_ / mean_declared_ms_, min_reported, max_reported);
}

double worker_pace::slowness(instant now, const std::vector<double>& running) const
{
    const auto usual = usual_slowness();
    std::vector<double> ended;
    for (const auto& each : latest_)
    {
        if (each.slowness > 0.0 && now - each.ended < sample_lifetime)
            ended.push_back(each.slowness);
    }
    auto runs = ended;
    runs.insert(runs.end(), running.begin(), running.end());
    if (runs.size() < min_runs)
        return usual;
    std::sort(runs.begin(), runs.end());
    std::sort(ended.begin(), ended.end());
    const bool slower = runs[runs.size() / min_runs] > usual * min_change;
    // A run in progress may still turn out slow.
    const bool faster = ended.size() >= min_runs && ended[ended.size() - 1] < usual / min_change;
    const auto& shown = slower ? runs : ended;
    return slower || faster ? std::clamp(shown[shown.size() / 2], min_reported, max_reported)
                            : usual;
}

double min_slowness(duration elapsed, std::uint32_t percent_done, duration declared)
{
    if (declared <= duration(0))
        return 0.0;
    // The actual progress is less than one percent above the reported one.
    constexpr double whole = 100.0;
    const auto at_most = std::min(percent_done + 1.0, whole);
    return to_ms(elapsed) * whole / at_most / to_ms(declared);
}

} // namespace tarragonlock
