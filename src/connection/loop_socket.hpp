#pragma once

#include "tarragonlock/common/result.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace tarragonlock
{

/// Parses "a.b.c.d:port".
/// @return the endpoint, or link_error::bad_address
result<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

/// Opens a listening socket.
/// @param address  host:port with an IPv4 address
/// @return nothing, link_error::bad_address, or the system's error
result<void> listen_at(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

/// Disables Nagle's algorithm and sets timeouts after which the kernel closes a connection whose
/// peer acknowledges nothing.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

} // namespace tarragonlock
