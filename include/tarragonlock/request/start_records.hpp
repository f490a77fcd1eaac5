#pragma once

#include "tarragonlock/connection/message.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Decision of an agent about an attempt that it is asked to start.
enum class start_decision : std::uint8_t
{
    accepted,  ///< not recorded before, recorded now
    duplicate, ///< this attempt or a later one is already recorded
    blocked    ///< its job was cancelled, or the attempt was reported as not started
};

/// Records of every task that an agent accepted, with its state and result, kept for the record
/// window.
///
/// The records prevent a task that arrives twice from being started twice. They are also the second
/// source from which a new owner of a shard answers callers.
class start_records
{
public:
    /// @param record_window  how long a job's record is kept after its last change
    /// @param max_bytes  limit on the estimated size of the records and their result bodies; the
    /// oldest jobs are removed first
    start_records(duration record_window, std::size_t max_bytes);

    /// Decides whether an attempt may start, and records it when it is accepted.
    /// @param owner  entry that sent the start and receives the result
    start_decision accept(instant now, const std::string& owner, const start_tasks& batch,
                          const task_start& task);

    /// Records the end of an attempt; later changes to an ended attempt are ignored.
    void finish(instant now, const task_outcome& outcome);

    /// @return the recorded outcome of an attempt. One that was never accepted is recorded as not
    /// started, which blocks it from now on.
    task_outcome query(instant now, const task_attempt& attempt);

    /// Blocks all tasks of a job that have not been accepted yet.
    void block_job(instant now, const std::string& job);

    /// Sets the entry that receives a job's results, if the job is recorded.
    void set_owner(const std::string& job, const std::string& owner);
    /// @return the entry that receives the job's results; empty when the job is not recorded.
    const std::string& owner(const std::string& job) const;

    /// @return records of all jobs in a shard.
    std::vector<start_record> in_shard(std::uint32_t shard) const;

    /// Removes jobs that have not changed for the record window, and the oldest jobs while the size
    /// limit is exceeded.
    void expire(instant now);

    std::size_t job_count() const { return jobs_.size(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct recorded_job
    {
        std::string owner;
        std::uint64_t digest = 0;
        std::uint32_t task_count = 0;
        std::uint32_t shard = no_shard;
        bool blocked = false;
        instant changed_at;
        std::vector<task_outcome> tasks;
    };

    /// Finds or adds a job and sets the time of its last change.
    recorded_job& touch_or_add(instant now, const std::string& job);
    static task_outcome* find(recorded_job& job, std::uint32_t index);
    void erase_job(const std::string& job);

    duration record_window_;
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    absl::flat_hash_map<std::string, recorded_job> jobs_;
    /// Jobs by time of a change; an element is stale when its job has changed since.
    std::deque<std::pair<instant, std::string>> by_age_;
};

} // namespace tarragonlock
