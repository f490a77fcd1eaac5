// Stand-in for the platform's key-value service: the subset of etcd's JSON gateway that is used.

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
using lease_clock = std::chrono::steady_clock;

constexpr auto usage = R"(Stand-in for the key-value service.

Usage: standin_store --listen ADDRESS

Options:
  --listen ADDRESS  Address on which calls are accepted, host:port.

PUT /fault changes how calls are answered: none, down (status 503), slow (after 2 s), lose (calls
take effect but get status 503) or lose-write (the same for the next transaction only, after 4 s of
silence). GET /calls returns the number of calls received.
)";

std::atomic<bool> stopping{false};

std::string decoded_field(const json& body, const char* key)
{
    std::string bytes;
    absl::Base64Unescape(body.value(key, ""), &bytes);
    return bytes;
}

std::string encode_base64(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

std::int64_t integer_field(const json& body, const char* key)
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
        bool conditions_met = true;
        for (const auto& compare : body.value("compare", json::array()))
        {
            const auto found = items_.find(decoded_field(compare, "key"));
            const auto revision = found == items_.end() ? 0 : found->second.revision;
            conditions_met = conditions_met && revision == integer_field(compare, "mod_revision");
        }
        json responses = json::array();
        for (const auto& step : body.value(conditions_met ? "success" : "failure", json::array()))
        {
            if (step.contains("requestPut"))
            {
                put_locked(step["requestPut"]);
                responses.push_back({{"response_put", {{"header", header()}}}});
            }
            if (step.contains("requestRange"))
                responses.push_back({{"response_range", range_locked(step["requestRange"])}});
        }
        return {{"header", header()}, {"succeeded", conditions_met}, {"responses", responses}};
    }

    json grant(const json& body)
    {
        const std::lock_guard lock(mutex_);
        const auto id = ++next_lease_;
        leases_[id] = {integer_field(body, "TTL"), lease_clock::now()};
        return {{"ID", std::to_string(id)}, {"TTL", std::to_string(integer_field(body, "TTL"))}};
    }

    json keep_alive(const json& body)
    {
        const std::lock_guard lock(mutex_);
        const auto found = leases_.find(integer_field(body, "ID"));
        if (found == leases_.end())
            return {{"result", {{"ID", body["ID"]}}}};
        found->second.second = lease_clock::now();
        return {{"result", {{"ID", body["ID"]}, {"TTL", std::to_string(found->second.first)}}}};
    }

    json revoke(const json& body)
    {
        const std::lock_guard lock(mutex_);
        leases_.erase(integer_field(body, "ID"));
        delete_leased_items(integer_field(body, "ID"));
        return {{"header", header()}};
    }

    void expire_leases()
    {
        const std::lock_guard lock(mutex_);
        const auto now = lease_clock::now();
        for (auto lease = leases_.begin(); lease != leases_.end();)
        {
            const auto& [ttl_s, renewed_at] = lease->second;
            if (now - renewed_at < std::chrono::seconds(ttl_s))
            {
                ++lease;
                continue;
            }
            const auto id = lease->first;
            lease = leases_.erase(lease);
            delete_leased_items(id);
        }
    }

    /// Returns the changes from a revision on in a range of keys; waits for one at most 200 ms.
    std::vector<change> changes(std::int64_t from_revision, const std::string& range_begin,
                                const std::string& range_end)
    {
        std::unique_lock lock(mutex_);
        std::vector<change> found;
        const auto collect = [&]
        {
            for (const auto& logged : change_log_)
            {
                if (logged.revision >= from_revision && logged.key >= range_begin &&
                    logged.key < range_end)
                    found.push_back(logged);
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
        const auto range_begin = decoded_field(body, "key");
        const auto range_end = decoded_field(body, "range_end");
        json kvs = json::array();
        for (auto it = items_.lower_bound(range_begin); it != items_.end(); ++it)
        {
            if (range_end.empty() ? it->first != range_begin : it->first >= range_end)
                break;
            kvs.push_back(render(it->first, it->second));
        }
        return {{"header", header()}, {"kvs", kvs}, {"count", std::to_string(kvs.size())}};
    }

    static json render(const std::string& key, const item& stored)
    {
        return {{"key", encode_base64(key)},
                {"value", encode_base64(stored.value)},
                {"mod_revision", std::to_string(stored.revision)},
                {"lease", std::to_string(stored.lease)}};
    }

    void put_locked(const json& body)
    {
        const auto key = decoded_field(body, "key");
        items_[key] = {decoded_field(body, "value"), ++revision_, integer_field(body, "lease")};
        change_log_.push_back({revision_, key, {{"kv", render(key, items_[key])}}});
        changed_.notify_all();
    }

    void delete_leased_items(std::int64_t lease)
    {
        for (auto it = items_.begin(); it != items_.end();)
        {
            if (it->second.lease != lease)
            {
                ++it;
                continue;
            }
            ++revision_;
            change_log_.push_back({revision_,
                                   it->first,
                                   {{"type", "DELETE"},
                                    {"kv",
                                     {{"key", encode_base64(it->first)},
                                      {"mod_revision", std::to_string(revision_)}}}}});
            it = items_.erase(it);
        }
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::int64_t, std::pair<std::int64_t, lease_clock::time_point>> leases_;
    std::vector<change> change_log_;
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

std::atomic<fault> active_fault{fault::none};
std::atomic<std::uint64_t> call_count{0};

/// Answers a call with the result of its handler, unless the active fault prevents it.
template<class Handler>
void answer_call(const httplib::Request& request, httplib::Response& response, Handler handler)
{
    ++call_count;
    const auto injected = active_fault.load();
    response.status = 503;
    if (injected == fault::down)
        return;
    if (injected == fault::slow)
        std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return;
    const auto reply = handler(body);
    if (injected == fault::lose)
        return;
    auto expected = fault::lose_write;
    if (request.path == "/v3/kv/txn" && active_fault.compare_exchange_strong(expected, fault::none))
        return std::this_thread::sleep_for(std::chrono::seconds(4));
    response.status = 200;
    response.set_content(reply.dump() + "\n", "application/json");
}

/// Streams the changes that a watch asks for, one JSON line for each batch.
void stream_changes(store& kv_store, const json& create_request, httplib::Response& response)
{
    auto from_revision =
        std::make_shared<std::int64_t>(integer_field(create_request, "start_revision"));
    const auto range_begin = decoded_field(create_request, "key");
    const auto range_end = decoded_field(create_request, "range_end");
    response.set_chunked_content_provider(
        "application/json",
        [&kv_store, from_revision, range_begin, range_end](std::size_t, httplib::DataSink& sink)
        {
            if (stopping || active_fault == fault::down)
                return false;
            json events = json::array();
            for (const auto& logged : kv_store.changes(*from_revision, range_begin, range_end))
            {
                events.push_back(logged.event);
                *from_revision = logged.revision + 1;
            }
            if (events.empty())
                return true;
            const auto line = json{{"result", {{"events", events}}}}.dump() + "\n";
            return sink.write(line.data(), line.size());
        });
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    std::signal(SIGTERM, [](int) { stopping = true; });
    std::signal(SIGINT, [](int) { stopping = true; });
    const auto listen = arguments["--listen"].asString();
    store kv_store;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(128); };
    server.set_tcp_nodelay(true);
    const auto route = [&](const char* path, json (store::*call)(const json&))
    {
        server.Post(path,
                    [&kv_store, call](const auto& request, auto& response) {
                        answer_call(request, response,
                                    [&](const json& body) { return (kv_store.*call)(body); });
                    });
    };
    route("/v3/kv/range", &store::range);
    route("/v3/kv/put", &store::put);
    route("/v3/kv/txn", &store::transact);
    route("/v3/lease/grant", &store::grant);
    route("/v3/lease/keepalive", &store::keep_alive);
    route("/v3/lease/revoke", &store::revoke);
    server.Post("/v3/watch",
                [&](const auto& request, auto& response)
                {
                    ++call_count;
                    const auto body = json::parse(request.body, nullptr, false);
                    if (active_fault == fault::down || body.is_discarded())
                    {
                        response.status = 503;
                        return;
                    }
                    stream_changes(kv_store, body.value("create_request", json::object()),
                                   response);
                });
    server.Put("/fault",
               [](const auto& request, auto&)
               {
                   active_fault = request.body == "down"         ? fault::down
                                  : request.body == "slow"       ? fault::slow
                                  : request.body == "lose"       ? fault::lose
                                  : request.body == "lose-write" ? fault::lose_write
                                                                 : fault::none;
               });
    server.Get("/calls", [](const auto&, auto& response)
               { response.set_content(std::to_string(call_count), "text/plain"); });
    const auto colon = listen.rfind(':');
    if (!server.bind_to_port(listen.substr(0, colon).c_str(), std::stoi(listen.substr(colon + 1))))
    {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::thread expiry_thread(
        [&]
        {
            while (!stopping)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                kv_store.expire_leases();
            }
            server.stop();
        });
    server.listen_after_bind();
    expiry_thread.join();
    return 0;
}
