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

/// Mechanisms that a run can switch off, to show which violations each of them prevents.
struct mechanisms
{
    ownership_mechanisms ownership;
    agent_mechanisms agent;
    /// Makes entries restart lost tasks that may have run, even if their job isn't idempotent.
    bool restart_uncertain = false;
};

/// How the fake key-value service treats requests.
enum class store_mode
{
    ok,
    down,         ///< all requests fail
    lose_replies, ///< swaps take effect, but their replies are lost
    slow          ///< swaps take effect after the client's timeout
};

/// How a fake backend server runs tasks.
enum class backend_mode
{
    ok,   ///< succeeds after a random run time
    fail, ///< fails after 1 ms
    hang  ///< never reports an outcome
};

/// Simulates a fleet in virtual time: the production code of entries and agents, with fake
/// connections, backend servers and key-value service. A seed determines all random decisions, so a
/// run can be repeated.
class virtual_fleet
{
public:
    virtual_fleet(std::uint64_t seed, std::uint32_t entries, std::uint32_t agents,
                  const mechanisms& enabled);

    /// Advances virtual time and runs the events that become due.
    void run_for(duration time);
    instant now() const { return now_; }

    // Callers.
    /// @return the number that identifies the caller in the history and in reply_to()
    std::uint64_t submit(const std::string& entry, submission job);
    void cancel(const std::string& entry, const std::string& id);
    /// Asks an entry for a job id; the entry must be up.
    std::string generate_job_id(const std::string& entry);
    /// @return the last answer to a caller, or null when there is none yet
    const answer* reply_to(std::uint64_t caller) const;
    /// @return how many task attempts of a job backend servers have started
    std::uint32_t start_count(const std::string& job) const;
    /// Generates a UUID version 7 for the current time.
    /// @param skew  the caller's clock minus the true time
    std::string time_based_id(duration skew = duration(0));

    // Faults.
    void crash(const std::string& process);
    void restart(const std::string& process);
    void pause(const std::string& process);
    void resume(const std::string& process);
    void drain(const std::string& process);
    /// Drops all messages in one direction until heal().
    void cut(const std::string& from, const std::string& to) { cut_links_.insert({from, to}); }
    void cut_both(const std::string& first, const std::string& second);
    /// Holds back messages in one direction until release(), and closes the connections on which
    /// they were sent.
    void hold(const std::string& from, const std::string& to) { held_links_.insert({from, to}); }
    void release();
    /// Ends all cuts, holds and faults of the key-value service.
    void heal();
    void set_store(store_mode mode) { store_mode_ = mode; }
    /// Disconnects one process from the key-value service until heal().
    void cut_store(const std::string& process) { cut_from_store_.insert(process); }
    void set_backend(const std::string& agent, backend_mode mode);
    void set_slowness(const std::string& agent, double factor);
    /// Stores a configuration document in the key-value service.
    void apply(const std::string& document);

    bool is_up(const std::string& process) const { return processes_.at(process).up; }
    entry_core& entry(const std::string& name) { return *processes_.at(name).entry; }
    agent_core& agent(const std::string& name) { return *processes_.at(name).agent; }
    /// @param entries  true for the names of the entries, false for those of the agents
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
        /// Actions that became due while the process was paused.
        std::vector<action> deferred_actions;
        backend_mode backend = backend_mode::ok;
        double slowness = 1.0;
        /// When its lease in the key-value service expires.
        instant registered_until;
        /// Whether it has received the state of the key-value service since it last connected.
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

    /// The connection between two processes; each reconnection gets a new number.
    struct connection
    {
        bool up = false;
        /// A message was lost, so the connection closes after the silence timeout.
        bool closing = false;
        std::uint64_t number = 0;
        std::map<std::string, instant> last_delivery;
        instant next_connect;
    };

    using link_key = std::pair<std::string, std::string>;

    void schedule(instant due, action run);
    /// Runs an action in a process, after resume() if the process is paused. Drops it if the
    /// process is down or has restarted as another incarnation.
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
    /// Sends an entry's compare-and-swap of the shard table to the key-value service.
    void compare_and_swap(const std::string& name, const table_swap& request);
    bool can_reach_store(const std::string& name) const;
    void notify_registration(const std::string& name);
    void send_store_state(const std::string& name);
    bool is_cut(const std::string& from, const std::string& to) const;
    static link_key link_key_of(const std::string& a, const std::string& b);
    duration random_delay(std::int64_t min_us, std::int64_t max_us);

    mechanisms enabled_;
    std::mt19937_64 random_;
    /// Separate from random_, so that ids don't depend on how many messages were sent before.
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
