#include "fakes/virtual_fleet.hpp"

#include <algorithm>
#include <cstdio>

namespace tarragonlock::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_interval = milliseconds(50);
/// Shorter than a lease, so that a long recovery doesn't hide a missing safety mechanism.
constexpr auto recovery_wait = milliseconds(500);
/// Call id of all cancellations; replies to it are not recorded.
constexpr call_id cancel_call = 0;
constexpr auto initial_time = seconds(1000);
constexpr unix_milliseconds wall_offset{1'700'000'000'000};

} // namespace

virtual_fleet::virtual_fleet(std::uint64_t seed, std::uint32_t entries, std::uint32_t agents,
                             const mechanisms& enabled)
    : enabled_(enabled), random_(seed), id_random_(seed), now_(initial_time)
{
    for (std::uint32_t i = 0; i < entries; ++i)
        processes_["entry-" + std::to_string(i)].is_entry = true;
    for (std::uint32_t i = 0; i < agents; ++i)
        processes_["worker-" + std::to_string(i)];
    for (const auto& [name, state] : processes_)
        start(name);
    update_store();
}

void virtual_fleet::schedule(instant due, action run)
{
    queue_.push({due, ++order_, std::move(run)});
}

void virtual_fleet::run_for(duration time)
{
    const auto until = now_ + time;
    while (!queue_.empty() && queue_.top().due <= until)
    {
        auto next = queue_.top();
        queue_.pop();
        now_ = std::max(now_, next.due);
        next.run();
    }
    now_ = until;
}

duration virtual_fleet::random_delay(std::int64_t min_us, std::int64_t max_us)
{
    return duration(std::uniform_int_distribution<std::int64_t>(min_us, max_us)(random_));
}

void virtual_fleet::run_in_process(const std::string& name, std::uint64_t incarnation, action run)
{
    auto& state = processes_.at(name);
    if (!state.up || state.incarnation != incarnation)
        return;
    if (state.paused)
        return state.deferred_actions.push_back(std::move(run));
    run();
    apply_effects(name);
}

void virtual_fleet::start(const std::string& name)
{
    auto& state = processes_.at(name);
    state.up = true;
    state.paused = false;
    state.deferred_actions.clear();
    state.incarnation = ++next_number_;
    state.has_store_state = false;
    if (state.is_entry)
    {
        entry_options options;
        options.self = {name, state.incarnation};
        options.entries = process_names(true);
        options.wall_offset = wall_offset;
        options.recovery_wait = recovery_wait;
        options.ownership.mechanisms = enabled_.ownership;
        options.dispatch.restart_uncertain = enabled_.restart_uncertain;
        state.entry = entry_core::create(options, now_).value();
    }
    else
    {
        agent_options options;
        options.name = name;
        options.incarnation = state.incarnation;
        options.mechanisms = enabled_.agent;
        options.announcement_lifetime = std::chrono::hours(1000);
        options.entry_count = static_cast<std::uint32_t>(process_names(true).size());
        state.agent = std::make_unique<agent_core>(options);
        state.agent->on_backend_announced(now_, {"clearing", {}, name, 4});
    }
    tick(name, state.incarnation);
}

void virtual_fleet::tick(const std::string& name, std::uint64_t incarnation)
{
    auto& state = processes_.at(name);
    if (!state.up || state.incarnation != incarnation)
        return;
    if (!state.paused)
    {
        if (state.is_entry)
            state.entry->on_tick(now_);
        else
            state.agent->on_tick(now_);
        apply_effects(name);
    }
    schedule(now_ + tick_interval, [=, this] { tick(name, incarnation); });
}

void virtual_fleet::apply_effects(const std::string& name)
{
    auto& state = processes_.at(name);
    if (!state.is_entry)
    {
        for (auto& effect : state.agent->take_effects())
        {
            if (const auto* outgoing = std::get_if<outgoing_message>(&effect))
                deliver(name, outgoing->to, outgoing->body);
            else
                run_backend(name, std::get<run_task>(effect));
        }
        return;
    }
    for (auto& effect : state.entry->take_effects())
    {
        if (const auto* outgoing = std::get_if<outgoing_message>(&effect))
            deliver(name, outgoing->to, outgoing->body);
        else if (auto* request = std::get_if<table_swap>(&effect))
            compare_and_swap(name, *request);
        else if (auto* reply = std::get_if<reply_to_caller>(&effect);
                 reply->reply && reply->call != cancel_call)
        {
            history_.push_back(answered{reply->call, *reply->reply, now_});
            replies_[reply->call] = *reply->reply;
        }
    }
}

