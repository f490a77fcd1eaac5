#pragma once

#include "tarragonlock/connection/message.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock
{

/// Record of a job that the owner of its shard keeps for the record window.
struct registered_job
{
    enum class state : std::uint8_t
    {
        running,  ///< in progress in this process's dispatcher
        finished, ///< ended; reply holds the answer
        remote,   ///< in progress at the entry that handed the shard over
        recovered ///< known only from agents' start records
    };

    state current_state = state::running;
    std::uint64_t digest = 0;
    answer reply;
    /// For state::remote, the entry that runs the job.
    std::string running_entry;
    /// For state::recovered, the outcomes with the workers that reported them.
    std::vector<std::pair<std::string, task_outcome>> outcomes;
    std::uint32_t task_count = 0;
    /// Results were dropped to stay within the memory bound.
    bool results_dropped = false;
    instant changed_at;
};

/// Jobs by identifier, each kept for the record window after its last change.
class job_registry
{
public:
    /// @param record_window  how long a job is kept after its last change
    /// @param max_result_bytes  limit on kept results; those of the oldest jobs are dropped first
    job_registry(duration record_window, std::size_t max_result_bytes);

    const registered_job* find(const std::string& id) const;
    void start(instant now, const std::string& id, std::uint64_t digest);
    void finish(instant now, const answer& reply);
    /// Removes a job that was refused, so that the same id may be submitted again.
    void remove(const std::string& id) { jobs_.erase(id); }
    void add_remote(instant now, const std::string& id, std::uint64_t digest,
                    const std::string& running_entry);
    /// Adds the record of one agent; records of several agents about a job are merged.
    void add_recovered(instant now, const std::string& worker, const start_record& record);
    /// Adds an outcome to a recovered job; ignored for jobs in any other state.
    void add_outcome(instant now, const std::string& worker, const task_outcome& outcome);
    /// @return records of all jobs in the shards, for a planned transfer.
    std::vector<job_record> records_of(const std::vector<std::uint32_t>& shards) const;
    void expire(instant now);

    std::size_t size() const { return jobs_.size(); }
    std::size_t result_bytes() const { return result_bytes_; }

private:
    /// Finds or adds a job and sets the time of its last change.
    registered_job& touch_or_add(instant now, const std::string& id);

    duration record_window_;
    std::size_t max_result_bytes_;
    std::size_t result_bytes_ = 0;
    absl::flat_hash_map<std::string, registered_job> jobs_;
    std::deque<std::pair<instant, std::string>> by_age_;
    /// Finished jobs, oldest first: the order in which results are dropped.
    std::deque<std::string> jobs_with_results_;
};

} // namespace tarragonlock
