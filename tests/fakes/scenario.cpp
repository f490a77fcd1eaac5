#include "fakes/scenario.hpp"

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <stdexcept>

namespace tarragonlock::test
{

namespace
{

using std::chrono::milliseconds;

/// Executes the steps of one scenario.
class scenario_run
{
public:
    scenario_run(const YAML::Node& file, const mechanisms& enabled)
        : fleet_(file["seed"].as<std::uint64_t>(1), file["entries"].as<std::uint32_t>(3),
                 file["agents"].as<std::uint32_t>(3), enabled)
    {
        fleet_.apply(file["declarations"].as<std::string>("services: [{name: clearing}]"));
        fleet_.run_for(std::chrono::seconds(6));
    }

    void step(const YAML::Node& node)
    {
        const auto step_name = node.begin()->first.as<std::string>();
        const YAML::Node value = node.begin()->second;
        static const std::map<std::string, void (scenario_run::*)(const YAML::Node&)> step_handlers{
            {"submit", &scenario_run::submit},   {"expect", &scenario_run::expect},
            {"starts", &scenario_run::starts},   {"let", &scenario_run::let},
            {"cut", &scenario_run::cut},         {"hold", &scenario_run::hold},
            {"backend", &scenario_run::backend}, {"store", &scenario_run::store},
            {"mark", &scenario_run::mark},       {"unchanged", &scenario_run::unchanged}};
        static const std::map<std::string, void (*)(virtual_fleet&, const std::string&)>
            simple_steps{{"crash", [](auto& f, const auto& n) { f.crash(n); }},
                         {"restart", [](auto& f, const auto& n) { f.restart(n); }},
                         {"pause", [](auto& f, const auto& n) { f.pause(n); }},
                         {"resume", [](auto& f, const auto& n) { f.resume(n); }},
                         {"drain", [](auto& f, const auto& n) { f.drain(n); }},
                         {"cut_store", [](auto& f, const auto& n) { f.cut_store(n); }},
                         {"heal", [](auto& f, const auto&) { f.heal(); }},
                         {"release", [](auto& f, const auto&) { f.release(); }},
                         {"apply", [](auto& f, const auto& text) { f.apply(text); }},
                         {"cancel", [](auto& f, const auto& id)
                          { f.cancel(f.process_names(true).front(), id); }},
                         {"run_ms", [](auto& f, const auto& time)
                          { f.run_for(milliseconds(std::stoll(time))); }}};
        if (const auto found = step_handlers.find(step_name); found != step_handlers.end())
            return (this->*found->second)(value);
        if (const auto found = simple_steps.find(step_name); found != simple_steps.end())
            return found->second(fleet_, resolve(value.as<std::string>("")));
        throw std::invalid_argument("unknown step " + step_name);
    }

    std::vector<std::string> finish()
    {
        auto violations = check_history(fleet_.events());
        failures_.insert(failures_.end(), violations.begin(), violations.end());
        return std::move(failures_);
    }

private:
    /// Replaces a variable by its value, and owner(id) by the entry that owns the id at present;
    /// other text stays.
    std::string resolve(const std::string& text)
    {
        if (const auto found = variables_.find(text); found != variables_.end())
            return found->second;
        if (!text.starts_with("owner("))
            return text;
        const auto id = text.substr(6, text.size() - 7);
        for (const auto& name : fleet_.process_names(true))
        {
            if (fleet_.is_up(name) &&
                fleet_.entry(name).shards().state(shard_of(id)) == shard_state::active)
                return name;
        }
        throw std::invalid_argument("no entry owns " + id);
    }

    /// Sets variables. "other-1" and "other-2" are the entries other than the variable "owner".
    void let(const YAML::Node& node)
    {
        for (const auto& item : node)
        {
            const auto text = item.second.as<std::string>();
            if (!text.starts_with("other"))
            {
                variables_[item.first.as<std::string>()] = resolve(text);
                continue;
            }
            std::vector<std::string> others;
            for (const auto& name : fleet_.process_names(true))
            {
                if (name != variables_.at("owner"))
                    others.push_back(name);
            }
            variables_[item.first.as<std::string>()] = others.at(text == "other-1" ? 0 : 1);
        }
    }

