// Open-loop load generator: submits each job of a trace at its scheduled time, whether or not
// earlier jobs have been answered. Response times are measured from the scheduled time, so that
// they include the delay of jobs that a slow fleet holds up.

#include "tarragonlock/process/daemon_main.hpp"

#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace
{

using nlohmann::json;
using steady_clock = std::chrono::steady_clock;

constexpr auto usage = R"(tarragonlock-load

Usage:
  tarragonlock-load --entries ADDRESSES --trace FILE [--results FILE] [--threads N]
  tarragonlock-load --entries ADDRESSES --jobs N --rate R [--seed S] [--tasks T] [--task-ms M]
                    [--service NAME] [--team NAME] [--write-trace FILE] [--results FILE]
                    [--threads N]
  tarragonlock-load (-h | --help)

Options:
  --entries ADDRESSES  HTTP addresses of entries, separated by commas; used round robin.
  --trace FILE         Jobs as JSON lines: at_ms, id, service, team, labels, tasks (ms), declared.
  --jobs N             Generate N jobs instead of reading a trace.
  --rate R             Jobs per second, at exponentially distributed intervals.
  --seed S             Seed of the generated jobs [default: 1].
  --tasks T            Largest number of tasks per job [default: 180].
  --task-ms M          Mean run time of a task in milliseconds [default: 200].
  --service NAME       Service of the generated jobs [default: clearing].
  --team NAME          Team of the generated jobs [default: default].
  --write-trace FILE   Also write the jobs as a trace.
  --results FILE       Write one JSON line per job; standard output by default.
  --threads N          Largest number of jobs in progress at once [default: 400].
  -h --help            Show this text.
)";

struct shared_results
{
    std::mutex mutex;
    std::ostream* output = &std::cout;
    std::map<std::string, std::uint64_t> outcomes;
};

std::string request_body(const json& job)
{
    json body = {{"service", job.value("service", "clearing")},
                 {"team", job.value("team", "default")},
                 {"labels", job.value("labels", json::object())},
                 {"idempotent", job.value("idempotent", false)},
                 {"deadline_ms", job.value("deadline_ms", 30'000)},
                 {"tasks", json::array()}};
    const auto& tasks = job.at("tasks");
    const auto declared = job.value("declared", json::array());
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        json task = {{"body",
                      {{"ms", tasks[i]},
                       {"text", job.at("id").get<std::string>() + "/" + std::to_string(i)}}}};
        if (i < declared.size())
            task["declared_ms"] = declared[i];
        body["tasks"].push_back(std::move(task));
    }
    return body.dump();
}

bool results_match_job(const json& job, const json& answer)
{
    const auto& results = answer.at("results");
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        if (results[i] != job.at("id").get<std::string>() + "/" + std::to_string(i))
            return false;
    }
    return results.size() == job.at("tasks").size();
}

void send(const json& job, const std::string& entry, steady_clock::time_point scheduled,
          shared_results& results)
{
    httplib::Client client("http://" + entry);
    client.set_read_timeout(120);
    client.set_tcp_nodelay(true);
    const auto reply = client.Put("/v1/jobs/" + job.at("id").get<std::string>(), request_body(job),
                                  "application/json");
    const std::chrono::duration<double, std::milli> response_time = steady_clock::now() - scheduled;
    const auto answer = reply ? json::parse(reply->body, nullptr, false) : json();
    auto outcome = answer.is_object() ? answer.value("outcome", "none") : std::string("none");
    if (outcome == "complete" && !results_match_job(job, answer))
        outcome = "wrong";
    const json line = {{"id", job.at("id")},
                       {"team", job.value("team", "default")},
                       {"at_ms", job.at("at_ms")},
                       {"tasks", job.at("tasks").size()},
                       {"outcome", outcome},
                       {"reason", answer.is_object() ? answer.value("reason", "") : ""},
                       {"response_ms", response_time.count()}};
    const std::lock_guard lock(results.mutex);
    ++results.outcomes[outcome];
    *results.output << line.dump() << '\n';
}

std::vector<json> read_trace(const std::string& path)
{
    std::vector<json> jobs;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
        jobs.push_back(json::parse(line));
    return jobs;
}

std::vector<json> generate_trace(std::map<std::string, docopt::value>& arguments)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(arguments["--seed"].asLong()));
    std::exponential_distribution<double> interval(std::stod(arguments["--rate"].asString()) /
                                                   1000.0);
    std::exponential_distribution<double> task_time(1.0 /
                                                    std::stod(arguments["--task-ms"].asString()));
    std::uniform_int_distribution<long> task_count(1, arguments["--tasks"].asLong());
    std::vector<json> jobs;
    double at_ms = 0;
    for (long i = 0; i < arguments["--jobs"].asLong(); ++i)
    {
        at_ms += interval(random);
        json job = {{"at_ms", at_ms},
                    {"id", "load-" + std::to_string(random())},
                    {"service", arguments["--service"].asString()},
                    {"team", arguments["--team"].asString()},
                    {"tasks", json::array()}};
        for (long t = task_count(random); t > 0; --t)
            job["tasks"].push_back(task_time(random));
        jobs.push_back(std::move(job));
    }
    return jobs;
}

std::vector<std::string> split_addresses(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, tarragonlock::version_text);
    const auto jobs = arguments["--trace"] ? read_trace(arguments["--trace"].asString())
                                           : generate_trace(arguments);
    if (arguments["--write-trace"])
    {
        std::ofstream file(arguments["--write-trace"].asString());
        for (const auto& job : jobs)
            file << job.dump() << '\n';
    }
    const auto entries = split_addresses(arguments["--entries"].asString());
    shared_results results;
    std::ofstream file;
    if (arguments["--results"])
    {
        file.open(arguments["--results"].asString());
        results.output = &file;
    }
    // Each thread repeatedly takes the next job of the trace and submits it at its scheduled time.
    std::atomic<std::size_t> next_job{0};
    const auto start = steady_clock::now();
    std::vector<std::thread> threads;
    const auto thread_count = std::min<std::size_t>(
        jobs.size(), static_cast<std::size_t>(arguments["--threads"].asLong()));
    for (std::size_t i = 0; i < thread_count; ++i)
        threads.emplace_back(
            [&]
            {
                for (auto index = next_job++; index < jobs.size(); index = next_job++)
                {
                    const std::chrono::duration<double, std::milli> offset(
                        jobs[index].at("at_ms").get<double>());
                    const auto scheduled =
                        start + std::chrono::duration_cast<steady_clock::duration>(offset);
                    std::this_thread::sleep_until(scheduled);
                    send(jobs[index], entries[index % entries.size()], scheduled, results);
                }
            });
    for (auto& thread : threads)
        thread.join();
    json summary(results.outcomes);
    std::cerr << summary.dump() << '\n';
    return 0;
}
