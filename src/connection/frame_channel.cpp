#include "connection/frame_channel.hpp"

#include "common/guarded_call.hpp"
#include "connection/loop_socket.hpp"
#include "tarragonlock/common/log.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <iterator>
#include <map>
#include <optional>

namespace tarragonlock
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

/// Longest frame that is accepted, in bytes.
constexpr std::uint32_t max_frame_bytes = 4U << 20U;
/// Longest first frame of an accepted channel, in bytes: an agent that reports its worker.
constexpr std::uint32_t max_first_frame_bytes = 512U << 10U;
/// Time after which channels are accepted again when the system has no descriptor for one.
constexpr duration accept_pause = std::chrono::milliseconds(50);
/// Bytes that may be queued for a peer that does not read; with more the channel is closed.
constexpr std::size_t max_pending_bytes = 8U << 20U;
/// Largest number of bytes read from the socket at once.
constexpr std::size_t read_bytes = 16U << 10U;

/// @return whether the frame begins as the first one of an agent does
bool starts_with_hello(const lease_frame& frame)
{
    return !frame.empty() && std::holds_alternative<agent_hello>(frame.front());
}

class asio_frame_channels;

/// One TCP connection of asio_frame_channels.
class tcp_channel : public std::enable_shared_from_this<tcp_channel>
{
public:
    tcp_channel(asio_frame_channels& owner, std::uint64_t id, tcp::socket socket)
        : owner_(owner), id_(id), socket_(std::move(socket))
    {
    }

    void connect(const tcp::endpoint& to);
    void start();
    /// Starts a channel that the peer has opened.
    void start_accepted();
    void queue(lease_message body);
    void close();

private:
    void account();
    void read();
    void parse_frames();
    void flush();
    bool append_frame(const lease_frame& frame);
    void write();
    void fail(const char* cause);

    asio_frame_channels& owner_;
    std::uint64_t id_;
    tcp::socket socket_;
    std::string read_buffer_;
    std::array<char, read_bytes> chunk_{};
    lease_frame outgoing_;
    std::string pending_bytes_;
    std::string write_buffer_;
    bool connected_ = false;
    bool flush_posted_ = false;
    bool closed_ = false;
    /// Set for accepted channels.
    std::optional<connection_gate::connection> client_;
    bool has_frame_ = false;
};

class asio_frame_channels : public frame_channels
{
public:
    asio_frame_channels(asio::io_context& loop, handlers events,
                        std::shared_ptr<connection_gate> gate)
        : loop_(loop), events_(std::move(events)),
          gate_(gate ? std::move(gate) : std::make_shared<connection_gate>(connection_limits{})),
          acceptor_(loop), accept_timer_(loop)
    {
    }

    result<void> listen(const std::string& address) override
    {
        if (const auto listening = listen_at(acceptor_, address); !listening)
            return listening;
        accept();
        return boost::outcome_v2::success();
    }

    channel dial(const std::string& address) override
    {
        const auto id = ++last_id_;
        const auto endpoint = parse_endpoint(address);
        if (!endpoint)
        {
            log_event(log_level::error, "bad_peer_address", {{"address", address}});
            asio::post(loop_, [this, id] { events_.on_lost(id); });
            return id;
        }
        const auto opened = std::make_shared<tcp_channel>(*this, id, tcp::socket(loop_));
        open_channels_[id] = opened;
        opened->connect(endpoint.value());
        return id;
    }

    void send(channel id, lease_message body) override
    {
        if (const auto found = open_channels_.find(id); found != open_channels_.end())
            found->second->queue(std::move(body));
    }

    void close(channel id) override
    {
        if (const auto found = open_channels_.find(id); found != open_channels_.end())
        {
            const auto closing = found->second;
            open_channels_.erase(found);
            closing->close();
        }
    }

    void on_channel_lost(std::uint64_t id)
    {
        if (open_channels_.erase(id) > 0)
            events_.on_lost(id);
    }

    asio::io_context& loop() { return loop_; }
    const handlers& events() const { return events_; }
    connection_gate& gate() { return *gate_; }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](error_code error, tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                {
                    const auto id = ++last_id_;
                    const auto opened = std::make_shared<tcp_channel>(*this, id, std::move(socket));
                    open_channels_[id] = opened;
                    opened->start_accepted();
                    accept();
                    return;
                }
                log_event(log_level::warn, "accept_failed", {{"error", error.message()}});
                // Without a pause, a lack of descriptors would repeat the failure at once.
                accept_timer_.expires_after(accept_pause);
                accept_timer_.async_wait(
                    [this](error_code stopped)
                    {
                        if (!stopped)
                            accept();
                    });
            });
    }

    asio::io_context& loop_;
    handlers events_;
    std::shared_ptr<connection_gate> gate_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::map<channel, std::shared_ptr<tcp_channel>> open_channels_;
    channel last_id_ = 0;
};

void tcp_channel::connect(const tcp::endpoint& to)
{
    socket_.async_connect(to,
                          [self = shared_from_this()](error_code error)
                          {
                              if (self->closed_)
                                  return;
                              if (error)
                                  self->fail("connection failed");
                              else
                                  self->start();
                          });
}

void tcp_channel::start()
{
    set_connection_options(socket_);
    connected_ = true;
    owner_.events().on_open(id_);
    read();
}

