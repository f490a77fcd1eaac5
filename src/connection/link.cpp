#include "tarragonlock/connection/link.hpp"

#include "connection/connection_gate.hpp"
#include "connection/framed_connection.hpp"
#include "tarragonlock/common/mailbox.hpp"
#include "tarragonlock/connection/codec.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <thread>

namespace tarragonlock
{

namespace
{

class link_category : public std::error_category
{
public:
    const char* name() const noexcept override { return "tarragonlock.link"; }
    std::string message(int value) const override
    {
        switch (static_cast<link_error>(value))
        {
        case link_error::bad_address:
            return "address must be an IPv4 address and a port, as in 127.0.0.1:7100";
        case link_error::cannot_listen:
            return "cannot listen on the address";
        }
        return "unknown link error";
    }
};

constexpr int poll_interval_ms = 20;
constexpr std::size_t events_per_poll = 256;
/// Interval of the check of connections for silence and for due acknowledgements.
constexpr auto maintenance_interval = std::chrono::milliseconds(25);

struct keep_connected_command
{
    std::string peer;
    std::string address;
};

/// Closes the connections that the budget of the process has removed.
struct close_refused_command
{
};

struct stop_command
{
};

using command =
    std::variant<keep_connected_command, outgoing_message, close_refused_command, stop_command>;

/// Implementation of link with epoll, on a thread that owns all sockets.
class epoll_link : public link
{
public:
    epoll_link(link_options options, event_handler on_event, socket_handle listener)
        : options_(std::move(options)), on_event_(std::move(on_event)),
          gate_(options_.gate ? options_.gate
                              : std::make_shared<connection_gate>(connection_limits{})),
          listener_(std::move(listener)), epoll_(epoll_create1(EPOLL_CLOEXEC)),
          wakeup_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        watch(listener_.fd(), EPOLLIN);
        watch(wakeup_event_.fd(), EPOLLIN);
        thread_ = std::thread([this] { run(); });
    }

    ~epoll_link() override
    {
        post(stop_command{});
        thread_.join();
        for (const auto& [fd, connection] : connections_)
        {
            if (connection.client)
                gate_->close(*connection.client);
        }
    }
    epoll_link(const epoll_link&) = delete;
    epoll_link& operator=(const epoll_link&) = delete;

    void keep_connected(const std::string& peer, const std::string& address) override
    {
        post(keep_connected_command{peer, address});
    }

    void send(const std::string& peer, message body) override
    {
        post(outgoing_message{peer, std::move(body)});
    }

    link_counters counters() const override
    {
        return {frames_sent_,    frames_received_,    bytes_sent_,
                bytes_received_, silent_connections_, dropped_frames_};
    }

private:
    struct peer_state
    {
        std::string address;
        bool keep_connected = false;
        int connection = -1;
        instant next_dial_at;
        bool dialling = false;
    };

    void post(command item)
    {
        commands_.post(std::move(item));
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wakeup_event_.fd(), &one, sizeof(one));
    }

