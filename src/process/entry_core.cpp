// Requests of callers: submissions, queries and cancellations.

#include "tarragonlock/process/entry_core.hpp"

#include "tarragonlock/request/job_id.hpp"

#include <algorithm>

namespace tarragonlock
{

void entry_core::on_submit(instant now, call_id call, submission job, duration wait)
{
    now_ = now;
    ++counters_.submissions;
    if (job.deadline_ms == 0)
    {
        const auto* service = config_ ? config_->find_service(job.service) : nullptr;
        job.deadline_ms = (service ? *service : service_declaration{}).default_deadline_ms;
    }
    submit(now, {call, "", 0, now + wait}, std::move(job));
    dispatcher_->place_waiting_tasks(now);
    process_dispatcher_output(now);
}

std::string entry_core::generate_job_id()
{
    return to_string(generated_job_id{options_.self, ++generated_ids_});
}

void entry_core::on_query(instant now, call_id call, const std::string& id, duration wait)
{
    now_ = now;
    query_or_cancel(now, {call, "", 0, now + wait}, id, true);
    process_dispatcher_output(now);
}

void entry_core::on_cancel(instant now, call_id call, const std::string& id)
{
    now_ = now;
    query_or_cancel(now, {call, "", 0, std::nullopt}, id, false);
    process_dispatcher_output(now);
}

void entry_core::on_caller_disconnected(call_id call)
{
    for (auto& [id, waiters] : waiters_)
        std::erase_if(waiters, [&](const waiter& w) { return w.entry.empty() && w.call == call; });
    std::erase_if(pending_forwards_, [&](const auto& item)
                  { return item.second.from.entry.empty() && item.second.from.call == call; });
}

/// @return the entry that generated the id and permanently owns it, or an empty string when the id
///         was chosen by the caller.
std::string entry_core::generating_entry(const std::string& id) const
{
    const auto generated = parse_generated_job_id(id);
    return generated ? generated->entry.name : std::string();
}

void entry_core::submit(instant now, waiter from, submission job)
{
    // A job that runs here is answered here, even if its shard has moved to another owner.
    if (dispatcher_->in_progress(job.id) || handed_over_jobs_.contains(job.id))
    {
        if (answer_from_registry(now, from, job, {}))
            return;
    }
    if (const auto generated = parse_generated_job_id(job.id))
    {
        if (generated->entry == options_.self)
        {
            if (generated->counter > generated_ids_)
                return deliver(from, job.id, outcome::refused, reason::unknown_id);
            return submit_owned(now, std::move(from), std::move(job),
                                {no_shard, options_.self.incarnation});
        }
        if (generated->entry.name == options_.self.name || !from.entry.empty())
            return deliver(from, job.id, outcome::unknown, reason::records_lost);
        return forward_submission(now, std::move(from), generated->entry.name, std::move(job));
    }
    const auto shard = shard_of(job.id);
    const auto owner = ownership_.owner(shard);
    if (ownership_.state(shard) == shard_state::active)
        return submit_owned(now, std::move(from), std::move(job), {shard, ownership_.epoch(shard)});
    const bool assigned_here = ownership_.state(shard) != shard_state::not_owned;
    if (assigned_here || owner.empty() || owner == options_.self.name)
    {
        const auto deadline = now + std::chrono::milliseconds(job.deadline_ms);
        deferred_submissions_.push_back({std::move(from), std::move(job), deadline});
        return;
    }
    if (!from.entry.empty())
        return; // The sender has an older table; it retries after it receives the current one.
    forward_submission(now, std::move(from), owner, std::move(job));
}

void entry_core::submit_owned(instant now, waiter from, submission job, fencing_token token)
{
    if (answer_from_registry(now, from, job, token))
        return;
    if (token.shard != no_shard)
    {
        if (!ownership_.holds_lease(now))
            return deliver(from, job.id, outcome::unknown, reason::owner_unreachable,
                           not_ready_retry_after);
        if (const auto created = uuid7_time(job.id))
        {
            const auto age = wall_time(now) - *created;
            if (age < -options_.max_clock_skew)
                return deliver(from, job.id, outcome::refused, reason::invalid_request);
            if (age > options_.record_window - options_.max_clock_skew)
                return deliver(from, job.id, outcome::unknown, reason::id_expired);
        }
        if (records_may_be_missing(now, token.shard, job.id))
            return deliver(from, job.id, outcome::unknown, reason::records_lost);
    }
    if (auto refusal = dispatcher_->check_admission(job))
        return deliver(from, *refusal);
    const auto id = job.id;
    registry_.start(now, id, digest_of(job));
    waiters_[id].push_back(std::move(from));
    dispatcher_->admit(now, std::move(job), token);
}

/// Answers a submission whose id is in the registry, or adds the sender to the job's waiters.
/// @return whether the id was in the registry
bool entry_core::answer_from_registry(instant now, const waiter& from, const submission& job,
                                      fencing_token token)
{
    const auto* known = registry_.find(job.id);
    if (known == nullptr)
        return false;
    ++counters_.joined;
    if (known->digest != digest_of(job))
    {
        deliver(from, job.id, outcome::refused, reason::id_conflict);
        return true;
    }
    switch (known->current_state)
    {
    case registered_job::state::running:
        waiters_[job.id].push_back(from);
        return true;
    case registered_job::state::finished:
        if (known->results_dropped)
            deliver(from, job.id, outcome::unknown, reason::records_lost);
        else
            deliver(from, known->reply);
        return true;
    case registered_job::state::remote:
        if (ownership_.has_recent_heartbeat(now, known->running_entry))
            forward_submission(now, from, known->running_entry, job);
        else
            deliver(from, job.id, outcome::unknown, reason::records_lost);
        return true;
    case registered_job::state::recovered:
        resume_recovered_job(now, from, job, *known, token);
        return true;
    }
    return false;
}

/// Resumes a job of which the agents have start records: tasks that ran do not run again, the
/// others are started.
void entry_core::resume_recovered_job(instant now, const waiter& from, const submission& job,
                                      const registered_job& known, fencing_token token)
{
    // A not_started outcome of one attempt does not rule out that a later attempt was started,
    // whose record may be lost.
    const auto started = std::count_if(known.outcomes.begin(), known.outcomes.end(),
                                       [](const auto& item)
                                       { return item.second.status != task_status::not_started; });
    const bool all_recorded = static_cast<std::size_t>(started) == job.tasks.size();
    if (!all_recorded && records_may_be_missing(now, token.shard, job.id))
        return deliver(from, job.id, outcome::unknown, reason::records_lost);
    const auto outcomes = known.outcomes;
    registry_.start(now, job.id, digest_of(job));
    waiters_[job.id].push_back(from);
    dispatcher_->admit(now, job, token, outcomes);
}

/// @return the wall-clock time from which a missing record proves that a job was not started;
///         a job from before it may have been started by an earlier owner. 0 when there
///         is no such job.
unix_milliseconds entry_core::records_complete_since(std::uint32_t shard) const
{
    auto since = transferred_complete_since_.at(shard);
    const unix_milliseconds created(ownership_.table().created_ms);
    for (const auto& round : recoveries_)
    {
        const auto epoch = round.epoch_of(shard);
        // A shard in its first epoch has no earlier owner.
        if (!epoch || *epoch <= 1)
            continue;
        // An earlier owner may have been allowed to start tasks until the activation.
        const auto taken_over = wall_time(round.activated().value_or(now_));
        const auto known_for =
            std::chrono::duration_cast<unix_milliseconds>(round.worker_list_age());
        const auto known_since = wall_time(round.started()) - known_for;
        if (!round.complete())
            since = std::max(since, taken_over);
        else if (known_since > created + options_.max_clock_skew &&
                 round.worker_list_age() < options_.record_window)
            since = std::max(since, known_since);
    }
    return since;
}

/// @return whether an earlier owner may have started a job of which no record was recovered.
bool entry_core::records_may_be_missing(instant now, std::uint32_t shard,
                                        const std::string& id) const
{
    if (!options_.ownership.mechanisms.fence)
        return false;
    const auto since = records_complete_since(shard);
    if (since.count() == 0)
        return false;
    if (const auto created = uuid7_time(id))
        return *created <= since + options_.max_clock_skew;
    return wall_time(now) - since < options_.record_window;
}

void entry_core::forward_submission(instant now, waiter from, const std::string& target,
                                    submission job)
{
    const auto request = next_request_++;
    const auto deadline = now + std::chrono::milliseconds(job.deadline_ms) + forward_grace;
    send(target, forward_submit{request, job});
    ++counters_.forwarded;
    auto id = job.id;
    pending_forwards_[request] = {std::move(from), target, std::move(job), std::move(id),
                                  false,           now,    deadline};
}

/// Handles a query or a cancellation of a job.
/// @param query  true for a query, false for a cancellation
void entry_core::query_or_cancel(instant now, waiter from, const std::string& id, bool query)
{
    const auto* known = registry_.find(id);
    if (known != nullptr && known->current_state == registered_job::state::running)
    {
        waiters_[id].push_back(std::move(from));
        if (!query)
            dispatcher_->cancel(now, id);
        return;
    }
    if (known != nullptr && known->current_state == registered_job::state::finished)
        return known->results_dropped ? deliver(from, id, outcome::unknown, reason::records_lost)
                                      : deliver(from, known->reply);
    auto target = generating_entry(id);
    if (target.empty())
        target = known != nullptr && known->current_state == registered_job::state::remote
                     ? known->running_entry
                     : ownership_.owner(shard_of(id));
    if (target.empty() || target == options_.self.name || !from.entry.empty())
    {
        const bool never_submitted = known == nullptr && generating_entry(id).empty() &&
                                     ownership_.state(shard_of(id)) == shard_state::active &&
                                     ownership_.holds_lease(now) &&
                                     !records_may_be_missing(now, shard_of(id), id);
        return deliver(from, id, never_submitted ? outcome::refused : outcome::unknown,
                       never_submitted ? reason::unknown_id : reason::records_lost);
    }
    const auto request = next_request_++;
    const auto wait = from.until ? *from.until - now : duration(0);
    // The owner applies the wait and reports when the job is still in progress at its end.
    from.until.reset();
    send(target,
         forward_control{request, id, query, static_cast<std::uint32_t>(wait.count() / 1000)});
    pending_forwards_[request] = {std::move(from),           target, std::nullopt, id, query, now,
                                  now + wait + forward_grace};
}

} // namespace tarragonlock
