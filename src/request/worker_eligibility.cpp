#include "tarragonlock/request/worker_eligibility.hpp"

namespace tarragonlock
{

bool may_run(const worker_properties& worker, const job_step& step, const selector& workers)
{
    return workers.matches(worker.attributes) && step.demand.fits_into(worker.capacity) &&
           (step.required_label.empty() || worker.labels.contains(step.required_label));
}

bool has_data_of(const worker_properties& worker, const job_step& step)
{
    return step.data_rack.empty() || worker.labels.contains(step.data_rack);
}

} // namespace tarragonlock