void tcp_channel::start_accepted()
{
    client_ = owner_.gate().open(
        [this, weak = weak_from_this()](refusal_cause)
        {
            // Not at once, since a handler of another connection may be in progress.
            asio::post(owner_.loop(),
                       [weak]
                       {
                           if (const auto self = weak.lock())
                               self->fail("too many connections or bytes of clients");
                       });
        });
    if (owner_.gate().is_open(*client_))
        start();
}

/// Reports to the budget what an accepted channel holds.
void tcp_channel::account()
{
    if (!client_ || closed_)
        return;
    const auto unsent = pending_bytes_.capacity() + write_buffer_.capacity();
    owner_.gate().update(*client_, phase_of({has_frame_, read_buffer_.size(), unsent}),
                         sizeof(*this) + read_buffer_.capacity() + unsent);
}

void tcp_channel::read()
{
    if (closed_)
        return;
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t bytes)
                            {
                                if (self->closed_)
                                    return;
                                if (error)
                                {
                                    self->fail("closed by peer");
                                    return;
                                }
                                self->read_buffer_.append(self->chunk_.data(), bytes);
                                if (self->client_)
                                    self->owner_.gate().on_progress(*self->client_);
                                self->parse_frames();
                                self->account();
                                self->read();
                            });
}

void tcp_channel::parse_frames()
{
    std::size_t consumed = 0;
    std::uint32_t size = 0;
    while (!closed_ && read_buffer_.size() - consumed >= sizeof(size))
    {
        std::memcpy(&size, read_buffer_.data() + consumed, sizeof(size));
        if (size > (client_ && !has_frame_ ? max_first_frame_bytes : max_frame_bytes))
        {
            fail("frame too long");
            return;
        }
        if (read_buffer_.size() - consumed - sizeof(size) < size)
            break;
        auto frame =
            decode_frame(std::string_view(read_buffer_).substr(consumed + sizeof(size), size));
        consumed += sizeof(size) + size;
        if (!frame)
        {
            log_event(log_level::warn, "bad_frame", {{"error", frame.error().message()}});
            fail("malformed frame");
            return;
        }
        if (client_ && !has_frame_ && !starts_with_hello(frame.value()))
        {
            fail("the first message is not an agent's");
            return;
        }
        has_frame_ = true;
        // The frame may be half applied, and only a new channel restores a consistent state.
        if (!guarded_call("frame",
                          [&] { owner_.events().on_frame(id_, std::move(frame).value()); }))
        {
            fail("frame could not be handled");
            return;
        }
    }
    read_buffer_.erase(0, consumed);
    if (read_buffer_.empty() && read_buffer_.capacity() > read_bytes)
        read_buffer_.shrink_to_fit();
}

void tcp_channel::queue(lease_message body)
{
    outgoing_.push_back(std::move(body));
    if (flush_posted_)
        return;
    flush_posted_ = true;
    asio::post(owner_.loop(), [self = shared_from_this()] { self->flush(); });
}

void tcp_channel::flush()
{
    flush_posted_ = false;
    if (closed_ || !connected_)
        return;
    auto messages = std::exchange(outgoing_, {});
    for (auto first = messages.begin(); first != messages.end();)
    {
        const auto last = first + std::min<std::ptrdiff_t>(messages.end() - first,
                                                           std::ptrdiff_t{max_frame_messages});
        if (!append_frame({std::make_move_iterator(first), std::make_move_iterator(last)}))
            return;
        first = last;
    }
    if (write_buffer_.empty())
        write();
    account();
}

/// Encodes a frame behind the bytes to be sent.
/// @return whether the channel is still open
bool tcp_channel::append_frame(const lease_frame& frame)
{
    const auto bytes = encode_frame(frame);
    if (!bytes)
        fail("frame could not be encoded");
    else if (pending_bytes_.size() > max_pending_bytes)
        fail("too many bytes queued for the peer");
    else
    {
        const auto size = static_cast<std::uint32_t>(bytes.value().size());
        pending_bytes_.append(reinterpret_cast<const char*>(&size), sizeof(size));
        pending_bytes_ += bytes.value();
    }
    return !closed_;
}

void tcp_channel::write()
{
    write_buffer_ = std::exchange(pending_bytes_, {});
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this()](error_code error, std::size_t)
                      {
                          if (self->closed_)
                              return;
                          self->write_buffer_ = {};
                          if (error)
                          {
                              self->fail("write failed");
                              return;
                          }
                          if (!self->pending_bytes_.empty())
                              self->write();
                          self->account();
                      });
}

void tcp_channel::fail(const char* cause)
{
    if (closed_)
        return;
    log_event(log_level::info, "channel_lost",
              {{"channel", static_cast<std::int64_t>(id_)}, {"why", std::string(cause)}});
    close();
    owner_.on_channel_lost(id_);
}

void tcp_channel::close()
{
    closed_ = true;
    if (client_)
        owner_.gate().close(*client_);
    // Closing with a reset discards data that the peer has not read, so that no outdated message
    // reaches it later.
    error_code ignored; // The channel is closed in any case.
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    socket_.close(ignored);
}

} // namespace

std::unique_ptr<frame_channels> frame_channels::create(asio::io_context& loop, handlers events,
                                                       std::shared_ptr<connection_gate> gate)
{
    return std::make_unique<asio_frame_channels>(loop, std::move(events), std::move(gate));
}

} // namespace tarragonlock
