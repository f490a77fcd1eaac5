#pragma once

#include "tarragonlock/version/key_value_client.hpp"
#include "tarragonlock/version/store_client.hpp"

#include <memory>
#include <optional>
#include <string>

namespace tarragonlock
{

struct loop_store_options
{
    /// Prefix of the keys to watch.
    std::string prefix;
    /// Lease time of the process's own key, counted from the last renewal.
    duration lease_time = std::chrono::seconds(10);
    /// Interval at which the process checks that its key exists. Renewals do not show that: another
    /// writer may have deleted the key, or a late write of an earlier process may have bound it to
    /// a lease that has expired since.
    duration registration_check_interval = std::chrono::seconds(10);
    /// Longest time for which the service holds one watch open without a change. A watch that the
    /// service does not know, because it was silent when the watch was opened, or whose answer is
    /// lost, looks like one without a change; this bounds the time until it is opened again.
    duration watch_wait = std::chrono::milliseconds(1500);
    /// Delay before a failed call is retried.
    duration retry_interval = std::chrono::milliseconds(300);
    /// Time without an answer after which a read is hedged by another one. The service may have
    /// been down when the first one was sent; a slow service answers within 250 ms.
    duration read_hedge_delay = std::chrono::milliseconds(400);
};

/// A store_client for an event loop: it has no threads of its own and is driven by on_tick.
class loop_store_client : public store_client
{
public:
    /// @param kv_client  must outlive the client
    loop_store_client(key_value_client& kv_client, loop_store_options options,
                      event_handler on_event);

    void swap(std::uint64_t request, const std::string& key, std::int64_t expected_revision,
              const std::string& value) override;
    void keep_registered(const std::string& key, const std::string& value) override;
    void unregister() override;
    std::uint64_t call_count() const override { return kv_client_.call_count(); }
    void on_tick(instant now);

private:
    enum class watch_state : std::uint8_t
    {
        needs_read, ///< all keys must be read before a watch can be opened
        reading,
        ready, ///< the next watch may be opened
        watching
    };

    /// One read of all pages. Several may be in flight; the first one to complete is used.
    struct full_read
    {
        /// Value of read_round_ when the read started; a read of an earlier round is discarded.
        std::uint64_t round = 0;
        store_snapshot pages;
        /// Revision of the first page, after which the watch starts; empty before it has arrived.
        std::optional<std::int64_t> revision;
    };

    void start_full_read(instant now);
    void read_page(const std::shared_ptr<full_read>& read, const std::string& after_key);
    void append_page(const std::shared_ptr<full_read>& read, store_page page);
    void on_read_failed(const std::error_code& error);
    void open_watch();
    void mark_reachable();
    void renew_registration(instant now);
    void write_registration();
    void check_registration(instant now);

    key_value_client& kv_client_;
    loop_store_options options_;
    event_handler on_event_;
    watch_state watch_ = watch_state::needs_read;
    instant next_retry_;
    instant watch_opened_;
    std::int64_t revision_ = 0;
    std::uint64_t read_round_ = 0;
    std::uint32_t reads_in_flight_ = 0;
    instant last_read_started_;
    bool reachable_ = true;
    std::optional<std::pair<std::string, std::string>> registration_;
    std::int64_t lease_ = 0;
    bool registered_ = false;
    bool registration_pending_ = false;
    instant next_renewal_;
    bool check_pending_ = false;
    instant next_check_;
};

} // namespace tarragonlock
