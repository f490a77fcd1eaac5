#include "fakes/exploration.hpp"

#include <algorithm>

namespace tarragonlock::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t entry_count = 3;
constexpr std::uint32_t agent_count = 3;
constexpr int steps = 60;
constexpr auto settle_time = seconds(90);
constexpr auto declarations_text = "services: [{name: clearing}]\n# revision ";

struct mechanism_switch
{
    const char* name;
    void (*turn_off)(mechanisms&);
};

constexpr mechanism_switch switches[] = {
    {"lease", [](mechanisms& m) { m.ownership.lease = false; }},
    {"vote", [](mechanisms& m) { m.ownership.vote = false; }},
    {"record-query", [](mechanisms& m) { m.ownership.fence = false; }},
    {"epoch", [](mechanisms& m) { m.agent.refuse_fenced_epochs = false; }},
    {"grant-expiry", [](mechanisms& m) { m.agent.refuse_stale_grants = false; }},
    {"known-worker", [](mechanisms& m) { m.agent.require_majority = false; }},
    {"known-attempt", [](mechanisms& m) { m.agent.refuse_known_attempts = false; }},
    {"ask-before-restart", [](mechanisms& m) { m.restart_uncertain = true; }},
};

/// One run: a fleet, what callers know, and a random source of its own.
class run
{
public:
    run(std::uint64_t seed, const mechanisms& enabled)
        : random_(seed * 7919 + 1), fleet_(seed, entry_count, agent_count, enabled)
    {
        fleet_.apply(declarations_text);
        // A worker that nobody knows yet may come up in the middle of a cut.
        if (chance(70))
            fleet_.crash("worker-2");
        fleet_.run_for(seconds(3));
    }

