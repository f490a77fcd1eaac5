#pragma once

#include "tarragonlock/connection/message.hpp"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock
{

struct recovery_options
{
    /// Longest wait for the answers of agents; after it the shards are served without them.
    duration max_wait = std::chrono::seconds(3);
    /// Interval at which unanswered requests are sent again.
    duration retry_interval = std::chrono::milliseconds(500);
    /// Number of entries, this one included, whose worker lists are required.
    std::size_t majority = 1;
};

/// One recovery of shards from the start records of the agents.
///
/// It requests the worker lists of the entries, fences every worker on them, and collects the start
/// records of the workers. Without the answers of all workers the shards are uncertain: a job
/// without a record may have been started by a worker that did not answer.
class recovery
{
public:
    recovery(recovery_options options, instant now, std::uint64_t request,
             std::uint64_t table_version, std::vector<shard_epoch> shards);

    /// Sends the first requests.
    /// @param entries          the other entries
    /// @param own_workers      workers on this entry's own list
    /// @param worker_list_age  how long this entry has been collecting its list
    void begin(instant now, const std::vector<std::string>& entries,
               const std::vector<process_identity>& own_workers, duration worker_list_age);
    void on_worker_list(const std::string& from, const worker_list_reply& reply);
    /// A worker has connected; it is fenced unless it has already answered.
    void on_worker_connected(const process_identity& worker);
    void on_fence_reply(const std::string& worker, const fence_reply& reply);
    void on_tick(instant now);

    /// @return whether the records collected so far allow the shards to be served.
    bool ready(instant now) const;
    /// @return whether every worker that may hold records has answered.
    bool complete() const;
    /// @return the time for which every entry of a majority has been collecting its worker list, 0
    ///         without a majority; jobs submitted before that are uncertain.
    duration worker_list_age() const;

    std::uint64_t request() const { return request_; }
    std::uint64_t table_version() const { return table_version_; }
    instant started() const { return started_; }
    /// Records that the shards are served from now on.
    void set_activated(instant now) { activated_ = now; }
    std::optional<instant> activated() const { return activated_; }
    const std::vector<shard_epoch>& shards() const { return shards_; }
    /// @return the epoch under which a shard is recovered, if this recovery covers it.
    std::optional<std::uint64_t> epoch_of(std::uint32_t shard) const;
    /// @return records received since the last call, each with its worker's name.
    std::vector<std::pair<std::string, start_record>> take_records()
    {
        return std::exchange(records_, {});
    }
    std::vector<outgoing_message> take_messages() { return std::exchange(messages_, {}); }

private:
    void add_worker(const process_identity& worker);
    void send_fence_request(const std::string& worker);

    recovery_options options_;
    instant started_;
    std::optional<instant> activated_;
    instant last_request_;
    std::uint64_t request_;
    std::uint64_t table_version_;
    std::vector<shard_epoch> shards_;
    std::set<std::string> pending_entries_;
    std::vector<duration> worker_list_ages_;
    std::set<process_identity> expected_workers_;
    std::set<process_identity> answered_workers_;
    std::vector<std::pair<std::string, start_record>> records_;
    std::vector<outgoing_message> messages_;
};

} // namespace tarragonlock
