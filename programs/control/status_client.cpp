#include "status_client.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>

namespace tarragonlock::control
{

namespace
{

using nlohmann::json;

httplib::Client make_client(const std::string& address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(2);
    client.set_read_timeout(5);
    return client;
}

/// @return the highest configuration version that any entry reports for each connected worker
std::map<std::string, std::int64_t> worker_versions(const std::vector<json>& entry_statuses)
{
    std::map<std::string, std::int64_t> versions;
    for (const auto& entry : entry_statuses)
    {
        for (const auto& worker : entry.at("workers"))
        {
            if (!worker.at("connected").get<bool>())
                continue;
            auto& version = versions[worker.at("name").get<std::string>()];
            version = std::max(version, worker.at("config_version").get<std::int64_t>());
        }
    }
    return versions;
}

} // namespace

std::optional<std::string> fetch(const std::string& address, const std::string& path)
{
    auto client = make_client(address);
    const auto response = client.Get(path);
    if (!response || response->status != 200)
        return std::nullopt;
    auto body = response->body;
    while (!body.empty() && body.back() == '\n')
        body.pop_back();
    return body;
}

std::vector<json> fetch_status(const std::vector<std::string>& entries)
{
    std::vector<json> entry_statuses;
    for (const auto& address : entries)
    {
        const auto body = fetch(address, "/v1/status");
        auto parsed = body ? json::parse(*body, nullptr, false) : json(json::value_t::discarded);
        if (!parsed.is_discarded())
            entry_statuses.push_back(std::move(parsed));
    }
    return entry_statuses;
}

std::string render_status(const std::vector<json>& entry_statuses)
{
    std::string text = fmt::format("{:<12} {:<10} {:>5} {:>7} {:>6} {:>6} {:>8} {:>7}\n", "ENTRY",
                                   "DOMAIN", "READY", "VERSION", "LEASE", "SHARDS", "JOBS", "WAIT");
    for (const auto& entry : entry_statuses)
        text += fmt::format(
            "{:<12} {:<10} {:>5} {:>7} {:>6} {:>6} {:>8} {:>7}\n",
            entry.at("entry").get<std::string>(), entry.at("failure_domain").get<std::string>(),
            entry.at("ready").get<bool>() ? "yes" : "no",
            entry.at("config_version").get<std::int64_t>(),
            entry.at("holds_lease").get<bool>() ? "yes" : "no", entry.at("shards").get<int>(),
            entry.at("jobs_in_progress").get<int>(), entry.at("tasks_waiting").get<int>());
    if (entry_statuses.empty())
        return text;
    text += fmt::format("\n{:<12} {:<12} {:>5} {:>5} {:>8} {:>8} {}\n", "WORKER", "SERVICE",
                        "SLOTS", "FREE", "SLOWNESS", "VERSION", "STATE");
    for (const auto& worker : entry_statuses.front().at("workers"))
    {
        const char* state = !worker.at("connected").get<bool>() ? "lost"
                            : worker.at("leaving").get<bool>()  ? "leaving"
                            : worker.at("ejected").get<bool>()  ? "ejected"
                                                                : "ok";
        text += fmt::format("{:<12} {:<12} {:>5} {:>5} {:>8.2f} {:>8} {}\n",
                            worker.at("name").get<std::string>(),
                            worker.at("service").get<std::string>(), worker.at("slots").get<int>(),
                            worker.at("free_slots").get<int>(), worker.at("slowness").get<double>(),
                            worker.at("config_version").get<std::int64_t>(), state);
    }
    return text;
}

std::pair<std::size_t, std::size_t>
count_processes_at_version(const std::vector<std::string>& entries, std::int64_t version)
{
    const auto entry_statuses = fetch_status(entries);
    const auto workers = worker_versions(entry_statuses);
    const auto updated_entries =
        std::count_if(entry_statuses.begin(), entry_statuses.end(),
                      [&](const json& entry) { return entry.at("config_version") >= version; });
    const auto updated_workers =
        std::count_if(workers.begin(), workers.end(),
                      [&](const auto& worker) { return worker.second >= version; });
    return {static_cast<std::size_t>(updated_entries + updated_workers),
            entries.size() + workers.size()};
}

bool request_drain(const std::string& address)
{
    auto client = make_client(address);
    const auto response = client.Put("/v1/drain", "", "text/plain");
    return response && response->status == 200;
}

} // namespace tarragonlock::control
