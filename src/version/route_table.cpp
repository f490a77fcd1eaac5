#include "tarragonlock/version/route_table.hpp"

#include <algorithm>

namespace tarragonlock
{

route_table::route_table(std::uint64_t version, std::vector<queue_rule> rules, client_limits limits)
    : version_(version), rules_(std::move(rules)), limits_(limits)
{
    std::stable_sort(rules_.begin(), rules_.end(),
                     [](const queue_rule& a, const queue_rule& b)
                     { return a.path_prefix.size() > b.path_prefix.size(); });
}

const queue_rule* route_table::find(std::string_view host, std::string_view path) const
{
    for (const auto& rule : rules_)
    {
        if (rule.host == host && path.substr(0, rule.path_prefix.size()) == rule.path_prefix)
            return &rule;
    }
    return nullptr;
}

} // namespace tarragonlock
