#pragma once

#include "tarragonlock/common/result.hpp"

#include <netinet/in.h>

#include <string>
#include <utility>

namespace tarragonlock
{

/// Owns a file descriptor.
class socket_handle
{
public:
    explicit socket_handle(int fd = -1) : fd_(fd) {}
    ~socket_handle();
    socket_handle(socket_handle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    socket_handle& operator=(socket_handle&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }

private:
    int fd_;
};

/// Parses "a.b.c.d:port".
/// @return the address, or link_error::bad_address
result<sockaddr_in> parse_address(const std::string& text);

/// @return a listening non-blocking socket, or link_error::cannot_listen
result<socket_handle> listen_on(const sockaddr_in& address);

/// Starts to connect without blocking. @return the socket, or the system's error
result<socket_handle> start_connecting(const sockaddr_in& address);

/// @return the next pending connection as a non-blocking socket, or a closed handle if there is
/// none.
socket_handle accept_from(const socket_handle& listener);

} // namespace tarragonlock
