#include "commands.hpp"

#include "process_metrics.hpp"
#include "status_client.hpp"
#include "tarragonlock/common/diagnostic.hpp"
#include "tarragonlock/process/settings.hpp"
#include "tarragonlock/version/config_store.hpp"
#include "tarragonlock/version/declarations.hpp"

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <random>
#include <thread>

namespace tarragonlock::control
{

namespace
{

using nlohmann::ordered_json;

constexpr auto longest_wait = std::chrono::seconds(15);

bool wants_json(const arguments& given)
{
    return given.at("--json").asBool();
}

/// Prints a result as JSON or as a line of text.
void print(const arguments& given, const ordered_json& json, const std::string& text)
{
    if (wants_json(given))
        std::cout << json.dump() << '\n';
    else
        std::cout << text << '\n';
}

/// Reads and checks the file named on the command line; prints every fault.
std::optional<std::string> load_checked(const arguments& given)
{
    const auto path = given.at("FILE").asString();
    const auto text = read_file(path);
    if (!text)
    {
        std::cerr << path << ": " << text.error().message() << '\n';
        return std::nullopt;
    }
    diagnostics faults;
    if (declarations::parse(text.value(), path, faults))
        return text.value();
    auto json = ordered_json::array();
    for (const auto& fault : faults)
    {
        std::cerr << to_string(fault) << '\n';
        json.push_back(
            {{"file", fault.file}, {"line", fault.line}, {"key", fault.key}, {"text", fault.text}});
    }
    if (wants_json(given))
        std::cout << ordered_json{{"valid", false}, {"faults", json}}.dump() << '\n';
    return std::nullopt;
}

store_connection connect_store(const arguments& given)
{
    store_options options;
    options.addresses = addresses_in(given.at("--store"));
    return store_connection(options);
}

exit_status unreachable(const std::error_code& error)
{
    std::cerr << error.message() << "; nothing was changed\n";
    return exit_status::unreachable;
}

exit_status check(const arguments& given)
{
    if (!load_checked(given))
        return exit_status::usage;
    print(given, {{"valid", true}}, "valid");
    return exit_status::done;
}

exit_status diff(const arguments& given)
{
    const auto text = load_checked(given);
    if (!text)
        return exit_status::usage;
    auto store = connect_store(given);
    const auto current = read_document(store);
    if (!current)
        return unreachable(current.error());
    const auto lines = diff_lines(current.value().text, *text);
    print(given, {{"version", current.value().version}, {"diff", lines}},
          "against version " + std::to_string(current.value().version) + ":\n" + lines);
    return lines.empty() ? exit_status::done : exit_status::differs;
}

std::string new_apply_id()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

/// Waits until every entry, and every worker an entry knows, runs a version.
bool wait_in_force(const arguments& given, std::int64_t version)
{
    const auto addresses = addresses_in(given.at("--entries"));
    const auto until = std::chrono::steady_clock::now() + longest_wait;
    std::size_t running = 0;
    std::size_t known = addresses.size();
    while (std::chrono::steady_clock::now() < until)
    {
        std::tie(running, known) = processes_running(addresses, version);
        if (running == known)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::cerr << running << " of " << known << " processes run version " << version << '\n';
    return running == known;
}

exit_status apply(const arguments& given)
{
    const auto text = load_checked(given);
    if (!text)
        return exit_status::usage;
    auto store = connect_store(given);
    const auto before = read_document(store);
    if (!before)
        return unreachable(before.error());
    const auto base = given.at("--base") ? given.at("--base").asLong() : before.value().version;
    const auto applied = apply_document(store, *text, base, new_apply_id());
    if (!applied)
        return unreachable(applied.error());
    const auto& [outcome, current] = applied.value();
    switch (outcome)
    {
    case apply_outcome::conflict:
        print(given, {{"outcome", "conflict"}, {"version", current.version}},
              "not applied: version " + std::to_string(current.version) + " is in place, not " +
                  std::to_string(base) + "; it differs from this file by:\n" +
                  diff_lines(current.text, *text));
        return exit_status::conflict;
    case apply_outcome::in_doubt:
        std::cerr << "the key-value service does not answer; whether the file was applied is not "
                     "known: run diff once it answers\n";
        return exit_status::unreachable;
    case apply_outcome::unchanged:
        print(given, {{"outcome", "unchanged"}, {"version", current.version}},
              "unchanged: version " + std::to_string(current.version));
        break;
    case apply_outcome::applied:
        print(given, {{"outcome", "applied"}, {"version", current.version}},
              "applied: version " + std::to_string(current.version));
        break;
    }
    if (given.at("--wait").asBool() && !wait_in_force(given, current.version))
        return exit_status::failed;
    return exit_status::done;
}

exit_status job_status(const arguments& given)
{
    const auto id = given.at("--job").asString();
    bool answered = false;
    for (const auto& address : addresses_in(given.at("--entries")))
    {
        const auto text = fetch(address, "/v1/status/jobs/" + id);
        if (!text)
            continue;
        answered = true;
        print(given, {{"entry", address}, {"job", id}, {"where", *text}}, address + ": " + *text);
    }
    return answered ? exit_status::done : exit_status::unreachable;
}

exit_status metrics_status(const arguments& given)
{
    const auto addresses = addresses_in(given.at("--metrics"));
    std::vector<process_metrics> processes;
    for (const auto& address : addresses)
    {
        if (auto process = fetch_metrics(address))
            processes.push_back(std::move(*process));
        else
            std::cerr << address << " does not answer\n";
    }
    auto json = ordered_json::object();
    for (const auto& process : processes)
        json[process.address] = process.values;
    if (wants_json(given))
        std::cout << json.dump() << '\n';
    else
        std::cout << render_metrics(processes);
    return processes.size() == addresses.size() ? exit_status::done : exit_status::unreachable;
}

exit_status status(const arguments& given)
{
    if (given.at("--metrics"))
        return metrics_status(given);
    if (given.at("--job"))
        return job_status(given);
    const auto addresses = addresses_in(given.at("--entries"));
    const auto fleet = fetch_status(addresses);
    if (fleet.empty())
    {
        std::cerr << "no entry answers\n";
        return exit_status::unreachable;
    }
    if (wants_json(given))
        std::cout << ordered_json(fleet).dump() << '\n';
    else
        std::cout << render_status(fleet);
    return fleet.size() == addresses.size() ? exit_status::done : exit_status::unreachable;
}

exit_status drain(const arguments& given)
{
    const auto address = given.at("ADDRESS").asString();
    if (!request_drain(address))
    {
        std::cerr << address << " does not answer\n";
        return exit_status::unreachable;
    }
    print(given, {{"draining", address}}, "draining " + address);
    return exit_status::done;
}

struct command
{
    const char* name;
    exit_status (*run)(const arguments&);
};

constexpr command commands[] = {{"check", check},   {"diff", diff},   {"apply", apply},
                                {"status", status}, {"drain", drain}, {"report", report}};

} // namespace

std::vector<std::string> addresses_in(const docopt::value& text)
{
    return absl::StrSplit(text.asString(), ',', absl::SkipEmpty());
}

int run(const arguments& given)
{
    for (const auto& [name, function] : commands)
    {
        if (given.at(name).asBool())
            return static_cast<int>(function(given));
    }
    return static_cast<int>(exit_status::usage);
}

} // namespace tarragonlock::control
