#include "fakes/exploration.hpp"

#include "fakes/exploration_run.hpp"

namespace tarragonlock::test
{

namespace
{

struct mechanism_switch
{
    const char* name;
    void (*turn_off)(mechanisms&);
};

constexpr mechanism_switch switches[] = {
    {"lease", [](mechanisms& m) { m.ownership.lease = false; }},
    {"vote", [](mechanisms& m) { m.ownership.vote = false; }},
    {"record-query", [](mechanisms& m) { m.ownership.fence = false; }},
    {"epoch", [](mechanisms& m) { m.agent.refuse_fenced_epochs = false; }},
    {"grant-expiry", [](mechanisms& m) { m.agent.refuse_stale_grants = false; }},
    {"known-worker", [](mechanisms& m) { m.agent.require_majority = false; }},
    {"known-attempt", [](mechanisms& m) { m.agent.refuse_known_attempts = false; }},
    {"ask-before-restart", [](mechanisms& m) { m.restart_uncertain = true; }},
};

} // namespace

exploration_result explore(std::uint64_t seed, const mechanisms& enabled)
{
    return exploration_run(seed, enabled).run();
}

std::optional<mechanisms> without(const std::string& mechanism)
{
    for (const auto& [name, turn_off] : switches)
    {
        if (mechanism != name)
            continue;
        mechanisms enabled;
        turn_off(enabled);
        return enabled;
    }
    return std::nullopt;
}

std::vector<std::string> mechanism_names()
{
    std::vector<std::string> names;
    for (const auto& item : switches)
        names.emplace_back(item.name);
    return names;
}

} // namespace tarragonlock::test
