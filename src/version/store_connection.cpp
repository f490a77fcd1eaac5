#include "tarragonlock/version/store_client.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <absl/strings/escaping.h>

namespace tarragonlock
{

namespace
{

using nlohmann::json;

class store_category : public std::error_category
{
public:
    const char* name() const noexcept override { return "tarragonlock.store"; }
    std::string message(int value) const override
    {
        switch (static_cast<store_error>(value))
        {
        case store_error::unreachable:
            return "the key-value service does not answer";
        case store_error::bad_answer:
            return "the answer of the key-value service could not be parsed";
        case store_error::refused:
            return "the key-value service refused the call";
        case store_error::history_lost:
            return "the key-value service no longer holds the requested change history";
        case store_error::lease_ended:
            return "the lease has expired";
        }
        return "unknown store error";
    }
};

constexpr auto idle_watch_timeout = std::chrono::seconds(5);

std::string to_base64(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    absl::Base64Unescape(text, &bytes);
    return bytes;
}

/// The JSON gateway encodes 64-bit integers as strings.
std::int64_t read_int64(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

store_item decode_item(const json& kv)
{
    return {from_base64(kv.at("key").get<std::string>()), from_base64(kv.value("value", "")),
            read_int64(kv, "mod_revision")};
}

/// @return the first key after all keys with a prefix.
std::string prefix_end_key(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

} // namespace

std::error_code make_error_code(store_error error)
{
    static const store_category category;
    return {static_cast<int>(error), category};
}

class store_connection::implementation
{
public:
    explicit implementation(store_options options) : options_(std::move(options)) {}

    const store_options& options() const { return options_; }

    result<json> call(const std::string& path, const json& body)
    {
        for (std::size_t attempt = 0; attempt < options_.addresses.size(); ++attempt)
        {
            httplib::Client client(address());
            set_timeouts(client, options_.timeout);
            const auto answer = client.Post(path, body.dump(), "application/json");
            if (!answer)
            {
                ++next_address_;
                continue;
            }
            if (answer->status != 200)
                return make_error_code(store_error::refused);
            auto parsed = json::parse(answer->body, nullptr, false);
            if (parsed.is_discarded())
                return make_error_code(store_error::bad_answer);
            return parsed;
        }
        return make_error_code(store_error::unreachable);
    }

    void stream(const std::string& path, const json& body,
                const std::function<bool(const json&)>& on_object)
    {
        httplib::Client client(address());
        set_timeouts(client, options_.timeout);
        // The connection of an idle stream may have been dropped by an intermediary without
        // notice, so the stream is ended and everything is read again.
        client.set_read_timeout(idle_watch_timeout);
        httplib::Request request;
        request.method = "POST";
        request.path = path;
        request.body = body.dump();
        request.set_header("Content-Type", "application/json");
        std::string pending;
        request.content_receiver =
            [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
        {
            pending.append(data, size);
            for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n'))
            {
                const auto object = json::parse(pending.substr(0, end), nullptr, false);
                pending.erase(0, end + 1);
                if (object.is_discarded() || !on_object(object))
                    return false;
            }
            return true;
        };
        client.send(request);
        ++next_address_;
    }

private:
    std::string address() const
    {
        return "http://" + options_.addresses[next_address_ % options_.addresses.size()];
    }

    static void set_timeouts(httplib::Client& client, duration timeout)
    {
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
    }

    store_options options_;
    std::size_t next_address_ = 0;
};

store_connection::store_connection(store_options options)
    : impl_(std::make_unique<implementation>(std::move(options)))
{
}

store_connection::~store_connection() = default;

result<std::pair<store_snapshot, std::int64_t>> store_connection::read_all()
{
    const auto& prefix = impl_->options().prefix;
    const auto answer =
        impl_->call("/v3/kv/range",
                    {{"key", to_base64(prefix)}, {"range_end", to_base64(prefix_end_key(prefix))}});
    if (!answer)
        return answer.error();
    try
    {
        store_snapshot snapshot;
        for (const auto& kv : answer.value().value("kvs", json::array()))
            snapshot.items.push_back(decode_item(kv));
        const auto revision = read_int64(answer.value().at("header"), "revision");
        return std::pair(std::move(snapshot), revision);
    }
    catch (const std::exception&)
    {
        return make_error_code(store_error::bad_answer);
    }
}

result<swap_result> store_connection::swap(const std::string& key, std::int64_t expected_revision,
                                           const std::string& value)
{
    const json body = {
        {"compare",
         {{{"key", to_base64(key)},
           {"target", "MOD"},
           {"result", "EQUAL"},
           {"mod_revision", std::to_string(expected_revision)}}}},
        {"success", {{{"requestPut", {{"key", to_base64(key)}, {"value", to_base64(value)}}}}}},
        {"failure", {{{"requestRange", {{"key", to_base64(key)}}}}}}};
    const auto answer = impl_->call("/v3/kv/txn", body);
    if (!answer)
        return answer.error();
    try
    {
        swap_result outcome;
        outcome.swapped = answer.value().value("succeeded", false);
        outcome.revision = read_int64(answer.value().at("header"), "revision");
        if (outcome.swapped)
            return outcome;
        const auto& range = answer.value().at("responses").at(0).at("response_range");
        for (const auto& kv : range.value("kvs", json::array()))
            outcome.current = decode_item(kv);
        return outcome;
    }
    catch (const std::exception&)
    {
        return make_error_code(store_error::bad_answer);
    }
}

result<std::int64_t> store_connection::grant_lease()
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(impl_->options().lease_time).count();
    const auto answer = impl_->call("/v3/lease/grant", {{"TTL", std::to_string(seconds)}});
    if (!answer)
        return answer.error();
    return read_int64(answer.value(), "ID");
}

result<bool> store_connection::renew_lease(std::int64_t lease)
{
    const auto answer = impl_->call("/v3/lease/keepalive", {{"ID", std::to_string(lease)}});
    if (!answer)
        return answer.error();
    return read_int64(answer.value().value("result", json::object()), "TTL") > 0;
}

result<bool> store_connection::revoke_lease(std::int64_t lease)
{
    const auto answer = impl_->call("/v3/lease/revoke", {{"ID", std::to_string(lease)}});
    if (!answer)
        return answer.error();
    return true;
}

result<bool> store_connection::put(const std::string& key, const std::string& value,
                                   std::int64_t lease)
{
    const auto answer = impl_->call(
        "/v3/kv/put",
        {{"key", to_base64(key)}, {"value", to_base64(value)}, {"lease", std::to_string(lease)}});
    if (!answer)
        return answer.error();
    return true;
}

void store_connection::watch(std::int64_t after_revision,
                             const std::function<bool(store_change)>& on_change)
{
    const auto& prefix = impl_->options().prefix;
    const json body = {{"create_request",
                        {{"key", to_base64(prefix)},
                         {"range_end", to_base64(prefix_end_key(prefix))},
                         {"start_revision", std::to_string(after_revision + 1)}}}};
    impl_->stream("/v3/watch", body,
                  [&](const json& object)
                  {
                      const auto result = object.value("result", json::object());
                      if (result.value("canceled", false))
                          return false;
                      for (const auto& event : result.value("events", json::array()))
                      {
                          const auto item = decode_item(event.at("kv"));
                          const bool deleted = event.value("type", "PUT") == "DELETE";
                          if (!on_change({item.key, deleted ? std::nullopt : std::optional(item)}))
                              return false;
                      }
                      return true;
                  });
}

} // namespace tarragonlock
