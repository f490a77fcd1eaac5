#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/request/job.hpp"
#include "tarragonlock/version/declarations.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Whose answers are counted together.
struct service_level_key
{
    std::string service;
    std::string team;
    std::uint32_t urgency = 0;
    friend auto operator<=>(const service_level_key&, const service_level_key&) = default;
};

/// Answers within one window.
struct service_level_window
{
    std::uint64_t total = 0;
    std::uint64_t good = 0;
    friend bool operator==(const service_level_window&, const service_level_window&) = default;
};

/// What the report needs about one key.
struct service_level_summary
{
    service_level_key key;
    service_objective objective;
    service_level_window last_5_minutes;
    service_level_window last_hour;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
};

/// Response times and outcomes by service, team and urgency, in Boost histograms.
class service_levels
{
public:
    service_levels();
    ~service_levels();
    service_levels(const service_levels&) = delete;
    service_levels& operator=(const service_levels&) = delete;

    /// Counts an answer. It is good when it is complete and within the objective's time.
    void record(instant now, const service_level_key& key, const service_objective& objective,
                outcome answer_outcome, std::chrono::milliseconds response_time);
    std::vector<service_level_summary> summaries(instant now) const;
    /// @return Prometheus text.
    std::string metrics() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// @return how fast the error budget is used: 1 uses it up exactly at the objective's pace.
///         (Beyer et al., The Site Reliability Workbook, 2018, chapter 5)
double burn_rate(const service_level_window& window, double target);

} // namespace tarragonlock
