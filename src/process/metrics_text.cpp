#include "process/metrics_text.hpp"

#include <spdlog/fmt/fmt.h>

namespace tarragonlock
{

std::string counter_text(const std::string& name, std::uint64_t value)
{
    return fmt::format("# TYPE tarragonlock_{0} counter\ntarragonlock_{0} {1}\n", name, value);
}

std::string gauge_text(const std::string& name, std::uint64_t value)
{
    return fmt::format("# TYPE tarragonlock_{0} gauge\ntarragonlock_{0} {1}\n", name, value);
}

std::string message_counts_text(const std::string& prefix, const message_counts& counts)
{
    const auto name = prefix + "messages_by_type_total";
    auto text = fmt::format("# TYPE tarragonlock_{} counter\n", name);
    for (std::size_t type = 0; type < counts.size(); ++type)
    {
        if (counts.at(type) > 0)
            text += fmt::format("tarragonlock_{}{{type=\"{}\"}} {}\n", name, message_name(type),
                                counts.at(type));
    }
    return text;
}

std::string client_refusals_text(const connection_gate& gate)
{
    std::string text;
    for (std::size_t i = 0; i < refusal_cause_count; ++i)
    {
        const auto cause = static_cast<refusal_cause>(i);
        text += counter_text(std::string("clients_refused_") + name_of(cause) + "_total",
                             gate.count_of(cause));
    }
    return text + gauge_text("client_connections", gate.connections()) +
           gauge_text("client_bytes", gate.bytes());
}

} // namespace tarragonlock
