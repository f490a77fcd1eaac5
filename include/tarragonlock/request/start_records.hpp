#pragma once

#include "tarragonlock/connection/message.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <string>
#include <vector>

namespace tarragonlock
{

/// What an agent decides about an attempt it is asked to start.
enum class start_decision : std::uint8_t
{
    accepted,  ///< unknown so far, now recorded
    duplicate, ///< this attempt or a later one is known
    blocked    ///< its job was cancelled, or the attempt was declared not started
};

/// Every task that an agent accepted, with its state and result, for the record window.
///
/// The records are the second source from which a new owner of a shard answers, and they are why a
/// task that arrives twice is started once.
class start_records
{
public:
    /// @param window  how long a job's record is kept after its last change
    /// @param max_bytes  bound on kept result bodies; the oldest jobs go first
    start_records(duration record_window, std::size_t max_bytes);

    /// Decides about an attempt and records it when it is fresh.
    /// @param owner  entry that sent the start and gets the result
    start_decision accept(instant now, const std::string& owner, const start_tasks& batch,
                          const task_start& task);

    /// Records the end of an attempt; later changes to an ended attempt are ignored.
    void finish(instant now, const task_outcome& outcome);

    /// Answers a question about an attempt. One that was never accepted is barred from now on.
    task_outcome query(instant now, const task_attempt& attempt);

    /// Bars all tasks of a job that have not been accepted yet.
    void block_job(instant now, const std::string& job);

    /// Makes an entry the owner of a job's results, if the job is known.
    void set_owner(const std::string& job, const std::string& owner);
    /// @return the entry that gets the job's results; empty when the job is unknown.
    const std::string& owner(const std::string& job) const;

    /// @return records of all jobs in a shard.
    std::vector<start_record> in_shard(std::uint32_t shard) const;

    /// Forgets jobs that have not changed for the window.
    void expire(instant now);

    std::size_t job_count() const { return jobs_.size(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct recorded_job
    {
        std::string owner;
        std::uint64_t digest = 0;
        std::uint32_t task_count = 0;
        std::uint32_t shard = minted_shard;
        bool blocked = false;
        instant changed_at;
        std::vector<task_outcome> tasks;
    };

    recorded_job& touch_or_add(instant now, const std::string& job);
    static task_outcome* find(recorded_job& job, std::uint32_t index);
    void erase_job(const std::string& job);

    duration record_window_;
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    absl::flat_hash_map<std::string, recorded_job> jobs_;
    /// Jobs by time of a change; an entry is stale when the job has changed since.
    std::deque<std::pair<instant, std::string>> by_age_;
};

} // namespace tarragonlock
