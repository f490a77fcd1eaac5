#pragma once

#include "tarragonlock/request/leased_job.hpp"
#include "tarragonlock/version/selector.hpp"

#include <set>
#include <string>

namespace tarragonlock
{

/// Properties of a worker that decide which steps it may run. Attributes and labels are kept apart,
/// so that a label never stands for an attribute, nor an attribute for a label.
struct worker_properties
{
    /// What the operators' selectors match, by name: `service`.
    label_set attributes;
    /// Labels that the worker has given itself; any text.
    std::set<std::string, std::less<>> labels;
    resource_amount capacity;
    friend bool operator==(const worker_properties&, const worker_properties&) = default;
};

/// @param workers  selector of the job's queue
/// @return whether the worker, when it is idle, may run the tasks of the step
bool may_run(const worker_properties& worker, const job_step& step, const selector& workers);

/// @return whether the step's data is on the worker's rack, or may be anywhere
bool has_data_of(const worker_properties& worker, const job_step& step);

} // namespace tarragonlock
