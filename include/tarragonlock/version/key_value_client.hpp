#pragma once

#include "tarragonlock/version/store_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tarragonlock
{

/// One page of the items under a prefix.
struct store_page
{
    std::vector<store_item> items;
    /// Whether more pages follow, after last_key.
    bool truncated = false;
    /// The service's revision when it answered.
    std::int64_t revision = 0;
    /// Last key of the page. Its item is missing from items if it could not be decoded.
    std::string last_key;
};

/// Changes under a prefix, and the revision after which the next watch continues. A change whose
/// value could not be decoded counts as a deletion of its key.
struct store_change_batch
{
    std::vector<store_change> changes;
    std::int64_t revision = 0;
};

/// Asynchronous client of a key-value service. Every handler is called exactly once, with a
/// store_error when the call failed; store_error::unreachable means that the call may still take
/// effect.
class key_value_client
{
public:
    template<class T>
    using handler = std::function<void(result<T>)>;

    virtual ~key_value_client() = default;
    key_value_client() = default;
    key_value_client(const key_value_client&) = delete;
    key_value_client& operator=(const key_value_client&) = delete;

    /// @param after_key  last key of the previous page; empty for the first page
    virtual void list(const std::string& prefix, const std::string& after_key,
                      handler<store_page> on_page) = 0;
    /// Waits for changes after a revision.
    /// @param wait  longest time for which the service holds the call open without a change
    virtual void watch(const std::string& prefix, std::int64_t after_revision, duration wait,
                       handler<store_change_batch> on_changes) = 0;
    /// Writes a key, under a condition when one is given.
    /// @param expected_revision  revision that the key must have, 0 when it must not exist, or
    ///                           any_revision
    /// @param lease              lease with which the key is deleted, or 0 for none
    virtual void write(const std::string& key, std::int64_t expected_revision,
                       const std::string& value, std::int64_t lease,
                       handler<swap_result> on_written) = 0;
    virtual void grant_lease(duration lease_time, handler<std::int64_t> on_granted) = 0;
    /// The handler receives false when the lease has expired.
    virtual void renew_lease(std::int64_t lease, handler<bool> on_renewed) = 0;
    virtual void revoke_lease(std::int64_t lease) = 0;
    /// Enforces the timeouts of calls; must be called every few milliseconds.
    virtual void on_tick(instant now) = 0;
    /// @return number of calls made so far.
    virtual std::uint64_t call_count() const = 0;

    static constexpr std::int64_t any_revision = -1;
};

} // namespace tarragonlock
