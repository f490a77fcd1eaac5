#pragma once

#include "tarragonlock/common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tarragonlock
{

/// Run times on one worker: moving averages of all its runs, and what its latest ones show.
///
/// Load pattern: a worker turns several times slower on all tasks and recovers later, while single
/// runs on sound workers take several times as long as declared too. Averages over thirty runs
/// follow such a change only after seconds of work that ends late. The progress of the runs shows
/// it within a few of them: when nearly all runs are far slower than usual, the worker is; when
/// one is, the run is.
class worker_pace
{
public:
    /// Records a run that succeeded.
    /// @param declared  run time that its caller declared; 0 when unknown
    void on_run_done(instant now, duration elapsed, duration declared);
    /// @return mean time for which a task occupies its resources.
    duration mean_run() const;
    /// @return mean run time divided by the mean declared one, over about thirty runs
    double usual_slowness() const;
    /// @param running  least slowness of each run in progress, from its progress so far
    /// @return run times on this worker at present, divided by the declared ones: those of the
    ///         latest runs when nearly all of them differ much from the usual ones, else the usual
    double slowness(instant now, const std::vector<double>& running) const;

    /// Time for which an ended run says something about the present. A worker that is given no
    /// task because of its latest runs is tried again after it.
    static constexpr duration sample_lifetime = std::chrono::seconds(2);

private:
    struct sample
    {
        instant ended;
        double slowness = 0.0;
    };

    double mean_run_ms_ = 200.0;
    double mean_actual_ms_ = 0.0;
    double mean_declared_ms_ = 0.0;
    /// The latest runs with a declared run time, in a ring.
    std::array<sample, 4> latest_{};
    std::size_t next_ = 0;
};

/// @param elapsed       time since the start of a run
/// @param percent_done  its progress, rounded down
/// @param declared      run time that its caller declared; 0 when unknown
/// @return a lower bound of the run's slowness; 0 when unknown
double min_slowness(duration elapsed, std::uint32_t percent_done, duration declared);

} // namespace tarragonlock
