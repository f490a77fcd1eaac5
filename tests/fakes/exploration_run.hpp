#pragma once

#include "fakes/exploration.hpp"

#include <algorithm>

namespace tarragonlock::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint32_t entry_count = 3;
inline constexpr std::uint32_t agent_count = 3;
inline constexpr int step_count = 60;
inline constexpr auto settle_time = seconds(90);
inline constexpr auto declarations_text = "services: [{name: clearing}]\n# revision ";

/// One random schedule: the fleet, the state of the callers, and a random source separate from the
/// fleet's.
class exploration_run
{
public:
    exploration_run(std::uint64_t seed, const mechanisms& enabled)
        : random_(seed * 7919 + 1), fleet_(seed, entry_count, agent_count, enabled)
    {
        fleet_.apply(declarations_text);
        // Lets start_worker_in_partition() start a worker to which no entry has connected before.
        if (chance(70))
        {
            late_worker_ = "worker-2";
            fleet_.crash(*late_worker_);
        }
        fleet_.run_for(seconds(3));
    }

    exploration_result run()
    {
        for (int step = 0; step < step_count; ++step)
        {
            take_random_step();
            fleet_.run_for(milliseconds(random_between(20, 600)));
        }
        recover();
        for (const auto& [caller, entry_died] : callers_)
        {
            if (fleet_.reply_to(caller) == nullptr && !entry_died)
                result_.violations.push_back("no answer to caller " + std::to_string(caller));
        }
        trace_history();
        auto found = check_history(fleet_.events());
        result_.violations.insert(result_.violations.end(), found.begin(), found.end());
        return std::move(result_);
    }

private:
    using step_function = void (exploration_run::*)();
    struct weighted_step
    {
        std::uint32_t weight;
        step_function action;
    };

