#pragma once

#include "tarragonlock/common/log.hpp"

#include <cstdint>
#include <exception>
#include <utility>

namespace tarragonlock
{

/// @return number of exceptions that guarded_call() has caught in this process
std::uint64_t unexpected_error_count();

/// Logs and counts an exception that reached the event loop.
/// @param where  the kind of handler that threw it
void report_unexpected_error(const char* where, const char* what);

/// Calls a handler of the event loop. An exception ends only this call, not the process.
/// @param where  names the kind of handler in the log
/// @return whether the handler returned without an exception
template<class Handler>
bool guarded_call(const char* where, Handler&& handler)
{
    try
    {
        std::forward<Handler>(handler)();
        return true;
    }
    catch (const std::exception& error)
    {
        report_unexpected_error(where, error.what());
        return false;
    }
}

} // namespace tarragonlock
