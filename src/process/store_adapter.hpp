#pragma once

#include "tarragonlock/process/entry_core.hpp"
#include "tarragonlock/process/settings.hpp"
#include "tarragonlock/version/store_client.hpp"

#include <string>
#include <vector>

namespace tarragonlock
{

/// Translates changes of keys in the key-value service into events of the entry core, and table
/// proposals of the core into compare-and-swap requests.
class store_adapter
{
public:
    /// @param core   receives the events; must outlive the adapter
    /// @param store  executes the proposals; must outlive the adapter
    store_adapter(entry_core& core, store_client& store, std::vector<peer_address> entries);

    /// Registers this entry under a lease that is kept alive.
    void register_self(const process_identity& self);
    void handle(instant now, const store_event& event);
    /// Requests that the table is replaced, if it still has the expected revision.
    void propose_table(const table_swap& proposal);

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
    /// The newest proposal; results of older ones are ignored.
    table_swap proposed_swap_;
};

} // namespace tarragonlock
