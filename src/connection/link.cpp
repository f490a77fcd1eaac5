#include "tarragonlock/connection/link.hpp"

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
            return "address must be an IP number and a port, as in 127.0.0.1:7100";
        case link_error::cannot_listen:
            return "cannot listen on the address";
        }
        return "unknown link error";
    }
};

constexpr int poll_interval_ms = 20;
constexpr std::size_t events_per_poll = 256;
/// Connections are checked for silence and due acknowledgements this often.
constexpr auto maintenance_interval = std::chrono::milliseconds(25);

struct keep_command
{
    std::string peer;
    std::string address;
};

struct stop_command
{
};

using command = std::variant<keep_command, outgoing_message, stop_command>;

/// The task that owns the sockets.
class link_task : public link
{
public:
    link_task(link_options options, sink on_event, socket_handle listener)
        : options_(std::move(options)), on_event_(std::move(on_event)),
          listener_(std::move(listener)), epoll_(epoll_create1(EPOLL_CLOEXEC)),
          wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        watch(listener_.fd(), EPOLLIN);
        watch(wake_.fd(), EPOLLIN);
        thread_ = std::thread([this] { run(); });
    }

    ~link_task() override
    {
        post(stop_command{});
        thread_.join();
    }
    link_task(const link_task&) = delete;
    link_task& operator=(const link_task&) = delete;

    void keep_connected(const std::string& peer, const std::string& address) override
    {
        post(keep_command{peer, address});
    }

    void send(const std::string& peer, message body) override
    {
        post(outgoing_message{peer, std::move(body)});
    }

    link_counters counters() const override
    {
        return {frames_sent_, frames_received_, bytes_sent_, bytes_received_, silent_, dropped_};
    }

private:
    struct peer_state
    {
        std::string address;
        bool keep = false;
        int connection = -1;
        instant next_dial;
        bool dialling = false;
    };

    void post(command item)
    {
        commands_.post(std::move(item));
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wake_.fd(), &one, sizeof(one));
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
        if (event.data.fd == wake_.fd())
        {
            std::uint64_t count = 0;
            [[maybe_unused]] const auto size = ::read(wake_.fd(), &count, sizeof(count));
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
        const bool good = connection.read(frames, now) && (event.events & EPOLLERR) == 0U;
        bytes_received_ += connection.bytes_received() - received;
        const int fd = event.data.fd;
        for (auto& item : frames)
        {
            if (!connections_.contains(fd) || !take(fd, item, now))
                return close_connection(fd);
        }
        if (!good)
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
        connection.queue(frame_kind::hello, encode_hello({options_.self, options_.listen}), now);
        watch(fd, EPOLLIN | EPOLLOUT);
    }

    /// Handles a whole frame. @return whether the connection is still good
    bool take(int fd, const frame& item, instant now)
    {
        auto& connection = connections_.at(fd);
        if (item.kind == frame_kind::hello)
        {
            auto greeting = decode_hello(item.payload);
            if (!greeting)
                return false;
            introduce(fd, greeting.value(), now);
            return true;
        }
        auto body = decode(item.payload);
        if (!body || connection.peer.empty())
        {
            ++dropped_;
            return !connection.peer.empty();
        }
        ++frames_received_;
        on_event_(message_received{connection.peer, std::move(body).value()});
        return true;
    }

    /// The newest connection to a peer replaces an older one.
    void introduce(int fd, const hello& greeting, instant)
    {
        const auto& name = greeting.process.name;
        auto& peer = peers_[name];
        if (peer.connection >= 0 && peer.connection != fd)
            close_connection(peer.connection);
        if (!peer.keep && !greeting.address.empty())
            peer.address = greeting.address;
        peer.connection = fd;
        peer.dialling = false;
        connections_.at(fd).peer = name;
        on_event_(peer_connected{greeting.process});
    }

    void close_connection(int fd)
    {
        const auto found = connections_.find(fd);
        if (found == connections_.end())
            return;
        const auto name = found->second.peer;
        connections_.erase(found);
        for (auto& [dialled_name, dialled_fd] : dials_)
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

    void run_commands(instant now)
    {
        for (auto& item : commands_.drain())
        {
            if (std::holds_alternative<stop_command>(item))
                stopping_ = true;
            else if (auto* keep = std::get_if<keep_command>(&item))
            {
                peers_[keep->peer].address = keep->address;
                peers_[keep->peer].keep = true;
            }
            else if (auto* outgoing = std::get_if<outgoing_message>(&item))
                transmit(*outgoing, now);
        }
    }

    void transmit(const outgoing_message& outgoing, instant now)
    {
        const auto found = peers_.find(outgoing.to);
        if (found == peers_.end() || found->second.connection < 0)
        {
            ++dropped_;
            return;
        }
        const int fd = found->second.connection;
        auto& connection = connections_.at(fd);
        const auto bytes = encode(outgoing.body);
        if (!bytes || connection.queued_bytes() > options_.max_queued_bytes)
        {
            ++dropped_;
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
        const bool good = connection.write();
        bytes_sent_ += connection.bytes_sent() - before;
        if (!good)
            return close_connection(fd);
        watch(fd, connection.wants_write() ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void maintain(instant now)
    {
        if (now - maintained_ < maintenance_interval)
            return;
        maintained_ = now;
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
            ++silent_;
            // A new connection may work where this one has been lost track of.
            if (const auto& name = connections_.at(fd).peer; !name.empty())
                peers_[name].next_dial = now;
            close_connection(fd);
            redial_lost(now);
        }
        std::vector<int> writable;
        for (auto& [fd, connection] : connections_)
        {
            if (connection.wants_write() && !connection.peer.empty())
                writable.push_back(fd);
        }
        for (const int fd : writable)
            flush(fd);
        redial_lost(now);
    }

    void redial_lost(instant now)
    {
        for (auto& [name, peer] : peers_)
        {
            const bool wanted = peer.keep || peer.next_dial != instant();
            if (!wanted || peer.connection >= 0 || peer.dialling || peer.address.empty() ||
                now < peer.next_dial)
                continue;
            peer.next_dial = now + options_.redial_interval;
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
        dials_[name] = fd;
        add_connection(std::move(dialled).value(), true, now);
    }

    link_options options_;
    sink on_event_;
    socket_handle listener_;
    socket_handle epoll_;
    socket_handle wake_;
    mailbox<command> commands_;
    std::map<int, framed_connection> connections_;
    std::map<std::string, peer_state> peers_;
    std::map<std::string, int> dials_;
    bool stopping_ = false;
    instant maintained_;
    std::atomic<std::uint64_t> frames_sent_{0};
    std::atomic<std::uint64_t> frames_received_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> silent_{0};
    std::atomic<std::uint64_t> dropped_{0};
    std::thread thread_;
};

} // namespace

std::error_code make_error_code(link_error error)
{
    static const link_category category;
    return {static_cast<int>(error), category};
}

result<std::unique_ptr<link>> link::open(link_options options, sink on_event)
{
    const auto address = parse_address(options.listen);
    if (!address)
        return address.error();
    auto listener = listen_on(address.value());
    if (!listener)
        return listener.error();
    return std::unique_ptr<link>(std::make_unique<link_task>(
        std::move(options), std::move(on_event), std::move(listener).value()));
}

} // namespace tarragonlock
