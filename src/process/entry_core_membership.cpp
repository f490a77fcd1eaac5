// Other entries, shard ownership and recovery, configuration versions and time.

#include "tarragonlock/process/entry_core.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Number of forwarded submissions per sending entry whose request numbers are kept to drop
/// duplicates.
constexpr std::size_t max_seen_forwards = 256;

} // namespace

result<std::unique_ptr<entry_core>> entry_core::create(entry_options options, instant now)
{
    auto placement = make_placement(options.placement);
    if (!placement)
        return placement.error();
    options.ownership.self = options.self;
    options.ownership.entries = options.entries;
    options.ownership.wall_offset = options.wall_offset;
    return std::unique_ptr<entry_core>(
        new entry_core(std::move(options), now, std::move(placement).value()));
}

entry_core::entry_core(entry_options options, instant now,
                       std::unique_ptr<placement_strategy> placement)
    : options_(std::move(options)), started_(now),
      directory_(options_.ejection, options_.record_window), ownership_(options_.ownership, now),
      registry_(options_.record_window, options_.max_result_bytes),
      // Starts from the incarnation, so that request numbers of an earlier incarnation of this
      // process are not reused.
      next_request_(options_.self.incarnation << 20U)
{
    dispatcher_ = std::make_unique<dispatcher>(options_.dispatch, directory_, std::move(placement),
                                               [this](const fencing_token& token) {
                                                   return token.shard == no_shard ||
                                                          ownership_.holds_lease(now_);
                                               });
}

unix_milliseconds entry_core::wall_time(instant now) const
{
    return std::chrono::duration_cast<unix_milliseconds>(now.time_since_epoch()) +
           options_.wall_offset;
}

void entry_core::send(const std::string& to, message body)
{
    ++counters_.messages_sent;
    ++counters_.sent_by_type.at(body.index());
    effects_.emplace_back(outgoing_message{to, std::move(body)});
}

void entry_core::on_message(instant now, const std::string& from, const message& received)
{
    now_ = now;
    std::visit([&](const auto& body) { handle(now, from, body); }, received);
    dispatcher_->place_waiting_tasks(now);
    process_dispatcher_output(now);
}

void entry_core::handle(instant now, const std::string& from, const entry_heartbeat& heartbeat)
{
    ownership_.on_heartbeat(now, from, heartbeat);
    if (heartbeat.config_version < config_version_)
        send(from, config_update{config_version_, config_document_});
    process_ownership_output(now);
}

void entry_core::handle(instant now, const std::string& from, const entry_heartbeat_ack& ack)
{
    ownership_.on_heartbeat_ack(now, from, ack);
    process_ownership_output(now);
}

void entry_core::handle(instant now, const std::string& from, const worker_list_request& request)
{
    const auto known_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_);
    send(from, worker_list_reply{request.request, static_cast<std::uint64_t>(known_for.count()),
                                 directory_.known_incarnations()});
}

void entry_core::handle(instant now, const std::string& from, const worker_list_reply& reply)
{
    for (auto& round : recoveries_)
        round.on_worker_list(from, reply);
    advance_recoveries(now);
}

void entry_core::handle(instant now, const std::string& from, const table_update& update)
{
    ownership_.on_table(now, update.table, from);
    process_ownership_output(now);
}

void entry_core::handle(instant now, const std::string&, const config_update& update)
{
    on_config(now, update.version, update.document);
}

void entry_core::handle(instant now, const std::string& from, const forward_submit& forwarded)
{
    // A duplicate of a refused submission must not be admitted: the sender has already delivered
    // the refusal to the caller.
    auto& seen = seen_forwards_[from];
    if (std::find(seen.begin(), seen.end(), forwarded.request) != seen.end())
    {
        ++counters_.messages_wasted;
        return;
    }
    seen.push_back(forwarded.request);
    if (seen.size() > max_seen_forwards)
        seen.pop_front();
    submit(now, {0, from, forwarded.request, std::nullopt}, forwarded.job);
}

void entry_core::handle(instant, const std::string&, const forward_answer& reply)
{
    const auto pending = pending_forwards_.find(reply.request);
    if (pending == pending_forwards_.end())
    {
        ++counters_.messages_wasted;
        return;
    }
    if (reply.pending)
        effects_.emplace_back(reply_to_caller{pending->second.from.call, std::nullopt});
    else
        deliver(pending->second.from, reply.reply);
    pending_forwards_.erase(pending);
}

void entry_core::handle(instant now, const std::string& from, const forward_control& forwarded)
{
    std::optional<instant> until;
    if (forwarded.query)
        until = now + std::chrono::milliseconds(forwarded.wait_ms);
    query_or_cancel(now, {0, from, forwarded.request, until}, forwarded.job, forwarded.query);
}

void entry_core::handle(instant now, const std::string& from, const shard_handover& transfer)
{
    for (const auto& record : transfer.records)
    {
        if (record.finished)
        {
            registry_.add_remote(now, record.id, record.digest, from);
            registry_.finish(now, record.reply);
        }
        else
            registry_.add_remote(now, record.id, record.digest, from);
    }
    for (std::size_t i = 0;
         i < transfer.shards.size() && i < transfer.records_complete_since_ms.size(); ++i)
    {
        if (const auto shard = transfer.shards[i]; shard < shard_count)
            transferred_complete_since_.at(shard) =
                unix_milliseconds(transfer.records_complete_since_ms[i]);
    }
    ownership_.activate(transfer.shards);
    retry_deferred_submissions(now);
}

void entry_core::on_store_table(instant now, const shard_table& table, std::int64_t revision)
{
    ownership_.on_store_table(now, table, revision);
    process_ownership_output(now);
}

