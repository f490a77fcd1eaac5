#include "tarragonlock/version/evacuation_state.hpp"

#include "tarragonlock/common/log.hpp"

namespace tarragonlock
{

namespace
{

bool is_valid_name(const std::string& failure_domain)
{
    return !failure_domain.empty() && failure_domain.size() <= max_failure_domain_length;
}

} // namespace

evacuation_state::evacuation_state(std::int64_t revision, std::set<std::string> failure_domains)
    : revision_(revision), failure_domains_(std::move(failure_domains))
{
}

evacuation_state evacuation_state::with(std::int64_t revision, const std::string& failure_domain,
                                        bool evacuated) const
{
    auto domains = failure_domains_;
    if (evacuated)
        domains.insert(failure_domain);
    else
        domains.erase(failure_domain);
    return {revision, std::move(domains)};
}

bool evacuation_tracker::apply_snapshot(std::int64_t revision,
                                        std::set<std::string> failure_domains)
{
    if (revision < current_.revision())
        return false;
    std::erase_if(failure_domains, [](const std::string& name) { return !is_valid_name(name); });
    return replace({revision, std::move(failure_domains)});
}

bool evacuation_tracker::apply_change(std::int64_t revision, const std::string& failure_domain,
                                      bool evacuated)
{
    if (revision < current_.revision() || !is_valid_name(failure_domain))
        return false;
    return replace(current_.with(revision, failure_domain, evacuated));
}

bool evacuation_tracker::apply_copy(const evacuation_state& copy)
{
    return copy.revision() > current_.revision() && replace(copy);
}

bool evacuation_tracker::replace(evacuation_state state)
{
    if (state.failure_domains().size() > max_evacuated_domains)
    {
        log_event(log_level::error, "too_many_evacuated_domains",
                  {{"domains", static_cast<std::int64_t>(state.failure_domains().size())}});
        return false;
    }
    const auto before = std::exchange(current_, std::move(state));
    for (const auto& domain : current_.failure_domains())
    {
        if (!before.contains(domain))
            log_event(log_level::info, "domain_evacuated",
                      {{"failure_domain", domain}, {"revision", current_.revision()}});
    }
    for (const auto& domain : before.failure_domains())
    {
        if (!current_.contains(domain))
            log_event(log_level::info, "domain_used_again",
                      {{"failure_domain", domain}, {"revision", current_.revision()}});
    }
    return before.failure_domains() != current_.failure_domains();
}

} // namespace tarragonlock
