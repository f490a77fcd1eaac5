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
    const auto id = budget_.open(process_clock::now(), is_reserved);
    handlers_[id] = std::move(on_refused);
    enforce();
    return id;
}

void connection_gate::close(connection id)
{
    budget_.close(id);
    handlers_.erase(id);
}

void connection_gate::update(connection id, connection_phase phase, std::uint64_t bytes)
{
    budget_.update(id, phase, bytes, process_clock::now());
    enforce();
}

void connection_gate::on_progress(connection id)
{
    budget_.on_progress(id, process_clock::now());
}

void connection_gate::enforce()
{
    const auto now = process_clock::now();
    while (const auto closing = budget_.next_to_close(now))
    {
        const auto cause = closing->exceeded == connection_budget::limit::memory
                               ? refusal_cause::memory
                               : refusal_cause::connections;
        const auto on_refused = handlers_[closing->id];
        close(closing->id);
        count(cause);
        on_refused(cause);
    }
}

void connection_gate::count(refusal_cause cause)
{
    const auto index = static_cast<std::size_t>(cause);
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
