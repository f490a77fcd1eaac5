// Answers of an entry: replies, waiting callers, forwarded requests and deferred submissions.

#include "tarragonlock/process/entry_core.hpp"

#include <algorithm>

namespace tarragonlock
{

void entry_core::deliver(const waiter& to, const answer& reply)
{
    if (!to.entry.empty())
        return send(to.entry, forward_answer{to.request, false, reply});
    ++counters_.answers[reply.outcome];
    effects_.emplace_back(reply_to_caller{to.call, reply});
}

void entry_core::deliver(const waiter& to, const std::string& id, outcome answer_outcome,
                         reason answer_reason, duration retry_after)
{
    deliver(to, {id,
                 answer_outcome,
                 answer_reason,
                 {},
                 static_cast<std::uint32_t>(retry_after.count() / 1000)});
}

/// Delivers the dispatcher's answers to the waiting callers and entries, and sends its messages.
void entry_core::process_dispatcher_output(instant now)
{
    for (auto& reply : dispatcher_->take_answers())
    {
        const auto waiting = waiters_.extract(reply.id);
        // A refused job was not run, so its id may be submitted again.
        if (reply.outcome == outcome::refused)
            registry_.remove(reply.id);
        else
            registry_.finish(now, reply);
        if (!waiting.empty())
        {
            for (const auto& to : waiting.mapped())
                deliver(to, reply);
        }
        if (const auto moved = handed_over_jobs_.find(reply.id); moved != handed_over_jobs_.end())
        {
            const auto* known = registry_.find(reply.id);
            send(moved->second,
                 shard_handover{ownership_.table().version,
                                {},
                                {},
                                {{reply.id, known ? known->digest : 0, true, reply}}});
            handed_over_jobs_.erase(moved);
        }
    }
    for (auto& item : dispatcher_->take_messages())
        send(item.to, std::move(item.body));
}

void entry_core::expire_waiters(instant now)
{
    for (auto& [id, waiters] : waiters_)
    {
        for (const auto& waiting : waiters)
        {
            if (!waiting.until || *waiting.until > now)
                continue;
            if (waiting.entry.empty())
                effects_.emplace_back(reply_to_caller{waiting.call, std::nullopt});
            else
                send(waiting.entry, forward_answer{waiting.request, true, {}});
        }
        std::erase_if(waiters, [&](const waiter& w) { return w.until && *w.until <= now; });
    }
}

/// Answers forwarded requests whose time is over, and forwards submissions again whose owner has
/// changed or whose message may be lost.
void entry_core::retry_forwards(instant now)
{
    std::vector<pending_forward> retries;
    for (auto item = pending_forwards_.begin(); item != pending_forwards_.end();)
    {
        auto& [request, pending] = *item;
        if (pending.deadline <= now)
        {
            deliver(pending.from, pending.id, outcome::unknown, reason::owner_unreachable,
                    not_ready_retry_after);
            item = pending_forwards_.erase(item);
            continue;
        }
        if (pending.from.entry.empty() && pending.from.until && *pending.from.until <= now)
        {
            effects_.emplace_back(reply_to_caller{pending.from.call, std::nullopt});
            item = pending_forwards_.erase(item);
            continue;
        }
        const auto owner = ownership_.owner(shard_of(pending.id));
        const bool owner_changed =
            generating_entry(pending.id).empty() && !owner.empty() && owner != pending.target;
        const bool should_retry = (owner_changed || pending.connection_lost) &&
                                  now - pending.sent >= options_.forward_retry_interval;
        if (!should_retry || !pending.job)
        {
            ++item;
            continue;
        }
        retries.push_back(std::move(pending));
        item = pending_forwards_.erase(item);
    }
    for (auto& pending : retries)
    {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            pending.deadline - forward_grace - now);
        if (remaining.count() <= 0)
        {
            deliver(pending.from, pending.id, outcome::unknown, reason::owner_unreachable);
            continue;
        }
        pending.job->deadline_ms = static_cast<std::uint32_t>(remaining.count());
        submit(now, std::move(pending.from), std::move(*pending.job));
    }
}

/// Submits deferred submissions again; those past their deadline are answered as not_ready.
void entry_core::retry_deferred_submissions(instant now)
{
    auto deferred = std::exchange(deferred_submissions_, {});
    for (auto& request : deferred)
    {
        if (request.deadline <= now)
        {
            deliver(request.from, request.job.id, outcome::unknown, reason::not_ready,
                    not_ready_retry_after);
            continue;
        }
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
        request.job.deadline_ms =
            static_cast<std::uint32_t>(std::max<std::int64_t>(1, remaining.count()));
        submit(now, std::move(request.from), std::move(request.job));
    }
}

bool entry_core::idle() const
{
    return dispatcher_->job_count() == 0 && waiters_.empty() && pending_forwards_.empty() &&
           deferred_submissions_.empty() && handed_over_jobs_.empty();
}

std::string entry_core::describe(const std::string& id) const
{
    if (auto progress = dispatcher_->describe(id); !progress.empty())
        return "in progress at " + options_.self.name + ": " + progress;
    if (const auto* known = registry_.find(id))
        return known->current_state == registered_job::state::finished
                   ? "finished: " + std::string(to_string(known->reply.outcome)) + " (" +
                         std::string(to_string(known->reply.reason)) + ")"
                   : "known from records";
    const auto issuer = generating_entry(id);
    return "not here; owner: " + (issuer.empty() ? ownership_.owner(shard_of(id)) : issuer);
}

std::vector<entry_effect> entry_core::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace tarragonlock
