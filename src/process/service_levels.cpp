#include "tarragonlock/process/service_levels.hpp"

#include <absl/strings/str_replace.h>
#include <boost/histogram.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <map>

namespace tarragonlock
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned histogram_bins = 80;
constexpr double min_response_ms = 1.0;
constexpr double max_response_ms = 600'000.0;
constexpr std::size_t long_window_minutes = 60;
constexpr std::size_t short_window_minutes = 5;
/// Most keys that are counted apart; services, teams and urgencies of the largest installations
/// have some hundred combinations. Callers choose the names of teams.
constexpr std::size_t max_levels = 1024;

auto make_histogram()
{
    using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
    return bh::make_histogram(log_axis(histogram_bins, min_response_ms, max_response_ms));
}

using time_histogram = decltype(make_histogram());

/// @return the upper edge of the bin that holds the quantile.
double quantile(const time_histogram& times, double probability)
{
    double total = 0;
    for (const auto& bin : bh::indexed(times, bh::coverage::all))
        total += *bin;
    double cumulative_count = 0;
    for (const auto& bin : bh::indexed(times, bh::coverage::all))
    {
        cumulative_count += *bin;
        if (total > 0 && cumulative_count >= probability * total)
            return std::min(bin.bin().upper(), max_response_ms);
    }
    return 0.0;
}

struct minute_bucket
{
    std::int64_t minute = -1;
    service_level_window window;
};

struct service_level_state
{
    service_objective objective;
    time_histogram times = make_histogram();
    std::array<minute_bucket, long_window_minutes> minutes;
    std::map<outcome, std::uint64_t> outcomes;
    double sum_ms = 0.0;
};

/// @return the value of a label in the Prometheus text format
std::string escaped(const std::string& value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::int64_t minute_of(instant now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

service_level_window window_of(const service_level_state& counted, std::int64_t minute,
                               std::size_t length)
{
    service_level_window sum;
    for (const auto& bucket : counted.minutes)
    {
        if (bucket.minute < 0 || minute - bucket.minute >= static_cast<std::int64_t>(length))
            continue;
        sum.total += bucket.window.total;
        sum.good += bucket.window.good;
    }
    return sum;
}

} // namespace

class service_levels::implementation
{
public:
    std::map<service_level_key, service_level_state> levels;
};

service_levels::service_levels() : impl_(std::make_unique<implementation>()) {}
service_levels::~service_levels() = default;

void service_levels::record(instant now, const service_level_key& key,
                            const service_objective& objective, outcome answer_outcome,
                            std::chrono::milliseconds response_time)
{
    const bool apart = impl_->levels.contains(key) || impl_->levels.size() < max_levels;
    auto& counted = impl_->levels[apart ? key : service_level_key{"", "", key.urgency}];
    counted.objective = objective;
    const auto milliseconds = static_cast<double>(response_time.count());
    counted.times(std::max(milliseconds, min_response_ms));
    counted.sum_ms += milliseconds;
    ++counted.outcomes[answer_outcome];
    const auto minute = minute_of(now);
    auto& bucket = counted.minutes.at(static_cast<std::size_t>(minute) % long_window_minutes);
    if (bucket.minute != minute)
        bucket = {minute, {}};
    ++bucket.window.total;
    const bool good = answer_outcome == outcome::complete && milliseconds <= objective.response_ms;
    bucket.window.good += good ? 1 : 0;
}

std::vector<service_level_summary> service_levels::summaries(instant now) const
{
    std::vector<service_level_summary> all;
    for (const auto& [key, counted] : impl_->levels)
    {
        const auto minute = minute_of(now);
        all.push_back({key, counted.objective, window_of(counted, minute, short_window_minutes),
                       window_of(counted, minute, long_window_minutes),
                       quantile(counted.times, 0.5), quantile(counted.times, 0.99)});
    }
    return all;
}

std::string service_levels::metrics() const
{
    std::string text = "# TYPE tarragonlock_response_ms histogram\n";
    std::string answers = "# TYPE tarragonlock_answers_total counter\n";
    for (const auto& [key, counted] : impl_->levels)
    {
        const auto labels = fmt::format("service=\"{}\",team=\"{}\",urgency=\"{}\"",
                                        escaped(key.service), escaped(key.team), key.urgency);
        double cumulative_count = 0;
        for (const auto& bin : bh::indexed(counted.times))
        {
            cumulative_count += *bin;
            if (*bin > 0)
                text += fmt::format("tarragonlock_response_ms_bucket{{{},le=\"{:.3f}\"}} {}\n",
                                    labels, bin.bin().upper(), cumulative_count);
        }
        text += fmt::format("tarragonlock_response_ms_bucket{{{},le=\"+Inf\"}} {}\n", labels,
                            cumulative_count);
        text += fmt::format("tarragonlock_response_ms_sum{{{}}} {}\n", labels, counted.sum_ms);
        text += fmt::format("tarragonlock_response_ms_count{{{}}} {}\n", labels, cumulative_count);
        for (const auto& [answer_outcome, count] : counted.outcomes)
            answers += fmt::format("tarragonlock_answers_total{{{},outcome=\"{}\"}} {}\n", labels,
                                   to_string(answer_outcome), count);
    }
    return text + answers;
}

double burn_rate(const service_level_window& window, double target)
{
    if (window.total == 0)
        return 0.0;
    const double error_ratio =
        static_cast<double>(window.total - window.good) / static_cast<double>(window.total);
    return error_ratio / (1.0 - target);
}

} // namespace tarragonlock
