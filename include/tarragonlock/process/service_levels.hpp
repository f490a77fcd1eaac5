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

/// Answers with the same key are counted together.
struct service_level_key
{
    std::string service;
    std::string team;
    std::uint32_t urgency = 0;
    friend auto operator<=>(const service_level_key&, const service_level_key&) = default;
};

/// Numbers of answers within one time window.
struct service_level_window
{
    std::uint64_t total = 0;
    /// Complete answers within the objective's response time.
    std::uint64_t good = 0;
    friend bool operator==(const service_level_window&, const service_level_window&) = default;
};

/// Service level of one key, for the status report.
struct service_level_summary
{
    service_level_key key;
    service_objective objective;
    service_level_window last_5_minutes;
    service_level_window last_hour;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
};

/// Response times and outcomes by service, team and urgency, as histograms and as counts per
/// minute. Answers of keys beyond some thousand are counted under an empty service and team.
class service_levels
{
public:
    service_levels();
    ~service_levels();
    service_levels(const service_levels&) = delete;
    service_levels& operator=(const service_levels&) = delete;

    /// Counts an answer; it is good when it is complete and within the objective's response time.
    void record(instant now, const service_level_key& key, const service_objective& objective,
                outcome answer_outcome, std::chrono::milliseconds response_time);
    std::vector<service_level_summary> summaries(instant now) const;
    /// @return response-time histograms and answer counters in the Prometheus text format.
    std::string metrics() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// @return the rate at which the error budget is consumed; at 1 the share of answers that are not
///         good is exactly what the target allows (Beyer et al., The Site Reliability Workbook,
///         2018, chapter 5).
/// @param target  share of answers that should be good, below 1
double burn_rate(const service_level_window& window, double target);

} // namespace tarragonlock
