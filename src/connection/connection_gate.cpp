#include "connection/connection_gate.hpp"

#include "tarragonlock/common/log.hpp"

namespace tarragonlock
{

namespace
{

constexpr std::array<const char*, refusal_cause_count> cause_names{
    "memory", "connections", "slow_request", "slow_reading", "idle", "long_header", "long_body"};
constexpr duration log_interval = std::chrono::seconds(1);

} // namespace

connection_gate::connection connection_gate::open(close_handler on_refused, bool is_reserved)
{
    connection id = 0;
    {
        const std::lock_guard guard(mutex_);
        id = budget_.open(process_clock::now(), is_reserved);
        handlers_[id] = std::move(on_refused);
    }
    enforce();
    return id;
}

void connection_gate::close(connection id)
{
    const std::lock_guard guard(mutex_);
    budget_.close(id);
    handlers_.erase(id);
}

bool connection_gate::is_open(connection id) const
{
    const std::lock_guard guard(mutex_);
    return handlers_.contains(id);
}

void connection_gate::update(connection id, connection_phase phase, std::uint64_t bytes)
{
    {
        const std::lock_guard guard(mutex_);
        budget_.update(id, phase, bytes, process_clock::now());
    }
    enforce();
}

void connection_gate::on_progress(connection id)
{
    const std::lock_guard guard(mutex_);
    budget_.on_progress(id, process_clock::now());
}

bool connection_gate::can_serve(std::uint64_t bytes) const
{
    const std::lock_guard guard(mutex_);
    return budget_.can_serve(bytes);
}

std::uint64_t connection_gate::count_of(refusal_cause cause) const
{
    const std::lock_guard guard(mutex_);
    return counts_[static_cast<std::size_t>(cause)];
}

std::uint64_t connection_gate::bytes() const
{
    const std::lock_guard guard(mutex_);
    return budget_.bytes();
}

std::size_t connection_gate::connections() const
{
    const std::lock_guard guard(mutex_);
    return budget_.connections();
}

void connection_gate::enforce()
{
    while (true)
    {
        close_handler on_refused;
        auto cause = refusal_cause::connections;
        {
            const std::lock_guard guard(mutex_);
            const auto closing = budget_.next_to_close(process_clock::now());
            if (!closing)
                return;
            if (closing->exceeded == connection_budget::limit::memory)
                cause = refusal_cause::memory;
            budget_.close(closing->id);
            on_refused = std::move(handlers_[closing->id]);
            handlers_.erase(closing->id);
        }
        count(cause);
        // Without the lock, since handlers call the gate.
        on_refused(cause);
    }
}

void connection_gate::count(refusal_cause cause)
{
    const auto index = static_cast<std::size_t>(cause);
    const std::lock_guard guard(mutex_);
    ++counts_[index];
    const auto now = process_clock::now();
    if (logged_counts_[index] > 0 && now - logged_at_[index] < log_interval)
        return;
    log_event(cause == refusal_cause::idle ? log_level::debug : log_level::warn, "client_refused",
              {{"cause", std::string(name_of(cause))},
               {"count", static_cast<std::int64_t>(counts_[index] - logged_counts_[index])},
               {"connections", static_cast<std::int64_t>(budget_.connections())},
               {"bytes", static_cast<std::int64_t>(budget_.bytes())}});
    logged_counts_[index] = counts_[index];
    logged_at_[index] = now;
}

const char* name_of(refusal_cause cause)
{
    return cause_names[static_cast<std::size_t>(cause)];
}

} // namespace tarragonlock
