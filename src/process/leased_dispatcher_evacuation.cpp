#include "tarragonlock/process/leased_dispatcher.hpp"

#include "tarragonlock/common/log.hpp"

#include <algorithm>

namespace tarragonlock
{

bool leased_dispatcher::evacuated(const connected_agent& agent) const
{
    return evacuations_.contains(agent.worker.failure_domain);
}

bool leased_dispatcher::usable(const connected_agent& agent) const
{
    return agent.worker.accepting && !evacuated(agent);
}

void leased_dispatcher::set_evacuated_domains(instant now, const evacuation_state& evacuations)
{
    evacuations_ = evacuations;
    for (const auto& domain : evacuations_.failure_domains())
    {
        const auto workers = std::count_if(agents_.begin(), agents_.end(),
                                           [&domain](const auto& item)
                                           { return item.second.worker.failure_domain == domain; });
        if (workers == 0)
            log_event(log_level::warn, "evacuated_domain_without_workers",
                      {{"failure_domain", domain}, {"revision", evacuations_.revision()}});
    }
    // Domains that are used again may have room.
    resources_freed_ = true;
    std::vector<std::string> waiting;
    // The agents of a new entry connect within the grace period.
    for (const auto& [rank, id] : waiting_)
    {
        if (now - started_ > startup_grace_period)
            waiting.push_back(id);
    }
    for (const auto& id : waiting)
    {
        const auto found = jobs_.find(id);
        if (found->second->may_have_started() ||
            has_worker_for(now, found->second->request, found->second->rule))
            continue;
        answer(now, found,
               {leased_outcome::refused, leased_reason::no_worker,
                static_cast<std::uint32_t>(no_worker_retry_delay / std::chrono::milliseconds(1))});
    }
    dispatch(now);
}

} // namespace tarragonlock