void entry_core::on_store_entry(const std::string& name, std::optional<std::uint64_t> incarnation)
{
    ownership_.on_store_entry(name, incarnation);
}

void entry_core::on_store_read(instant now)
{
    ownership_.on_store_read(now);
}

void entry_core::on_swap_done(instant now, bool swapped, const table_swap& request,
                              std::int64_t revision)
{
    ownership_.on_swap_done(now, swapped, request, revision);
    process_ownership_output(now);
}

void entry_core::on_swap_in_doubt(instant now)
{
    ownership_.on_swap_in_doubt();
    process_ownership_output(now);
}

/// Carries out what the ownership has decided: messages, table swaps, transfers and recoveries.
void entry_core::process_ownership_output(instant now)
{
    for (auto& item : ownership_.take_messages())
        send(item.to, std::move(item.body));
    if (auto swap = ownership_.take_swap())
        effects_.emplace_back(std::move(*swap));
    hand_over(ownership_.take_transferred_shards());
    for (const auto shard : ownership_.take_lost_shards())
        dispatcher_->on_shard_lost(now, shard);
    start_recoveries(now);
    advance_recoveries(now);
    process_dispatcher_output(now);
}

void entry_core::hand_over(const std::vector<transferred_shards>& moved)
{
    for (const auto& [to, shards] : moved)
    {
        shard_handover transfer{
            ownership_.table().version, shards, {}, registry_.records_of(shards)};
        for (const auto shard : shards)
            transfer.records_complete_since_ms.push_back(records_complete_since(shard).count());
        for (const auto& record : transfer.records)
        {
            if (dispatcher_->in_progress(record.id))
                handed_over_jobs_[record.id] = to;
        }
        send(to, std::move(transfer));
    }
}

void entry_core::start_recoveries(instant now)
{
    std::vector<shard_epoch> shards;
    for (const auto shard : ownership_.shards_to_recover(now))
    {
        const auto epoch = ownership_.epoch(shard);
        const bool already_started =
            std::any_of(recoveries_.begin(), recoveries_.end(),
                        [&](const recovery& round) { return round.epoch_of(shard) == epoch; });
        if (!already_started)
            shards.push_back({shard, epoch});
    }
    if (shards.empty())
        return;
    ++counters_.takeovers;
    recovery_options options;
    options.max_wait = options_.recovery_wait;
    options.majority = ownership_.majority();
    std::vector<std::string> other_entries;
    std::copy_if(options_.entries.begin(), options_.entries.end(),
                 std::back_inserter(other_entries),
                 [&](const auto& name) { return name != options_.self.name; });
    auto& round = recoveries_.emplace_back(options, now, next_request_++,
                                           ownership_.table().version, std::move(shards));
    const bool fencing = options_.ownership.mechanisms.fence;
    round.begin(now, other_entries,
                fencing ? directory_.known_incarnations() : std::vector<process_identity>(),
                now - started_);
}

void entry_core::advance_recoveries(instant now)
{
    bool activated = false;
    for (auto& round : recoveries_)
    {
        round.on_tick(now);
        for (auto& [worker, record] : round.take_records())
            registry_.add_recovered(now, worker, record);
        const bool fencing = options_.ownership.mechanisms.fence;
        for (auto& item : round.take_messages())
        {
            const bool is_fence = std::holds_alternative<fence_shards>(item.body);
            if (fencing || !is_fence)
                send(item.to, std::move(item.body));
        }
        if (!(round.ready(now) || (!fencing && round.worker_list_age().count() > 0)) ||
            !ownership_.older_leases_expired(now, round.table_version()))
            continue;
        if (!round.activated())
            round.set_activated(now);
        std::vector<std::uint32_t> shards;
        for (const auto& [shard, epoch] : round.shards())
        {
            const bool still_preparing = ownership_.state(shard) == shard_state::preparing &&
                                         ownership_.epoch(shard) == epoch;
            if (still_preparing)
                shards.push_back(shard);
        }
        ownership_.activate(shards);
        activated = activated || !shards.empty();
    }
    // A recovery is kept for the record window: until then callers may submit or query jobs that
    // are older than it, and records_complete_since depends on it.
    recoveries_.remove_if([&](const recovery& round)
                          { return now - round.started() > options_.record_window; });
    if (activated)
        retry_deferred_submissions(now);
}

bool entry_core::on_config(instant now, std::uint64_t version, const std::string& document)
{
    if (version <= config_version_)
        return false;
    diagnostics faults;
    auto parsed = declarations::parse(document, "declarations", faults);
    if (!parsed)
        return false;
    config_ = std::make_shared<const declarations>(std::move(parsed).value());
    config_version_ = version;
    config_document_ = document;
    ownership_.set_config_version(version);
    dispatcher_->set_declarations(now, version, config_);
    for (const auto& worker : directory_.workers())
    {
        if (worker.connected)
            send_entry_status(worker.id.name);
    }
    dispatcher_->place_waiting_tasks(now);
    process_dispatcher_output(now);
    return true;
}

void entry_core::on_tick(instant now)
{
    now_ = now;
    ownership_.on_tick(now);
    process_ownership_output(now);
    directory_.on_tick(now);
    dispatcher_->on_tick(now);
    retry_forwards(now);
    retry_deferred_submissions(now);
    expire_waiters(now);
    registry_.expire(now);
    dispatcher_->place_waiting_tasks(now);
    process_dispatcher_output(now);
}

void entry_core::drain(instant now)
{
    draining_ = true;
    ownership_.leave(now);
    process_ownership_output(now);
}

bool entry_core::ready(instant now) const
{
    const bool has_table = !ownership_.table().owners.empty();
    return !draining_ && config_ && has_table && ownership_.holds_lease(now);
}

} // namespace tarragonlock
