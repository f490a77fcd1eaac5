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

/// How long apply --wait waits for all processes to run the new version.
constexpr auto in_force_timeout = std::chrono::seconds(15);

bool wants_json(const arguments& args)
{
    return args.at("--json").asBool();
}

/// Prints the result of a command: JSON with --json, text otherwise.
void print(const arguments& args, const ordered_json& json, const std::string& text)
{
    if (wants_json(args))
        std::cout << json.dump() << '\n';
    else
        std::cout << text << '\n';
}

/// Reads and checks the declarations file named on the command line; prints every error in it.
/// @return the text of the file, or nothing when it cannot be read or is invalid
std::optional<std::string> read_valid_declarations(const arguments& args)
{
    const auto path = args.at("FILE").asString();
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
    if (wants_json(args))
        std::cout << ordered_json{{"valid", false}, {"faults", json}}.dump() << '\n';
    return std::nullopt;
}

store_connection connect_store(const arguments& args)
{
    store_options options;
    options.addresses = split_addresses(args.at("--store"));
    return store_connection(options);
}

exit_status report_unreachable(const std::error_code& error)
{
    std::cerr << error.message() << "; nothing was changed\n";
    return exit_status::unreachable;
}

exit_status check(const arguments& args)
{
    if (!read_valid_declarations(args))
        return exit_status::usage_error;
    print(args, {{"valid", true}}, "valid");
    return exit_status::success;
}

exit_status diff(const arguments& args)
{
    const auto text = read_valid_declarations(args);
    if (!text)
        return exit_status::usage_error;
    auto store = connect_store(args);
    const auto current = read_document(store);
    if (!current)
        return report_unreachable(current.error());
    const auto lines = diff_lines(current.value().text, *text);
    print(args, {{"version", current.value().version}, {"diff", lines}},
          "against version " + std::to_string(current.value().version) + ":\n" + lines);
    return lines.empty() ? exit_status::success : exit_status::differs;
}

std::string new_apply_id()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

/// Waits until every entry, and every worker connected to an entry, runs at least a version.
/// @return whether that happened before the timeout
bool wait_until_in_force(const arguments& args, std::int64_t version)
{
    const auto addresses = split_addresses(args.at("--entries"));
    const auto deadline = std::chrono::steady_clock::now() + in_force_timeout;
    std::size_t updated = 0;
    std::size_t total = addresses.size();
    while (std::chrono::steady_clock::now() < deadline)
    {
        std::tie(updated, total) = count_processes_at_version(addresses, version);
        if (updated == total)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::cerr << updated << " of " << total << " processes run version " << version << '\n';
    return updated == total;
}

exit_status apply(const arguments& args)
{
    const auto text = read_valid_declarations(args);
    if (!text)
        return exit_status::usage_error;
    auto store = connect_store(args);
    const auto previous = read_document(store);
    if (!previous)
        return report_unreachable(previous.error());
    const auto base = args.at("--base") ? args.at("--base").asLong() : previous.value().version;
    const auto applied = apply_document(store, *text, base, new_apply_id());
    if (!applied)
        return report_unreachable(applied.error());
    const auto& [outcome, current] = applied.value();
    switch (outcome)
    {
    case apply_outcome::conflict:
        print(args, {{"outcome", "conflict"}, {"version", current.version}},
              "not applied: version " + std::to_string(current.version) + " is in force, not " +
                  std::to_string(base) + "; it differs from this file by:\n" +
                  diff_lines(current.text, *text));
        return exit_status::conflict;
    case apply_outcome::in_doubt:
        std::cerr << "the key-value service does not answer; the file may or may not have been "
                     "applied: run diff once the service answers\n";
        return exit_status::unreachable;
    case apply_outcome::unchanged:
        print(args, {{"outcome", "unchanged"}, {"version", current.version}},
              "unchanged: version " + std::to_string(current.version));
        break;
    case apply_outcome::applied:
        print(args, {{"outcome", "applied"}, {"version", current.version}},
              "applied: version " + std::to_string(current.version));
        break;
    }
    if (args.at("--wait").asBool() && !wait_until_in_force(args, current.version))
        return exit_status::failed;
    return exit_status::success;
}

exit_status job_status(const arguments& args)
{
    const auto id = args.at("--job").asString();
    bool answered = false;
    for (const auto& address : split_addresses(args.at("--entries")))
    {
        const auto text = fetch(address, "/v1/status/jobs/" + id);
        if (!text)
            continue;
        answered = true;
        print(args, {{"entry", address}, {"job", id}, {"where", *text}}, address + ": " + *text);
    }
    return answered ? exit_status::success : exit_status::unreachable;
}

exit_status metrics_status(const arguments& args)
{
    const auto addresses = split_addresses(args.at("--metrics"));
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
    if (wants_json(args))
        std::cout << json.dump() << '\n';
    else
        std::cout << render_metrics(processes);
    return processes.size() == addresses.size() ? exit_status::success : exit_status::unreachable;
}

exit_status status(const arguments& args)
{
    if (args.at("--metrics"))
        return metrics_status(args);
    if (args.at("--job"))
        return job_status(args);
    const auto addresses = split_addresses(args.at("--entries"));
    const auto entry_statuses = fetch_status(addresses);
    if (entry_statuses.empty())
    {
        std::cerr << "no entry answers\n";
        return exit_status::unreachable;
    }
    if (wants_json(args))
        std::cout << ordered_json(entry_statuses).dump() << '\n';
    else
        std::cout << render_status(entry_statuses);
    return entry_statuses.size() == addresses.size() ? exit_status::success
                                                     : exit_status::unreachable;
}

exit_status drain(const arguments& args)
{
    const auto address = args.at("ADDRESS").asString();
    if (!request_drain(address))
    {
        std::cerr << address << " does not answer\n";
        return exit_status::unreachable;
    }
    print(args, {{"draining", address}}, "draining " + address);
    return exit_status::success;
}

struct command
{
    const char* name;
    exit_status (*run)(const arguments&);
};

constexpr command commands[] = {{"check", check},   {"diff", diff},   {"apply", apply},
                                {"status", status}, {"drain", drain}, {"report", report}};

} // namespace

std::vector<std::string> split_addresses(const docopt::value& text)
{
    return absl::StrSplit(text.asString(), ',', absl::SkipEmpty());
}

int run_command(const arguments& args)
{
    for (const auto& [name, function] : commands)
    {
        if (args.at(name).asBool())
            return static_cast<int>(function(args));
    }
    return static_cast<int>(exit_status::usage_error);
}

} // namespace tarragonlock::control
