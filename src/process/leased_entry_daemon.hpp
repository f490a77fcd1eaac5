#pragma once

#include "connection/frame_channel.hpp"
#include "connection/loop_http_server.hpp"
#include "process/loop_process.hpp"
#include "tarragonlock/process/configuration_relay.hpp"
#include "tarragonlock/process/evacuation_relay.hpp"
#include "tarragonlock/process/leased_dispatcher.hpp"
#include "tarragonlock/process/leased_protocols.hpp"
#include "tarragonlock/process/leased_settings.hpp"
#include "tarragonlock/version/key_value_client.hpp"
#include "tarragonlock/version/loop_store_client.hpp"

#include <map>
#include <memory>
#include <string>

namespace tarragonlock
{

/// Prefix of the store keys under which entries register; the value is the address for agents.
inline constexpr auto entry_key_prefix = "tarragonlock/entries/";

/// Protocols and formats that an entry uses with callers, for its configuration and with the store.
struct leased_entry_protocols
{
    std::unique_ptr<caller_protocol> callers;
    std::unique_ptr<configuration_format> configuration;
    std::unique_ptr<key_value_client> store;
};

/// Process of an entry for leased jobs: connects a leased_dispatcher to sockets and timers.
class leased_entry_daemon
{
public:
    /// @return the daemon with its sockets open, or the system's error
    static result<std::unique_ptr<leased_entry_daemon>>
    create(boost::asio::io_context& loop, const leased_entry_settings& settings,
           leased_entry_protocols protocols);

    /// Runs until a graceful shutdown is complete.
    void run() { process_.run(); }

private:
    leased_entry_daemon(boost::asio::io_context& loop, const leased_entry_settings& settings,
                        leased_entry_protocols protocols);

    result<void> open();
    void on_request(http_request_id id, const http_request& request);
    void submit(http_request_id id, const http_request& request, const queue_rule& rule,
                std::string_view path_suffix);
    void on_store_event(const store_event& event);
    void apply_configuration(const std::string& document);
    void on_snapshot(instant now, const store_snapshot& snapshot);
    void on_change(instant now, const store_change& change);
    void inform_agents_of_evacuations(instant now);
    void request_configuration(instant now);
    void on_frame(channel_id channel, const lease_frame& frame);
    void on_tick(instant now);
    void on_stop(instant now);
    /// @return when a stopping entry answers the jobs that are still in progress.
    instant final_answer_time() const;
    void apply_effects();
    bool ready() const;
    std::string metrics() const;

    boost::asio::io_context& loop_;
    leased_entry_settings settings_;
    leased_entry_protocols protocols_;
    /// Bounds what connections of clients hold at all listening ports.
    std::shared_ptr<connection_gate> gate_;
    leased_dispatcher dispatcher_;
    loop_store_client store_;
    loop_process process_;
    std::unique_ptr<frame_channels> channels_;
    std::unique_ptr<loop_http_server> caller_server_;
    std::unique_ptr<loop_http_server> readiness_server_;
    std::unique_ptr<loop_http_server> announcement_server_;
    route_table routes_;
    configuration_relay configuration_;
    evacuation_relay evacuations_;
    bool stopping_ = false;
    /// Whether the tasks that wait at agents have been taken back before the final answers.
    bool taken_back_ = false;
    instant stop_requested_at_;
    std::uint64_t malformed_requests_ = 0;
    /// Submissions whose client had disconnected before they were read.
    std::uint64_t abandoned_requests_ = 0;
};

} // namespace tarragonlock
