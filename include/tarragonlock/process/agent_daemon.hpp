#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/process/settings.hpp"

#include <atomic>
#include <memory>

namespace tarragonlock
{

/// An agent process: passes events from sockets to agent_core and carries out its effects.
class agent_daemon
{
public:
    /// Opens all sockets.
    /// @return the daemon, or the error of the socket that cannot be opened
    static result<std::unique_ptr<agent_daemon>> create(const agent_settings& settings);
    virtual ~agent_daemon() = default;

    /// Serves until stop is set, then finishes the tasks it has accepted.
    virtual void run(const std::atomic<bool>& stop) = 0;
};

} // namespace tarragonlock
