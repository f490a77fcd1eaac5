#pragma once

#include "tarragonlock/connection/message.hpp"

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// Lines of Prometheus text for one counter.
/// @param name  without the prefix that all our metrics have
std::string counter_text(const std::string& name, std::uint64_t value);

/// Lines of Prometheus text for one gauge.
std::string gauge_text(const std::string& name, std::uint64_t value);

/// Lines of Prometheus text for messages sent, one for each type.
/// @param prefix  of the name, for example "agent_"
std::string message_counts_text(const std::string& prefix, const message_counts& counts);

} // namespace tarragonlock
