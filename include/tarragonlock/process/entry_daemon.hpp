#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/process/settings.hpp"

#include <atomic>
#include <memory>

namespace tarragonlock
{

/// An entry process: feeds entry_core from sockets and carries out its effects.
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
