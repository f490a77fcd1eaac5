#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/process/settings.hpp"

#include <atomic>
#include <memory>

namespace tarragonlock
{

/// An entry process: passes events from its sockets to entry_core and carries out the effects.
class entry_daemon
{
public:
    /// Opens every socket.
    /// @return the daemon, or the error of the socket that cannot be opened
    static result<std::unique_ptr<entry_daemon>> create(const entry_settings& settings);
    virtual ~entry_daemon() = default;

    /// Serves until stop is set, then shuts down gracefully.
    virtual void run(const std::atomic<bool>& stop) = 0;
};

} // namespace tarragonlock
