#include "connection/socket.hpp"

#include "tarragonlock/connection/link.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>

namespace tarragonlock
{

namespace
{

void disable_delay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::error_code last_error()
{
    return {errno, std::system_category()};
}

} // namespace

socket_handle::~socket_handle()
{
    if (fd_ >= 0)
        close(fd_);
}

result<sockaddr_in> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return make_error_code(link_error::bad_address);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const bool is_ip = inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
    if (!is_ip || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return make_error_code(link_error::bad_address);
    return address;
}

result<socket_handle> listen_on(const sockaddr_in& address)
{
    socket_handle listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (bind(listener.fd(), generic, sizeof(address)) != 0 ||
        ::listen(listener.fd(), SOMAXCONN) != 0)
        return make_error_code(link_error::cannot_listen);
    return listener;
}

result<socket_handle> start_connecting(const sockaddr_in& address)
{
    socket_handle dialled(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!dialled.is_open())
        return last_error();
    disable_delay(dialled.fd());
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (connect(dialled.fd(), generic, sizeof(address)) != 0 && errno != EINPROGRESS)
        return last_error();
    return dialled;
}

socket_handle accept_from(const socket_handle& listener)
{
    socket_handle accepted(accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.is_open())
        disable_delay(accepted.fd());
    return accepted;
}

} // namespace tarragonlock
