// Stand-in for the platform's key-value service: the part of etcd's JSON mapping that is used.

#include <absl/strings/escaping.h>
#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace
{

using nlohmann::json;
using seconds_clock = std::chrono::steady_clock;

constexpr auto usage = R"(Stand-in for the key-value service.

Usage: standin_store --listen ADDRESS

Options:
  --listen ADDRESS  Where calls are taken, host:port.

PUT /fault with none, down (no answers), slow (2 s), lose (effect without an answer) or lose-write
(the same for one transaction, whose connection stays silent) changes how calls are answered; GET /calls tells how many came.
)";

std::atomic<bool> stopping{false};

std::string decode(const json& body, const char* key)
{
    std::string bytes;
    absl::Base64Unescape(body.value(key, ""), &bytes);
    return bytes;
}

std::string encode(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

std::int64_t number(const json& body, const char* key)
{
    const auto found = body.find(key);
    if (found == body.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

struct item
{
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
};

struct change
{
    std::int64_t revision = 0;
    std::string key;
    json event;
};

class store
{
public:
    json range(const json& body)
    {
        const std::lock_guard lock(mutex_);
        return range_locked(body);
    }

    json put(const json& body)
    {
        const std::lock_guard lock(mutex_);
        put_locked(body);
        return {{"header", header()}};
    }

    json transact(const json& body)
    {
        const std::lock_guard lock(mutex_);
        bool holds = true;
        for (const auto& compare : body.value("compare", json::array()))
        {
            const auto found = items_.find(decode(compare, "key"));
            const auto revision = found == items_.end() ? 0 : found->second.revision;
            holds = holds && revision == number(compare, "mod_revision");
        }
        json responses = json::array();
        for (const auto& step : body.value(holds ? "success" : "failure", json::array()))
        {
            if (step.contains("requestPut"))
            {
                put_locked(step["requestPut"]);
                responses.push_back({{"response_put", {{"header", header()}}}});
            }
            if (step.contains("requestRange"))
                responses.push_back({{"response_range", range_locked(step["requestRange"])}});
        }
        return {{"header", header()}, {"succeeded", holds}, {"responses", responses}};
    }

    json grant(const json& body)
    {
        const std::lock_guard lock(mutex_);
        const auto id = ++next_lease_;
        leases_[id] = {number(body, "TTL"), seconds_clock::now()};
        return {{"ID", std::to_string(id)}, {"TTL", std::to_string(number(body, "TTL"))}};
    }

    json keep(const json& body)
    {
        const std::lock_guard lock(mutex_);
        const auto found = leases_.find(number(body, "ID"));
        if (found == leases_.end())
            return {{"result", {{"ID", body["ID"]}}}};
        found->second.second = seconds_clock::now();
        return {{"result", {{"ID", body["ID"]}, {"TTL", std::to_string(found->second.first)}}}};
    }

    json revoke(const json& body)
    {
        const std::lock_guard lock(mutex_);
        leases_.erase(number(body, "ID"));
        drop_leased(number(body, "ID"));
        return {{"header", header()}};
    }

    void lapse_leases()
    {
        const std::lock_guard lock(mutex_);
        const auto now = seconds_clock::now();
        for (auto lease = leases_.begin(); lease != leases_.end();)
        {
            const auto& [ttl, kept] = lease->second;
            if (now - kept < std::chrono::seconds(ttl))
            {
                ++lease;
                continue;
            }
            const auto id = lease->first;
            lease = leases_.erase(lease);
            drop_leased(id);
        }
    }

    /// Waits for changes from a revision on, at most a short time.
    std::vector<change> changes(std::int64_t from, const std::string& first, const std::string& end)
    {
        std::unique_lock lock(mutex_);
        std::vector<change> found;
        const auto collect = [&]
        {
            for (const auto& entry : log_)
            {
                if (entry.revision >= from && entry.key >= first && entry.key < end)
                    found.push_back(entry);
            }
            return !found.empty();
        };
        changed_.wait_for(lock, std::chrono::milliseconds(200), collect);
        return found;
    }

private:
    json header() const { return {{"revision", std::to_string(revision_)}}; }

    json range_locked(const json& body) const
    {
        const auto first = decode(body, "key");
        const auto end = decode(body, "range_end");
        json kvs = json::array();
        for (auto at = items_.lower_bound(first); at != items_.end(); ++at)
        {
            if (end.empty() ? at->first != first : at->first >= end)
                break;
            kvs.push_back(render(at->first, at->second));
        }
        return {{"header", header()}, {"kvs", kvs}, {"count", std::to_string(kvs.size())}};
    }

    static json render(const std::string& key, const item& entry)
    {
        return {{"key", encode(key)},
                {"value", encode(entry.value)},
                {"mod_revision", std::to_string(entry.revision)},
                {"lease", std::to_string(entry.lease)}};
    }

    void put_locked(const json& body)
    {
        const auto key = decode(body, "key");
        items_[key] = {decode(body, "value"), ++revision_, number(body, "lease")};
        log_.push_back({revision_, key, {{"kv", render(key, items_[key])}}});
        changed_.notify_all();
    }

    void drop_leased(std::int64_t lease)
    {
        for (auto at = items_.begin(); at != items_.end();)
        {
            if (at->second.lease != lease)
            {
                ++at;
                continue;
            }
            ++revision_;
            log_.push_back(
                {revision_,
                 at->first,
                 {{"type", "DELETE"},
                  {"kv",
                   {{"key", encode(at->first)}, {"mod_revision", std::to_string(revision_)}}}}});
            at = items_.erase(at);
        }
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::int64_t, std::pair<std::int64_t, seconds_clock::time_point>> leases_;
    std::vector<change> log_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1000;
};

enum class fault
{
    none,
    down,
    slow,
    lose,
    lose_write
};

std::atomic<fault> current{fault::none};
std::atomic<std::uint64_t> calls{0};

/// Answers a call as the present fault has it.
template<class Handler>
void answer(const httplib::Request& request, httplib::Response& response, Handler handler)
{
    ++calls;
    const auto now = current.load();
    response.status = 503;
    if (now == fault::down)
        return;
    if (now == fault::slow)
        std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return;
    const auto reply = handler(body);
    if (now == fault::lose)
        return;
    auto expected = fault::lose_write;
    if (request.path == "/v3/kv/txn" && current.compare_exchange_strong(expected, fault::none))
        return std::this_thread::sleep_for(std::chrono::seconds(4));
    response.status = 200;
    response.set_content(reply.dump() + "\n", "application/json");
}

void stream_changes(store& data, const json& create, httplib::Response& response)
{
    auto from = std::make_shared<std::int64_t>(number(create, "start_revision"));
    const auto first = decode(create, "key");
    const auto end = decode(create, "range_end");
    response.set_chunked_content_provider(
        "application/json",
        [&data, from, first, end](std::size_t, httplib::DataSink& sink)
        {
            if (stopping || current == fault::down)
                return false;
            json events = json::array();
            for (const auto& entry : data.changes(*from, first, end))
            {
                events.push_back(entry.event);
                *from = entry.revision + 1;
            }
            if (events.empty())
                return true;
            const auto text = json{{"result", {{"events", events}}}}.dump() + "\n";
            return sink.write(text.data(), text.size());
        });
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    std::signal(SIGTERM, [](int) { stopping = true; });
    std::signal(SIGINT, [](int) { stopping = true; });
    const auto listen = arguments["--listen"].asString();
    store data;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(128); };
    server.set_tcp_nodelay(true);
    const auto route = [&](const char* path, json (store::*call)(const json&))
    {
        server.Post(
            path, [&data, call](const auto& request, auto& response)
            { answer(request, response, [&](const json& body) { return (data.*call)(body); }); });
    };
    route("/v3/kv/range", &store::range);
    route("/v3/kv/put", &store::put);
    route("/v3/kv/txn", &store::transact);
    route("/v3/lease/grant", &store::grant);
    route("/v3/lease/keepalive", &store::keep);
    route("/v3/lease/revoke", &store::revoke);
    server.Post("/v3/watch",
                [&](const auto& request, auto& response)
                {
                    ++calls;
                    const auto body = json::parse(request.body, nullptr, false);
                    if (current == fault::down || body.is_discarded())
                    {
                        response.status = 503;
                        return;
                    }
                    stream_changes(data, body.value("create_request", json::object()), response);
                });
    server.Put("/fault",
               [](const auto& request, auto&)
               {
                   current = request.body == "down"         ? fault::down
                             : request.body == "slow"       ? fault::slow
                             : request.body == "lose"       ? fault::lose
                             : request.body == "lose-write" ? fault::lose_write
                                                            : fault::none;
               });
    server.Get("/calls", [](const auto&, auto& response)
               { response.set_content(std::to_string(calls), "text/plain"); });
    const auto colon = listen.rfind(':');
    if (!server.bind_to_port(listen.substr(0, colon).c_str(), std::stoi(listen.substr(colon + 1))))
    {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::thread ticker(
        [&]
        {
            while (!stopping)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                data.lapse_leases();
            }
            server.stop();
        });
    server.listen_after_bind();
    ticker.join();
    return 0;
}
