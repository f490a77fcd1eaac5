#pragma once

#include "connection/frame_channel.hpp"
#include "connection/loop_http_server.hpp"
#include "process/loop_process.hpp"
#include "tarragonlock/process/leased_protocols.hpp"
#include "tarragonlock/process/leased_settings.hpp"
#include "tarragonlock/process/task_host.hpp"
#include "tarragonlock/version/entry_registrations.hpp"
#include "tarragonlock/version/key_value_client.hpp"
#include "tarragonlock/version/loop_store_client.hpp"

#include <map>
#include <memory>
#include <string>

namespace tarragonlock
{

/// Protocols that an agent uses with the worker and the store.
struct leased_agent_protocols
{
    std::unique_ptr<announcement_protocol> announcements;
    std::unique_ptr<worker_client> worker;
    std::unique_ptr<key_value_client> store;
};

/// Process around a task_host, the agent for leased jobs: provides its sockets and timers.
class leased_agent_daemon
{
public:
    /// @return the daemon with its listening sockets open, or the system error
    static result<std::unique_ptr<leased_agent_daemon>>
    create(boost::asio::io_context& loop, const leased_agent_settings& settings,
           leased_agent_protocols protocols);

    /// Runs until a graceful shutdown has completed.
    void run() { process_.run(); }

private:
    /// An entry to which the agent maintains a channel.
    struct known_entry
    {
        /// Whether the settings name the entry.
        bool hinted = false;
        channel_id channel = 0;
        bool open = false;
        instant dialled_at;
        /// When its last channel was seen open; unset if none ever was.
        instant last_open;
    };

    leased_agent_daemon(boost::asio::io_context& loop, const leased_agent_settings& settings,
                        leased_agent_protocols protocols);

    result<void> open();
    void on_announcement_request(http_request_id id, const http_request& request);
    void on_store_event(const store_event& event);
    void on_channel_lost(channel_id channel);
    void dial_entries(instant now);
    void on_tick(instant now);
    void on_stop(instant now);
    void execute_effects();
    void execute(const start_request& request);
    void execute(const stop_request& request);
    void execute(const renewal_request& request);
    void execute(const to_entry& message);
    void execute(const close_channel& closing);
    std::string metrics() const;

    boost::asio::io_context& loop_;
    leased_agent_settings settings_;
    leased_agent_protocols protocols_;
    /// Bounds what connections of clients hold at all listening ports.
    std::shared_ptr<connection_gate> gate_;
    task_host host_;
    loop_store_client store_;
    loop_process process_;
    std::unique_ptr<frame_channels> channels_;
    std::unique_ptr<loop_http_server> announcements_;
    /// Entries by address.
    std::map<std::string, known_entry> entries_;
    entry_registrations registrations_;
    bool stopping_ = false;
    instant stop_requested_at_;
    std::uint64_t malformed_announcements_ = 0;
    bool executing_effects_ = false;
};

} // namespace tarragonlock
