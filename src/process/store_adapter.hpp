#pragma once

#include "tarragonlock/process/entry_core.hpp"
#include "tarragonlock/process/settings.hpp"
#include "tarragonlock/version/store_client.hpp"

#include <string>
#include <vector>

namespace tarragonlock
{

/// Translates between the key-value service's keys and the entry's decisions.
class store_adapter
{
public:
    /// @param core   receives events; must outlive the feed
    /// @param store  carries out proposals; must outlive the feed
    store_adapter(entry_core& core, store_client& store, std::vector<peer_address> entries);

    /// Keeps this entry registered under a lease.
    void register_self(const process_id& self);
    void handle(instant now, const store_event& event);
    /// Asks for the table to be replaced.
    void propose_table(const swap_table& proposal);

private:
    void handle_snapshot(instant now, const store_snapshot& snapshot);
    void handle_change(instant now, const store_change& change);
    void handle_table(instant now, const store_item& item);
    void handle_config(instant now, const store_item& item);
    void handle_swap_result(instant now, const swap_result& outcome);

    entry_core& core_;
    store_client& store_;
    std::vector<peer_address> entries_;
    std::uint64_t swap_request_ = 0;
    swap_table proposed_swap_;
};

} // namespace tarragonlock
