#include "process/store_adapter.hpp"

#include "tarragonlock/common/log.hpp"
#include "tarragonlock/connection/codec.hpp"

#include <cstdlib>
#include <set>

namespace tarragonlock
{

namespace
{

const std::string store_prefix = "tarragonlock/";
const std::string table_key = store_prefix + "table";
const std::string config_key = store_prefix + "config";
const std::string entries_prefix = store_prefix + "entries/";

} // namespace

store_adapter::store_adapter(entry_core& core, store_client& store,
                             std::vector<peer_address> entries)
    : core_(core), store_(store), entries_(std::move(entries))
{
}

void store_adapter::register_self(const process_identity& self)
{
    store_.keep_registered(entries_prefix + self.name, std::to_string(self.incarnation));
}

void store_adapter::propose_table(const table_swap& proposal)
{
    proposed_swap_ = proposal;
    log_event(log_level::info, "table_proposed",
              {{"version", static_cast<std::int64_t>(proposal.table.version)}});
    store_.swap(++swap_request_, table_key, proposal.expected_revision,
                encode_table(proposal.table));
}

void store_adapter::handle(instant now, const store_event& event)
{
    if (const auto* snapshot = std::get_if<store_snapshot>(&event))
        handle_snapshot(now, *snapshot);
    else if (const auto* change = std::get_if<store_change>(&event))
        handle_change(now, *change);
    else if (const auto* swapped = std::get_if<swap_result>(&event))
        handle_swap_result(now, *swapped);
}

void store_adapter::handle_snapshot(instant now, const store_snapshot& snapshot)
{
    std::set<std::string> present;
    for (const auto& item : snapshot.items)
    {
        present.insert(item.key);
        handle_change(now, {item.key, item});
    }
    for (const auto& entry : entries_)
    {
        if (!present.contains(entries_prefix + entry.name))
            core_.on_store_entry(entry.name, std::nullopt);
    }
    core_.on_store_read(now);
}

void store_adapter::handle_change(instant now, const store_change& change)
{
    if (change.key.starts_with(entries_prefix))
    {
        std::optional<std::uint64_t> incarnation;
        if (change.item)
            incarnation = std::strtoull(change.item->value.c_str(), nullptr, 10);
        core_.on_store_entry(change.key.substr(entries_prefix.size()), incarnation);
    }
    if (!change.item)
        return;
    if (change.key == table_key)
        handle_table(now, *change.item);
    if (change.key == config_key)
        handle_config(now, *change.item);
}

void store_adapter::handle_table(instant now, const store_item& item)
{
    if (const auto table = decode_table(item.value))
        core_.on_store_table(now, table.value(), item.revision);
    else
        log_event(log_level::error, "table_unreadable", {{"error", table.error().message()}});
}

/// Uses the key's revision as the configuration version: it increases with every change.
void store_adapter::handle_config(instant now, const store_item& item)
{
    const auto version = static_cast<std::uint64_t>(item.revision);
    if (version <= core_.config_version())
        return;
    const bool in_force = core_.on_config(now, version, item.value);
    log_event(in_force ? log_level::info : log_level::error,
              in_force ? "config_in_force" : "config_rejected", {{"version", item.revision}});
}

void store_adapter::handle_swap_result(instant now, const swap_result& outcome)
{
    if (outcome.request != swap_request_)
        return;
    if (outcome.in_doubt)
        return core_.on_swap_in_doubt(now);
    if (outcome.current)
        handle_table(now, *outcome.current);
    core_.on_swap_done(now, outcome.swapped, proposed_swap_, outcome.revision);
}

} // namespace tarragonlock
