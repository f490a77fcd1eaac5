#pragma once

#include "tarragonlock/version/client_limits.hpp"
#include "tarragonlock/version/selector.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock
{

/// How the jobs of one queue are matched, ordered and placed.
struct queue_rule
{
    std::string name;
    /// Host in the requests of callers that belong to the queue.
    std::string host;
    /// Prefix of the request paths that belong to the queue.
    std::string path_prefix;
    /// Workers that may run the queue's tasks.
    selector workers;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Number of failed runs of a task at which its job fails.
    std::uint32_t max_attempts = 1;
    /// Allowed response time, as a multiple of the length of the job's critical path.
    double stretch = 1.0;
    /// Allowed response time in addition to that, in milliseconds.
    std::uint32_t objective_ms = 0;
    friend bool operator==(const queue_rule&, const queue_rule&) = default;
};

/// One immutable version of the operators' queue rules; a newer version replaces the whole table.
class route_table
{
public:
    route_table() = default;
    route_table(std::uint64_t version, std::vector<queue_rule> rules, client_limits limits = {});

    /// @param host  host of the request, without its port
    /// @return the rule with the longest matching prefix, or nullptr.
    const queue_rule* find(std::string_view host, std::string_view path) const;
    std::uint64_t version() const { return version_; }
    const std::vector<queue_rule>& rules() const { return rules_; }
    const client_limits& limits() const { return limits_; }

    friend bool operator==(const route_table&, const route_table&) = default;

private:
    std::uint64_t version_ = 0;
    /// Longest prefix first.
    std::vector<queue_rule> rules_;
    client_limits limits_;
};

} // namespace tarragonlock