    void watch(int fd, std::uint32_t events)
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        if (epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, fd, &event) != 0)
            epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, fd, &event);
    }

    void run()
    {
        std::array<epoll_event, events_per_poll> events{};
        while (!stopping_)
        {
            const int ready = epoll_wait(epoll_.fd(), events.data(),
                                         static_cast<int>(events.size()), poll_interval_ms);
            const auto now = process_clock::now();
            for (int i = 0; i < ready; ++i)
                on_ready(events.at(static_cast<std::size_t>(i)), now);
            run_commands(now);
            maintain(now);
        }
    }

    void on_ready(const epoll_event& event, instant now)
    {
        if (event.data.fd == wakeup_event_.fd())
        {
            std::uint64_t count = 0;
            [[maybe_unused]] const auto size = ::read(wakeup_event_.fd(), &count, sizeof(count));
            return;
        }
        if (event.data.fd == listener_.fd())
            return accept_all(now);
        const auto found = connections_.find(event.data.fd);
        if (found == connections_.end())
            return;
        auto& connection = found->second;
        std::vector<frame> frames;
        const auto received = connection.bytes_received();
        const bool usable = connection.read(frames, now) && (event.events & EPOLLERR) == 0U;
        bytes_received_ += connection.bytes_received() - received;
        const int fd = event.data.fd;
        if (connection.client && connection.bytes_received() > received)
            gate_->on_progress(*connection.client);
        account(connection);
        for (auto& item : frames)
        {
            if (!connections_.contains(fd) || !handle_frame(fd, item, now))
                return close_connection(fd);
        }
        if (!usable)
            return close_connection(fd);
        flush(fd);
    }

    void accept_all(instant now)
    {
        for (auto accepted = accept_from(listener_); accepted.is_open();
             accepted = accept_from(listener_))
            add_connection(std::move(accepted), false, now);
    }

    void add_connection(socket_handle socket, bool dialled, instant now)
    {
        const int fd = socket.fd();
        auto& connection =
            connections_.try_emplace(fd, std::move(socket), dialled, now).first->second;
        if (!dialled)
            connection.client =
                gate_->open([this](refusal_cause) { post(close_refused_command{}); });
        connection.queue(frame_kind::hello, encode_hello({options_.self, options_.listen}), now);
        watch(fd, EPOLLIN | EPOLLOUT);
    }

    /// Reports to the budget what an accepted connection holds.
    void account(const framed_connection& connection)
    {
        if (connection.client)
            gate_->update(*connection.client, phase_of(connection.load()),
                          sizeof(connection) + connection.allocated_bytes());
    }

    /// Processes one complete frame. @return whether the connection is still usable
    bool handle_frame(int fd, const frame& item, instant now)
    {
        auto& connection = connections_.at(fd);
        if (item.kind == frame_kind::hello)
        {
            auto received_hello = decode_hello(item.payload);
            if (!received_hello)
                return false;
            on_hello(fd, received_hello.value(), now);
            return true;
        }
        auto body = decode(item.payload);
        if (!body || connection.peer.empty())
        {
            ++dropped_frames_;
            return !connection.peer.empty();
        }
        ++frames_received_;
        on_event_(message_received{connection.peer, std::move(body).value()});
        return true;
    }

    /// Assigns a connection to the peer named in its hello; it replaces an older connection.
    void on_hello(int fd, const hello& received_hello, instant)
    {
        const auto& name = received_hello.process.name;
        auto& peer = peers_[name];
        if (peer.connection >= 0 && peer.connection != fd)
            close_connection(peer.connection);
        if (!peer.keep_connected && !received_hello.address.empty())
            peer.address = received_hello.address;
        peer.connection = fd;
        peer.dialling = false;
        connections_.at(fd).peer = name;
        on_event_(peer_connected{received_hello.process});
    }

    void close_connection(int fd)
    {
        const auto found = connections_.find(fd);
        if (found == connections_.end())
            return;
        const auto name = found->second.peer;
        if (found->second.client)
            gate_->close(*found->second.client);
        connections_.erase(found);
        for (auto& [dialled_name, dialled_fd] : dialled_fds_)
        {
            if (dialled_fd != fd)
                continue;
            peers_[dialled_name].dialling = false;
            dialled_fd = -1;
        }
        if (name.empty() || peers_[name].connection != fd)
            return;
        peers_[name].connection = -1;
        on_event_(peer_lost{name});
    }

    void close_refused()
    {
        std::vector<int> refused;
        for (const auto& [fd, connection] : connections_)
        {
            if (connection.client && !gate_->is_open(*connection.client))
                refused.push_back(fd);
        }
        for (const int fd : refused)
            close_connection(fd);
    }

    void run_commands(instant now)
    {
        for (auto& item : commands_.drain())
        {
            if (std::holds_alternative<stop_command>(item))
                stopping_ = true;
            else if (auto* keep = std::get_if<keep_connected_command>(&item))
            {
                peers_[keep->peer].address = keep->address;
                peers_[keep->peer].keep_connected = true;
            }
            else if (auto* outgoing = std::get_if<outgoing_message>(&item))
                transmit(*outgoing, now);
            else if (std::holds_alternative<close_refused_command>(item))
                close_refused();
        }
    }

    void transmit(const outgoing_message& outgoing, instant now)
    {
        const auto found = peers_.find(outgoing.to);
        if (found == peers_.end() || found->second.connection < 0)
        {
            ++dropped_frames_;
            return;
        }
        const int fd = found->second.connection;
        auto& connection = connections_.at(fd);
        const auto bytes = encode(outgoing.body);
        if (!bytes || connection.queued_bytes() > options_.max_queued_bytes)
        {
            ++dropped_frames_;
            return close_connection(fd);
        }
        connection.queue(frame_kind::data, bytes.value(), now);
        ++frames_sent_;
        flush(fd);
    }

    void flush(int fd)
    {
        const auto found = connections_.find(fd);
        if (found == connections_.end())
            return;
        auto& connection = found->second;
        const auto before = connection.bytes_sent();
        const bool usable = connection.write();
        bytes_sent_ += connection.bytes_sent() - before;
        if (!usable)
            return close_connection(fd);
        account(connection);
        watch(fd, connection.wants_write() ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void maintain(instant now)
    {
        if (now - last_maintenance_ < maintenance_interval)
            return;
        last_maintenance_ = now;
        std::vector<int> silent;
        for (auto& [fd, connection] : connections_)
        {
            connection.acknowledge(now, options_.ack_delay);
            const bool no_hello =
                connection.peer.empty() && now - connection.opened() > options_.silence_limit;
            if (no_hello || connection.is_silent(now, options_.silence_limit))
                silent.push_back(fd);
        }
        for (const int fd : silent)
        {
            ++silent_connections_;
            // Reconnect at once: a new connection may work if a device on the path dropped the
            // state of the old one.
            if (const auto& name = connections_.at(fd).peer; !name.empty())
                peers_[name].next_dial_at = now;
            close_connection(fd);
            redial_disconnected_peers(now);
        }
        std::vector<int> writable;
        for (auto& [fd, connection] : connections_)
        {
            if (connection.wants_write() && !connection.peer.empty())
                writable.push_back(fd);
        }
        for (const int fd : writable)
            flush(fd);
        redial_disconnected_peers(now);
    }

    void redial_disconnected_peers(instant now)
    {
        for (auto& [name, peer] : peers_)
        {
            const bool wanted = peer.keep_connected || peer.next_dial_at != instant();
            if (!wanted || peer.connection >= 0 || peer.dialling || peer.address.empty() ||
                now < peer.next_dial_at)
                continue;
            peer.next_dial_at = now + options_.redial_interval;
            dial(name, peer, now);
        }
    }

    void dial(const std::string& name, peer_state& peer, instant now)
    {
        const auto address = parse_address(peer.address);
        if (!address)
            return;
        auto dialled = start_connecting(address.value());
        if (!dialled)
            return;
        const int fd = dialled.value().fd();
        peer.dialling = true;
        dialled_fds_[name] = fd;
        add_connection(std::move(dialled).value(), true, now);
    }

    link_options options_;
    event_handler on_event_;
    std::shared_ptr<connection_gate> gate_;
    socket_handle listener_;
    socket_handle epoll_;
    socket_handle wakeup_event_;
    mailbox<command> commands_;
    std::map<int, framed_connection> connections_;
    std::map<std::string, peer_state> peers_;
    std::map<std::string, int> dialled_fds_;
    bool stopping_ = false;
    instant last_maintenance_;
    std::atomic<std::uint64_t> frames_sent_{0};
    std::atomic<std::uint64_t> frames_received_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> silent_connections_{0};
    std::atomic<std::uint64_t> dropped_frames_{0};
    std::thread thread_;
};

} // namespace

std::error_code make_error_code(link_error error)
{
    static const link_category category;
    return {static_cast<int>(error), category};
}

result<std::unique_ptr<link>> link::open(link_options options, event_handler on_event)
{
    const auto address = parse_address(options.listen);
    if (!address)
        return address.error();
    auto listener = listen_on(address.value());
    if (!listener)
        return listener.error();
    return std::unique_ptr<link>(std::make_unique<epoll_link>(
        std::move(options), std::move(on_event), std::move(listener).value()));
}

} // namespace tarragonlock