    exploration_result go()
    {
        for (int step = 0; step < steps; ++step)
        {
            act();
            fleet_.run_for(milliseconds(pick(20, 600)));
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
    using step_function = void (run::*)();
    struct weighted_step
    {
        std::uint32_t weight;
        step_function act;
    };

    std::uint32_t pick(std::uint32_t least, std::uint32_t most)
    {
        return std::uniform_int_distribution<std::uint32_t>(least, most)(random_);
    }
    bool chance(std::uint32_t percent) { return pick(1, 100) <= percent; }
    std::string any(bool entry)
    {
        const auto names = fleet_.names(entry);
        return names[pick(0, static_cast<std::uint32_t>(names.size()) - 1)];
    }
    std::string any() { return any(chance(60)); }
    void note(const std::string& text) { note_at(fleet_.now(), text); }
    void note_at(instant when, const std::string& text)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(when.time_since_epoch());
        result_.trace.push_back(std::to_string(at.count()) + " " + text);
    }
    /// Adds what was seen from outside; sorted by its first column the trace is in order of time.
    void trace_history()
    {
        for (const auto& event : fleet_.events())
        {
            if (const auto* start = std::get_if<started>(&event))
                note_at(start->at, "started " + start->attempt.job + "/" +
                                       std::to_string(start->attempt.index) + " attempt " +
                                       std::to_string(start->attempt.attempt) + " on " +
                                       start->worker);
            else if (const auto* reply = std::get_if<answered>(&event))
                note_at(reply->at, "answered " + reply->reply.id + " " +
                                       std::string(to_string(reply->reply.outcome)) + " " +
                                       std::string(to_string(reply->reply.reason)));
        }
    }
    void fault(const std::string& text)
    {
        ++result_.faults;
        note(text);
    }

    void act()
    {
        static constexpr weighted_step table[] = {{40, &run::submit},
                                                  {14, &run::resubmit},
                                                  {6, static_cast<step_function>(&run::crash)},
                                                  {8, &run::restart},
                                                  {5, &run::pause},
                                                  {8, &run::resume},
                                                  {8, &run::cut},
                                                  {3, &run::isolate},
                                                  {4, &run::heal},
                                                  {3, &run::store_fault},
                                                  {4, &run::cut_store},
                                                  {3, &run::hold},
                                                  {2, &run::fail},
                                                  {2, &run::reconfigure},
                                                  {3, &run::cancel},
                                                  {2, &run::drain_agent},
                                                  {3, &run::crash_while_held}};
        std::uint32_t total = 0;
        for (const auto& item : table)
            total += item.weight;
        auto at = pick(1, total);
        for (const auto& item : table)
        {
            if (at <= item.weight)
                return (this->*item.act)();
            at -= item.weight;
        }
    }

    void send(const submission& job)
    {
        const auto entry = any(true);
        if (!fleet_.is_up(entry))
            return;
        ++result_.submissions;
        note("submit " + job.id + " to " + entry);
        callers_[fleet_.submit(entry, job)] = false;
        sent_to_[entry].push_back(callers_.rbegin()->first);
    }

    /// Callers' clocks are off by almost as much as is allowed.
    std::string timed_id()
    {
        const auto skew = milliseconds(pick(0, 9800)) - milliseconds(4900);
        return fleet_.timed_id(skew);
    }

    void submit()
    {
        submission job;
        job.id = chance(60) ? timed_id() : "job-" + std::to_string(jobs_.size());
        if (const auto entry = any(true); chance(15) && fleet_.is_up(entry))
            job.id = fleet_.mint(entry);
        job.service = "clearing";
        job.team = "default";
        job.deadline_ms = pick(2000, 30'000);
        job.idempotent = chance(20);
        for (std::uint32_t i = 0, count = pick(1, 4); i < count; ++i)
            job.tasks.push_back({job.id + "/" + std::to_string(i), 0});
        jobs_.push_back(job);
        send(job);
        if (chance(20))
            send(job);
    }

    void resubmit()
    {
        if (!jobs_.empty())
            send(jobs_[pick(0, static_cast<std::uint32_t>(jobs_.size()) - 1)]);
    }

    void cancel()
    {
        if (const auto entry = any(true); !jobs_.empty() && fleet_.is_up(entry))
            fleet_.cancel(entry, jobs_[pick(0, static_cast<std::uint32_t>(jobs_.size()) - 1)].id);
    }

    void crash() { crash(any()); }
    void crash(const std::string& name)
    {
        if (!fleet_.is_up(name))
            return;
        fault("crash " + name);
        fleet_.crash(name);
        // Callers of a dead entry get no answer; they may resubmit.
        for (const auto caller : sent_to_[name])
            callers_[caller] = true;
    }

    void restart()
    {
        for (const auto entry : {true, false})
        {
            for (const auto& name : fleet_.names(entry))
            {
                if (fleet_.is_up(name))
                    continue;
                note("restart " + name);
                return fleet_.restart(name);
            }
        }
    }

    void pause()
    {
        const auto name = any();
        fault("pause " + name);
        if (fleet_.is_up(name))
            fleet_.pause(name);
    }

    void resume()
    {
        const auto name = any();
        note("resume " + name);
        if (fleet_.is_up(name))
            fleet_.resume(name);
    }

    void cut()
    {
        const auto from = any();
        const auto to = any();
        fault("cut " + from + " " + to);
        if (chance(50))
            fleet_.cut(from, to);
        else
            fleet_.cut_both(from, to);
    }

    /// An entry that loses the key-value service and the other entries, but not every agent.
    void isolate()
    {
        const auto name = any(true);
        const auto agent = any(false);
        fault("isolate " + name + " with " + agent);
        fleet_.cut_store(name);
        for (const auto& other : fleet_.names(true))
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
        note("heal");
        fleet_.heal();
    }

    void store_fault()
    {
        static constexpr store_mode modes[] = {store_mode::down, store_mode::lose, store_mode::slow,
                                               store_mode::ok};
        const auto mode = pick(0, 3);
        fault("store mode " + std::to_string(mode));
        fleet_.set_store(modes[mode]);
    }

    void cut_store()
    {
        const auto name = any(true);
        fault("cut store from " + name);
        fleet_.cut_store(name);
    }

    void hold()
    {
        const auto from = any(true);
        const auto to = any(false);
        fault("hold " + from + " " + to);
        fleet_.hold(from, to);
    }

    /// An owner dies while starts of a job are on their way, and the job is submitted again.
    void crash_while_held()
    {
        const auto owner = any(true);
        for (const auto& agent : fleet_.names(false))
            fleet_.hold(owner, agent);
        submit();
        const auto job = jobs_.back();
        fleet_.run_for(milliseconds(100));
        crash(owner);
        fleet_.run_for(seconds(7));
        send(job);
        fleet_.run_for(seconds(1));
        fleet_.release();
    }

    void fail()
    {
        const auto name = any(false);
        const auto mode = chance(50) ? backend_mode::fail : backend_mode::ok;
        fault("backend of " + name + (mode == backend_mode::ok ? " works" : " fails"));
        fleet_.set_backend(name, mode);
    }

    void reconfigure()
    {
        note("apply");
        fleet_.apply(declarations_text + std::to_string(pick(0, 1'000'000)));
    }

    void drain_agent()
    {
        const auto name = any(false);
        if (!fleet_.is_up(name))
            return;
        note("drain " + name);
        fleet_.drain(name);
    }

    void recover()
    {
        note("recover");
        fleet_.heal();
        for (const auto entry : {true, false})
        {
            for (const auto& name : fleet_.names(entry))
            {
                if (fleet_.is_up(name))
                    fleet_.resume(name);
                else
                    fleet_.restart(name);
            }
        }
        fleet_.run_for(settle_time);
    }

    std::mt19937_64 random_;
    virtual_fleet fleet_;
    exploration_result result_;
    std::vector<submission> jobs_;
    /// Callers, and whether their entry died.
    std::map<std::uint64_t, bool> callers_;
    std::map<std::string, std::vector<std::uint64_t>> sent_to_;
};

} // namespace

exploration_result explore(std::uint64_t seed, const mechanisms& enabled)
{
    return run(seed, enabled).go();
}

std::optional<mechanisms> without(const std::string& mechanism)
{
    for (const auto& [name, turn_off] : switches)
    {
        if (mechanism != name)
            continue;
        mechanisms enabled;
        turn_off(enabled);
        return enabled;
    }
    return std::nullopt;
}

std::vector<std::string> mechanism_names()
{
    std::vector<std::string> names;
    for (const auto& item : switches)
        names.emplace_back(item.name);
    return names;
}

} // namespace tarragonlock::test
