#include "connection/loop_socket.hpp"

#include "connection/socket.hpp"

#include <netinet/tcp.h>

namespace tarragonlock
{

namespace
{

/// The kernel closes a connection whose sent data is not acknowledged for this long.
constexpr int unacknowledged_limit_ms = 2000;
/// Keepalive: an idle connection is probed after one second and closed after two unanswered probes,
/// since a network device on the path may have dropped its state without notice to either end.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;

void set_tcp_option(int fd, int option, int value)
{
    // Errors are ignored: without the option a dead connection is detected later, by the timeouts
    // of the layers above.
    (void)::setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

result<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto parsed = parse_address(address);
    if (!parsed)
        return parsed.error();
    const auto& raw = parsed.value();
    return boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(ntohl(raw.sin_addr.s_addr)),
                                          ntohs(raw.sin_port));
}

result<void> listen_at(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address)
{
    using boost::asio::ip::tcp;
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint.value(), error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return std::error_code(error);
    return boost::outcome_v2::success();
}

void set_connection_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored; // Without these options a connection is only slower.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto fd = socket.native_handle();
    set_tcp_option(fd, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
    set_tcp_option(fd, TCP_KEEPIDLE, probe_idle_s);
    set_tcp_option(fd, TCP_KEEPINTVL, probe_interval_s);
    set_tcp_option(fd, TCP_KEEPCNT, probe_count);
}

} // namespace tarragonlock
