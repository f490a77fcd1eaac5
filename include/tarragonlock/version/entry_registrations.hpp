#pragma once

#include "tarragonlock/version/store_client.hpp"

#include <map>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Addresses of the entries that are registered in the key-value service.
///
/// Any client of the service may write keys beside those of the entries. A value that is not an
/// address is logged once and names no entry; the other registrations are not affected.
class entry_registrations
{
public:
    /// Replaces all registrations by a complete reading of the service.
    void replace(const std::vector<store_item>& items);
    /// Applies the change of one key.
    void apply(const store_change& change);
    /// @return whether a key names this address
    bool contains(const std::string& address) const;
    /// @return the registered addresses, each one once
    std::vector<std::string> addresses() const;

private:
    void assign(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    std::map<std::string, std::string> address_by_key_;
    /// Number of keys by address. An entry that restarts under another name may be registered
    /// twice until its previous key expires.
    std::map<std::string, std::size_t> key_counts_;
    /// Values already logged as invalid, by key.
    std::map<std::string, std::string> invalid_values_;
};

} // namespace tarragonlock
