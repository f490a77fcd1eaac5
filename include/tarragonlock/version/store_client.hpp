#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/common/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragonlock
{

/// Why a call to the key-value service failed.
enum class store_error
{
    unreachable = 1, ///< no answer; the call may or may not have taken effect
    bad_answer,      ///< an answer that could not be parsed
    refused,         ///< the service answered with an error
    history_lost,    ///< changes since the requested revision are no longer available
    lease_ended      ///< the lease has expired
};

std::error_code make_error_code(store_error error);

/// A key with its value and the revision of its last change.
struct store_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    friend bool operator==(const store_item&, const store_item&) = default;
};

/// All items under the prefix, read at one revision or completed by the changes that follow.
struct store_snapshot
{
    std::vector<store_item> items;
    /// Revision after which the changes follow; 0 when not reported.
    std::int64_t revision = 0;
};

/// One key changed; no item means that it was deleted or that its lease expired.
struct store_change
{
    std::string key;
    std::optional<store_item> item;
    /// Revision of the change, also of a deletion; 0 when not reported.
    std::int64_t revision = 0;
};

/// The watch ended; a new snapshot precedes the next changes.
struct watch_ended
{
};

/// Outcome of a swap.
struct swap_result
{
    std::uint64_t request = 0;
    /// No answer came; the swap may or may not have taken effect.
    bool in_doubt = false;
    bool swapped = false;
    std::int64_t revision = 0;
    /// Current item of the key when it was not swapped; empty when the key does not exist.
    std::optional<store_item> current;
};

using store_event = std::variant<store_snapshot, store_change, watch_ended, swap_result>;

struct store_options
{
    /// Addresses of the key-value service, as host:port; tried in turn.
    std::vector<std::string> addresses;
    std::string prefix = "tarragonlock/";
    duration timeout = std::chrono::seconds(2);
    duration retry_interval = std::chrono::milliseconds(500);
    duration lease_time = std::chrono::seconds(5);
};

/// Blocking calls to the key-value service through etcd's JSON gateway.
class store_connection
{
public:
    explicit store_connection(store_options options);
    ~store_connection();
    store_connection(const store_connection&) = delete;
    store_connection& operator=(const store_connection&) = delete;

    /// @return everything under the prefix with the service's revision, or a store_error.
    result<std::pair<store_snapshot, std::int64_t>> read_all();
    /// Replaces a value if the key's revision is the expected one (0: the key does not exist).
    result<swap_result> swap(const std::string& key, std::int64_t expected_revision,
                             const std::string& value);
    result<std::int64_t> grant_lease();
    /// @return whether the lease is still valid.
    result<bool> renew_lease(std::int64_t lease);
    result<bool> revoke_lease(std::int64_t lease);
    result<bool> put(const std::string& key, const std::string& value, std::int64_t lease);
    /// Reads changes after a revision until the stream breaks or on_change returns false.
    void watch(std::int64_t after_revision, const std::function<bool(store_change)>& on_change);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// A process's client of the key-value service: watches a prefix, swaps values and keeps the
/// process registered under a lease.
class store_client
{
public:
    using event_handler = std::function<void(store_event)>;

    /// Opens a client of a service that offers etcd's JSON gateway, with threads of its own: one
    /// watches, one makes the calls.
    /// @param on_event  called from the client's threads
    static std::unique_ptr<store_client> open(const store_options& options, event_handler on_event);

    virtual ~store_client() = default;
    store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    /// Replaces a value; the outcome comes as swap_result with this request number.
    virtual void swap(std::uint64_t request, const std::string& key, std::int64_t expected_revision,
                      const std::string& value) = 0;
    /// Keeps a key stored under a lease until unregister or the end of the process.
    virtual void keep_registered(const std::string& key, const std::string& value) = 0;
    virtual void unregister() = 0;
    /// @return number of calls made so far; a watch counts once for each time it was opened.
    virtual std::uint64_t call_count() const = 0;
};

} // namespace tarragonlock

template<>
struct std::is_error_code_enum<tarragonlock::store_error> : std::true_type
{
};