    void submit(const YAML::Node& node)
    {
        const auto entry = resolve(node["entry"].as<std::string>());
        const auto name = node["id"].as<std::string>();
        submission job;
        job.id = name;
        if (node["timed_skew_ms"] && !variables_.contains(name))
            variables_[name] =
                fleet_.time_based_id(milliseconds(node["timed_skew_ms"].as<std::int64_t>()));
        if (variables_.contains(name))
            job.id = variables_.at(name);
        job.service = node["service"].as<std::string>("clearing");
        job.team = "default";
        job.idempotent = node["idempotent"].as<bool>(false);
        job.deadline_ms = node["deadline_ms"].as<std::uint32_t>(30'000);
        for (std::uint32_t i = 0; i < node["tasks"].as<std::uint32_t>(1); ++i)
            job.tasks.push_back({name + node["body"].as<std::string>("/") + std::to_string(i), 0});
        const auto caller = fleet_.submit(entry, job);
        callers_[node["as"].as<std::string>(name)] = caller;
    }

    /// @return the outcome and, unless it is complete, the reason; "nothing" without an answer
    std::string outcome_of(std::uint64_t caller) const
    {
        const auto* reply = fleet_.reply_to(caller);
        if (reply == nullptr)
            return "nothing";
        std::string text(to_string(reply->outcome));
        if (reply->outcome != outcome::complete)
            text.append(" ").append(to_string(reply->reason));
        return text;
    }

    void expect(const YAML::Node& node)
    {
        for (const auto& item : node)
        {
            const auto name = item.first.as<std::string>();
            const auto expected = item.second.as<std::string>();
            const auto actual = outcome_of(callers_.at(name));
            if (expected != actual && !actual.starts_with(expected + " "))
                failures_.push_back(absl::StrCat(name, ": expected ", expected, ", got ", actual));
        }
    }

    void starts(const YAML::Node& node)
    {
        for (const auto& item : node)
        {
            const auto name = item.first.as<std::string>();
            const auto id = variables_.contains(name) ? variables_.at(name) : name;
            const auto expected = item.second.as<std::uint32_t>();
            if (fleet_.start_count(id) != expected)
                failures_.push_back(name + ": expected " + std::to_string(expected) +
                                    " starts, got " + std::to_string(fleet_.start_count(id)));
        }
    }

    void cut(const YAML::Node& node)
    {
        const auto from = resolve(node[0].as<std::string>());
        const auto to = resolve(node[1].as<std::string>());
        if (node.size() > 2)
            fleet_.cut(from, to);
        else
            fleet_.cut_both(from, to);
    }

    void hold(const YAML::Node& node)
    {
        fleet_.hold(resolve(node[0].as<std::string>()), resolve(node[1].as<std::string>()));
    }

    void backend(const YAML::Node& node)
    {
        const auto mode = node[1].as<std::string>();
        fleet_.set_backend(node[0].as<std::string>(), mode == "fail"   ? backend_mode::fail
                                                      : mode == "hang" ? backend_mode::hang
                                                                       : backend_mode::ok);
    }

    void store(const YAML::Node& node)
    {
        const auto mode = node.as<std::string>();
        fleet_.set_store(mode == "down"   ? store_mode::down
                         : mode == "lose" ? store_mode::lose_replies
                         : mode == "slow" ? store_mode::slow
                                          : store_mode::ok);
    }

    std::size_t starts_on(const std::string& worker) const
    {
        return static_cast<std::size_t>(
            std::count_if(fleet_.events().begin(), fleet_.events().end(),
                          [&](const auto& event)
                          {
                              const auto* start = std::get_if<started>(&event);
                              return start != nullptr && start->worker == worker;
                          }));
    }

    void mark(const YAML::Node& node)
    {
        marked_starts_[node.as<std::string>()] = starts_on(node.as<std::string>());
    }

    void unchanged(const YAML::Node& node)
    {
        const auto worker = node.as<std::string>();
        if (const auto more = starts_on(worker) - marked_starts_.at(worker); more > 0)
            failures_.push_back(std::to_string(more) + " tasks started on " + worker);
    }

    virtual_fleet fleet_;
    std::map<std::string, std::size_t> marked_starts_;
    std::map<std::string, std::string> variables_;
    std::map<std::string, std::uint64_t> callers_;
    std::vector<std::string> failures_;
};

} // namespace

scenario scenario::load(const std::string& file)
{
    const auto root = YAML::LoadFile(file);
    return {root["guarantee"].as<std::string>(),
            root["fails_without"].as<std::vector<std::string>>(std::vector<std::string>()), file};
}

std::vector<std::string> scenario::run(const mechanisms& enabled) const
{
    const auto root = YAML::LoadFile(file);
    scenario_run steps(root, enabled);
    for (const auto& node : root["steps"])
        steps.step(node);
    return steps.finish();
}

} // namespace tarragonlock::test
