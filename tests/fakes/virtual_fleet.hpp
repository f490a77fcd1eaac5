#pragma once

#include "fakes/history.hpp"
#include "tarragonlock/process/agent_core.hpp"
#include "tarragonlock/process/entry_core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace tarragonlock::test
{

/// Mechanisms that a run switches off.
struct mechanisms
{
    ownership_mechanisms ownership;
    agent_mechanisms agent;
    bool restart_uncertain = false;
};

enum class store_mode
{
    ok,
    down,         ///< nobody gets through
    lose_replies, ///< swaps take effect and their answers are lost
    slow          ///< swaps take effect after their callers have given up
};

enum class backend_mode
{
    ok,
    fail,
    hang
};

/// Entries and agents as they ship, with fake connections, backend servers and key-value service,
/// in virtual time. Everything random comes from one seed.
class virtual_fleet
{
public:
    virtual_fleet(std::uint64_t seed, std::uint32_t entries, std::uint32_t agents,
                  const mechanisms& enabled);

    /// Lets virtual time pass.
    void run_for(duration time);
    instant now() const { return now_; }

    // Callers.
    /// @return the caller's number
    std::uint64_t submit(const std::string& entry, submission job);
    void cancel(const std::string& entry, const std::string& id);
    std::string generate_job_id(const std::string& entry);
    const answer* reply_to(std::uint64_t caller) const;
    std::uint32_t start_count(const std::string& job) const;
    /// A UUID version 7 of this moment.
    /// @param skew  the caller's clock minus the true time
    std::string time_based_id(duration skew = duration(0));

    // Faults.
    void crash(const std::string& process);
    void restart(const std::string& process);
    void pause(const std::string& process);
    void resume(const std::string& process);
    void drain(const std::string& process);
    void cut(const std::string& from, const std::string& to) { cut_links_.insert({from, to}); }
    void cut_both(const std::string& first, const std::string& second);
    /// Holds messages back instead of losing them; they arrive when released.
    void hold(const std::string& from, const std::string& to) { held_links_.insert({from, to}); }
    void release();
    void heal();
    void set_store(store_mode mode) { store_mode_ = mode; }
    /// Keeps one process from the key-value service.
    void cut_store(const std::string& process) { cut_from_store_.insert(process); }
    void set_backend(const std::string& agent, backend_mode mode);
    void set_slowness(const std::string& agent, double factor);
    void apply(const std::string& document);

    bool is_up(const std::string& process) const { return processes_.at(process).up; }
    entry_core& entry(const std::string& name) { return *processes_.at(name).entry; }
    agent_core& agent(const std::string& name) { return *processes_.at(name).agent; }
    std::vector<std::string> process_names(bool entries) const;
    const history& events() const { return history_; }
    std::uint64_t config_version() const { return config_version_; }

private:
    using action = std::function<void()>;

    struct process
    {
        bool is_entry = false;
        bool up = true;
        bool paused = false;
        std::uint64_t incarnation = 0;
        std::unique_ptr<entry_core> entry;
        std::unique_ptr<agent_core> agent;
        std::vector<action> deferred_actions;
        backend_mode backend = backend_mode::ok;
        double slowness = 1.0;
        /// When its lease in the key-value service lapses.
        instant registered_until;
        bool has_store_state = false;
    };

    struct scheduled
    {
        instant due;
        std::uint64_t order = 0;
        action run;
        bool operator<(const scheduled& other) const
        {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };

    /// One connection; both ends share its number, and a new one takes a new number.
    struct connection
    {
        bool up = false;
        bool closing = false;
        std::uint64_t number = 0;
        std::map<std::string, instant> last_delivery;
        instant next_connect;
    };

    using link_key = std::pair<std::string, std::string>;

    void schedule(instant due, action run);
    /// Runs something in a process now, or when it wakes up; never in a later incarnation.
    void run_in_process(const std::string& name, std::uint64_t incarnation, action run);
    void start(const std::string& name);
    void tick(const std::string& name, std::uint64_t incarnation);
    void apply_effects(const std::string& name);
    void deliver(const std::string& from, const std::string& to, const message& body);
    void receive(const std::string& name, const std::string& from, const message& body);
    void run_backend(const std::string& name, const run_task& task);
    void maintain_connections();
    void close(const link_key& key);
    void notify_peer_lost(const std::string& name, const std::string& peer);
    void update_store();
    void compare_and_swap(const std::string& name, const table_swap& request);
    bool can_reach_store(const std::string& name) const;
    void notify_registration(const std::string& name);
    void send_store_state(const std::string& name);
    bool is_cut(const std::string& from, const std::string& to) const;
    static link_key link_key_of(const std::string& a, const std::string& b);
    duration random_delay(std::int64_t min_us, std::int64_t max_us);

    mechanisms enabled_;
    std::mt19937_64 random_;
    /// Apart, so that identifiers don't depend on how many messages were sent before.
    std::mt19937_64 id_random_;
    instant now_;
    std::uint64_t order_ = 0;
    std::uint64_t next_number_ = 1;
    std::priority_queue<scheduled> queue_;
    std::map<std::string, process> processes_;
    std::map<link_key, connection> connections_;
    std::set<link_key> cut_links_;
    std::set<link_key> held_links_;
    std::vector<action> held_messages_;
    std::set<std::string> cut_from_store_;
    store_mode store_mode_ = store_mode::ok;
    shard_table table_;
    std::int64_t table_revision_ = 0;
    std::int64_t revision_ = 1;
    std::map<std::string, std::uint64_t> registered_incarnations_;
    std::uint64_t config_version_ = 0;
    std::string config_document_;
    history history_;
    std::map<std::uint64_t, answer> replies_;
    std::map<std::string, std::uint32_t> starts_;
    std::uint64_t last_caller_ = 0;
};

} // namespace tarragonlock::test