void virtual_fleet::run_backend(const std::string& name, const run_task& task)
{
    auto& state = processes_.at(name);
    history_.push_back(started{task.attempt, name, state.agent->config_version(), now_});
    ++starts_[task.attempt.job];
    if (state.backend == backend_mode::hang)
        return;
    const bool fails = state.backend == backend_mode::fail;
    const auto run =
        fails ? duration(1000)
              : duration(static_cast<std::int64_t>(
                    static_cast<double>(random_delay(20'000, 600'000).count()) * state.slowness));
    const task_outcome outcome{task.attempt.job,
                               task.attempt.index,
                               task.attempt.attempt,
                               fails ? task_status::failed : task_status::succeeded,
                               0,
                               fails ? "" : expected_result(task.body)};
    schedule(now_ + run,
             [=, this, incarnation = state.incarnation] {
                 run_in_process(name, incarnation,
                                [=, this] { agent(name).on_task_finished(now_, outcome); });
             });
}

void virtual_fleet::crash(const std::string& process)
{
    auto& state = processes_.at(process);
    state.up = false;
    state.entry.reset();
    state.agent.reset();
}

void virtual_fleet::restart(const std::string& process)
{
    if (!is_up(process))
        start(process);
}

void virtual_fleet::pause(const std::string& process)
{
    processes_.at(process).paused = true;
}

void virtual_fleet::resume(const std::string& process)
{
    auto& state = processes_.at(process);
    state.paused = false;
    for (auto& run : std::exchange(state.deferred_actions, {}))
        run_in_process(process, state.incarnation, std::move(run));
}

void virtual_fleet::drain(const std::string& process)
{
    run_in_process(process, processes_.at(process).incarnation,
                   [=, this]
                   {
                       if (processes_.at(process).is_entry)
                           entry(process).drain(now_);
                       else
                           agent(process).drain(now_);
                   });
}

void virtual_fleet::set_backend(const std::string& agent, backend_mode mode)
{
    processes_.at(agent).backend = mode;
}

void virtual_fleet::set_slowness(const std::string& agent, double factor)
{
    processes_.at(agent).slowness = factor;
}

std::vector<std::string> virtual_fleet::process_names(bool entries) const
{
    std::vector<std::string> found;
    for (const auto& [name, state] : processes_)
    {
        if (state.is_entry == entries)
            found.push_back(name);
    }
    return found;
}

std::uint64_t virtual_fleet::submit(const std::string& entry, submission job)
{
    const auto caller = ++last_caller_;
    history_.push_back(submitted{caller, job});
    run_in_process(entry, processes_.at(entry).incarnation,
                   [=, this]() mutable
                   {
                       history_.push_back(received{job.id, milliseconds(job.deadline_ms), now_});
                       this->entry(entry).on_submit(now_, caller, std::move(job));
                   });
    return caller;
}

void virtual_fleet::cancel(const std::string& entry, const std::string& id)
{
    run_in_process(entry, processes_.at(entry).incarnation,
                   [=, this] { this->entry(entry).on_cancel(now_, cancel_call, id); });
}

std::string virtual_fleet::generate_job_id(const std::string& entry)
{
    return this->entry(entry).generate_job_id();
}

const answer* virtual_fleet::reply_to(std::uint64_t caller) const
{
    const auto found = replies_.find(caller);
    return found == replies_.end() ? nullptr : &found->second;
}

std::uint32_t virtual_fleet::start_count(const std::string& job) const
{
    const auto found = starts_.find(job);
    return found == starts_.end() ? 0 : found->second;
}

std::string virtual_fleet::time_based_id(duration skew)
{
    const auto wall =
        std::chrono::duration_cast<unix_milliseconds>(now_.time_since_epoch() + skew) + wall_offset;
    char text[37];
    const auto time = static_cast<std::uint64_t>(wall.count());
    // The evaluation order of function arguments is unspecified. Drawing into variables first gives
    // the same ids on every architecture.
    const auto node = id_random_() & 0xffffffffffffULL;
    const auto variant = id_random_() & 0xfffU;
    const auto sequence = id_random_() & 0xfffU;
    std::snprintf(text, sizeof(text), "%08x-%04x-7%03x-8%03x-%012llx",
                  static_cast<unsigned>(time >> 16U), static_cast<unsigned>(time & 0xffffU),
                  static_cast<unsigned>(sequence), static_cast<unsigned>(variant),
                  static_cast<unsigned long long>(node));
    return text;
}

} // namespace tarragonlock::test
