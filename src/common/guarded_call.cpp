#include "common/guarded_call.hpp"

#include <atomic>

namespace tarragonlock
{

namespace
{

std::atomic<std::uint64_t> error_count{0};

} // namespace

std::uint64_t unexpected_error_count()
{
    return error_count.load(std::memory_order_relaxed);
}

void report_unexpected_error(const char* where, const char* what)
{
    error_count.fetch_add(1, std::memory_order_relaxed);
    log_event(log_level::error, "unexpected_error",
              {{"handler", std::string(where)}, {"error", std::string(what)}});
}

} // namespace tarragonlock
