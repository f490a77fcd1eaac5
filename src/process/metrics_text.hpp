#pragma once

#include "connection/connection_gate.hpp"
#include "tarragonlock/connection/message.hpp"

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// @return one counter in the Prometheus text format.
/// @param name  without the common prefix "tarragonlock_"
std::string counter_text(const std::string& name, std::uint64_t value);

/// @return one gauge in the Prometheus text format; the name is as for counter_text.
std::string gauge_text(const std::string& name, std::uint64_t value);

/// @return the counter messages_by_type_total in the Prometheus text format, with one line for each
///         message type that occurred.
/// @param prefix  prefix of the name, for example "agent_"
std::string message_counts_text(const std::string& prefix, const message_counts& counts);

/// @return refusals of clients by cause, and what their connections hold, in the Prometheus text
///         format.
std::string client_refusals_text(const connection_gate& gate);

} // namespace tarragonlock
