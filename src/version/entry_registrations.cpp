#include "tarragonlock/version/entry_registrations.hpp"

#include "connection/loop_socket.hpp"
#include "tarragonlock/common/log.hpp"

namespace tarragonlock
{

namespace
{

/// Longest address, "255.255.255.255:65535".
constexpr std::size_t max_address_length = 21;

bool is_address(const std::string& value)
{
    return value.size() <= max_address_length && parse_endpoint(value).has_value();
}

} // namespace

void entry_registrations::replace(const std::vector<store_item>& items)
{
    address_by_key_.clear();
    key_counts_.clear();
    const auto logged_before = std::exchange(invalid_values_, {});
    for (const auto& item : items)
    {
        if (const auto logged = logged_before.find(item.key); logged != logged_before.end())
            invalid_values_.insert(*logged);
        assign(item.key, item.value);
    }
}

void entry_registrations::apply(const store_change& change)
{
    if (change.item)
        assign(change.key, change.item->value);
    else
    {
        remove(change.key);
        invalid_values_.erase(change.key);
    }
}

bool entry_registrations::contains(const std::string& address) const
{
    return key_counts_.contains(address);
}

std::vector<std::string> entry_registrations::addresses() const
{
    std::vector<std::string> found;
    for (const auto& [address, keys] : key_counts_)
        found.push_back(address);
    return found;
}

void entry_registrations::assign(const std::string& key, const std::string& value)
{
    remove(key);
    if (is_address(value))
    {
        invalid_values_.erase(key);
        address_by_key_[key] = value;
        ++key_counts_[value];
        return;
    }
    const auto shown = value.substr(0, max_address_length);
    if (const auto logged = invalid_values_.find(key);
        logged != invalid_values_.end() && logged->second == shown)
        return;
    invalid_values_[key] = shown;
    log_event(log_level::warn, "bad_entry_registration",
              {{"key", key}, {"bytes", static_cast<std::int64_t>(value.size())}});
}

void entry_registrations::remove(const std::string& key)
{
    const auto found = address_by_key_.find(key);
    if (found == address_by_key_.end())
        return;
    if (const auto count = key_counts_.find(found->second); --count->second == 0)
        key_counts_.erase(count);
    address_by_key_.erase(found);
}

} // namespace tarragonlock