    std::uint32_t random_between(std::uint32_t min, std::uint32_t max)
    {
        return std::uniform_int_distribution<std::uint32_t>(min, max)(random_);
    }
    bool chance(std::uint32_t percent) { return random_between(1, 100) <= percent; }
    std::string random_process(bool entry)
    {
        const auto names = fleet_.process_names(entry);
        return names[random_between(0, static_cast<std::uint32_t>(names.size()) - 1)];
    }
    std::string random_process() { return random_process(chance(60)); }
    void add_trace(const std::string& text) { add_trace_at(fleet_.now(), text); }
    void add_trace_at(instant when, const std::string& text)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(when.time_since_epoch());
        result_.trace.push_back(std::to_string(at.count()) + " " + text);
    }
    /// Adds starts and answers from the history; sorting by the first column puts the trace in
    /// order of time.
    void trace_history()
    {
        for (const auto& event : fleet_.events())
        {
            if (const auto* start = std::get_if<started>(&event))
                add_trace_at(start->at, "started " + start->attempt.job + "/" +
                                            std::to_string(start->attempt.index) + " attempt " +
                                            std::to_string(start->attempt.attempt) + " on " +
                                            start->worker);
            else if (const auto* reply = std::get_if<answered>(&event))
                add_trace_at(reply->at, "answered " + reply->reply.id + " " +
                                            std::string(to_string(reply->reply.outcome)) + " " +
                                            std::string(to_string(reply->reply.reason)));
        }
    }
    void add_fault(const std::string& text)
    {
        ++result_.faults;
        add_trace(text);
    }

    void take_random_step()
    {
        static constexpr weighted_step table[] = {
            {40, &exploration_run::submit},
            {14, &exploration_run::resubmit},
            {6, static_cast<step_function>(&exploration_run::crash)},
            {8, &exploration_run::restart},
            {5, &exploration_run::pause},
            {8, &exploration_run::resume},
            {8, &exploration_run::cut},
            {3, &exploration_run::isolate},
            {4, &exploration_run::heal},
            {3, &exploration_run::store_fault},
            {4, &exploration_run::cut_store},
            {3, &exploration_run::hold},
            {2, &exploration_run::fail},
            {2, &exploration_run::reconfigure},
            {3, &exploration_run::cancel},
            {2, &exploration_run::drain_agent},
            {3, &exploration_run::crash_while_held},
            {2, &exploration_run::isolate_owner},
            {2, &exploration_run::start_worker_in_partition},
            {1, &exploration_run::delay_starts_past_deadline}};
        std::uint32_t total = 0;
        for (const auto& item : table)
            total += item.weight;
        auto remaining = random_between(1, total);
        for (const auto& item : table)
        {
            if (remaining <= item.weight)
                return (this->*item.action)();
            remaining -= item.weight;
        }
    }

    void send(const submission& job) { send_to(random_process(true), job); }
    void send_to(const std::string& entry, const submission& job)
    {
        if (!fleet_.is_up(entry))
            return;
        ++result_.submissions;
        add_trace("submit " + job.id + " to " + entry);
        callers_[fleet_.submit(entry, job)] = false;
        sent_to_[entry].push_back(callers_.rbegin()->first);
    }

    /// The callers' clocks deviate by almost the allowed maximum.
    std::string time_based_id()
    {
        const auto skew = milliseconds(random_between(0, 9800)) - milliseconds(4900);
        return fleet_.time_based_id(skew);
    }

    /// @param id  empty for a random id
    submission new_job(std::string id = "")
    {
        submission job;
        job.id = chance(60) ? time_based_id() : "job-" + std::to_string(jobs_.size());
        if (const auto entry = random_process(true); chance(15) && fleet_.is_up(entry))
            job.id = fleet_.generate_job_id(entry);
        if (!id.empty())
            job.id = std::move(id);
        job.service = "clearing";
        job.team = "default";
        job.deadline_ms = random_between(2000, 30'000);
        job.idempotent = chance(20);
        for (std::uint32_t i = 0, count = random_between(1, 4); i < count; ++i)
            job.tasks.push_back({job.id + "/" + std::to_string(i), 0});
        jobs_.push_back(job);
        return job;
    }

    void submit()
    {
        const auto job = new_job();
        send(job);
        if (chance(20))
            send(job);
    }

    void resubmit()
    {
        if (!jobs_.empty())
            send(jobs_[random_between(0, static_cast<std::uint32_t>(jobs_.size()) - 1)]);
    }

    void cancel()
    {
        if (const auto entry = random_process(true); !jobs_.empty() && fleet_.is_up(entry))
            fleet_.cancel(
                entry, jobs_[random_between(0, static_cast<std::uint32_t>(jobs_.size()) - 1)].id);
    }

    void crash() { crash(random_process()); }
    void crash(const std::string& name)
    {
        if (!fleet_.is_up(name))
            return;
        add_fault("crash " + name);
        fleet_.crash(name);
        // Callers of a crashed entry get no answer; they may resubmit.
        for (const auto caller : sent_to_[name])
            callers_[caller] = true;
    }

    void restart()
    {
        for (const auto entry : {true, false})
        {
            for (const auto& name : fleet_.process_names(entry))
            {
                if (fleet_.is_up(name) || name == late_worker_)
                    continue;
                add_trace("restart " + name);
                return fleet_.restart(name);
            }
        }
    }

    void pause()
    {
        const auto name = random_process();
        add_fault("pause " + name);
        if (fleet_.is_up(name))
            fleet_.pause(name);
    }

    void resume()
    {
        const auto name = random_process();
        add_trace("resume " + name);
        if (fleet_.is_up(name))
            fleet_.resume(name);
    }

    void cut()
    {
        const auto from = random_process();
        const auto to = random_process();
        add_fault("cut " + from + " " + to);
        if (chance(50))
            fleet_.cut(from, to);
        else
            fleet_.cut_both(from, to);
    }

    /// Disconnects an entry from the key-value service and most of the other entries, and an agent
    /// from all other entries.
    void isolate()
    {
        const auto name = random_process(true);
        const auto agent = random_process(false);
        add_fault("isolate " + name + " with " + agent);
        fleet_.cut_store(name);
        for (const auto& other : fleet_.process_names(true))
        {
            if (other == name)
                continue;
            if (chance(80))
                fleet_.cut_both(name, other);
            fleet_.cut_both(other, agent);
        }
    }

    void heal()
    {
        add_trace("heal");
        fleet_.heal();
    }

    void store_fault()
    {
        static constexpr store_mode modes[] = {store_mode::down, store_mode::lose_replies,
                                               store_mode::slow, store_mode::ok};
        const auto mode = random_between(0, 3);
        add_fault("store mode " + std::to_string(mode));
        fleet_.set_store(modes[mode]);
    }

    void cut_store()
    {
        const auto name = random_process(true);
        add_fault("cut store from " + name);
        fleet_.cut_store(name);
    }

    void hold()
    {
        const auto from = random_process(true);
        const auto to = random_process(false);
        add_fault("hold " + from + " " + to);
        fleet_.hold(from, to);
    }

    // Sequences of related faults, see exploration_schedules.cpp.
    void crash_while_held();
    void isolate_owner();
    void start_worker_in_partition();
    void delay_starts_past_deadline();
    void heal_and_settle();
    std::string owned_id(const std::string& owner);

    void fail()
    {
        const auto name = random_process(false);
        const auto mode = chance(50) ? backend_mode::fail : backend_mode::ok;
        add_fault("backend of " + name + (mode == backend_mode::ok ? " works" : " fails"));
        fleet_.set_backend(name, mode);
    }

    void reconfigure()
    {
        add_trace("apply");
        fleet_.apply(declarations_text + std::to_string(random_between(0, 1'000'000)));
    }

    void drain_agent()
    {
        const auto name = random_process(false);
        if (!fleet_.is_up(name))
            return;
        add_trace("drain " + name);
        fleet_.drain(name);
    }

    void recover()
    {
        add_trace("recover");
        fleet_.heal();
        resume_and_restart(std::nullopt);
        fleet_.run_for(settle_time);
    }

    /// Resumes all paused processes and restarts all that are down.
    /// @param except  a process that stays down
    void resume_and_restart(const std::optional<std::string>& except)
    {
        for (const auto entry : {true, false})
        {
            for (const auto& name : fleet_.process_names(entry))
            {
                if (fleet_.is_up(name))
                    fleet_.resume(name);
                else if (name != except)
                    fleet_.restart(name);
            }
        }
    }

    std::mt19937_64 random_;
    virtual_fleet fleet_;
    exploration_result result_;
    std::vector<submission> jobs_;
    /// A worker that has not started yet.
    std::optional<std::string> late_worker_;
    /// Callers, and whether their entry crashed.
    std::map<std::uint64_t, bool> callers_;
    std::map<std::string, std::vector<std::uint64_t>> sent_to_;
};

} // namespace tarragonlock::test
