// Stand-in for a backend server: sleeps for the duration given in a task and answers with its text.

#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace
{

constexpr auto usage = R"(Stand-in for a backend server.

Usage: standin_backend --listen ADDRESS --agent ADDRESS --service NAME [options]

Options:
  --listen ADDRESS  Address on which tasks are accepted, host:port.
  --agent ADDRESS   HTTP address of the agent on this host.
  --service NAME    Service to announce.
  --label TEXT      One label, key=value [default: kind=standin].
  --slots N         Slots to announce [default: 8].
  --slowness X      Factor on every task's duration [default: 1.0].

A task's body is JSON with "ms" and "text"; other bodies take no time and are returned as they are.
PUT /mode with ok, fail (status 500) or hang (20 s) changes how tasks are answered; GET /starts
returns the number of tasks started.
)";

std::atomic<bool> stopping{false};

enum class mode
{
    ok,
    fail,
    hang
};

void handle_task(const httplib::Request& request, httplib::Response& response, mode active_mode,
                 double slowness)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const bool is_object = body.is_object();
    if (active_mode == mode::fail)
    {
        response.status = 500;
        return;
    }
    if (active_mode == mode::hang)
        std::this_thread::sleep_for(std::chrono::seconds(20));
    if (is_object)
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(body.value("ms", 0.0) * slowness));
    response.set_content(is_object ? body.value("text", "") : request.body, "text/plain");
}

/// Announces the server to its agent every second until stopped, then withdraws the announcement.
void announce(const std::string& agent_address, const std::string& announcement)
{
    while (!stopping)
    {
        httplib::Client client("http://" + agent_address);
        client.set_connection_timeout(1);
        client.Post("/v1/announce", announcement, "application/json");
        for (int i = 0; i < 10 && !stopping; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    httplib::Client("http://" + agent_address).Delete("/v1/announce");
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    std::signal(SIGTERM, [](int) { stopping = true; });
    std::signal(SIGINT, [](int) { stopping = true; });
    const auto listen = arguments["--listen"].asString();
    const auto label = arguments["--label"].asString();
    const auto slots = static_cast<unsigned>(arguments["--slots"].asLong());
    const double slowness = std::stod(arguments["--slowness"].asString());
    const nlohmann::json announcement = {
        {"service", arguments["--service"].asString()},
        {"address", listen},
        {"slots", slots},
        {"labels", {{label.substr(0, label.find('=')), label.substr(label.find('=') + 1)}}}};

    std::atomic<mode> current_mode{mode::ok};
    std::atomic<std::uint64_t> start_count{0};
    httplib::Server server;
    server.new_task_queue = [slots] { return new httplib::ThreadPool(slots * 4 + 4); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000);
    server.Post("/task",
                [&](const auto& request, auto& response)
                {
                    ++start_count;
                    handle_task(request, response, current_mode, slowness);
                });
    server.Put("/mode",
               [&](const auto& request, auto&)
               {
                   current_mode = request.body == "fail"   ? mode::fail
                                  : request.body == "hang" ? mode::hang
                                                           : mode::ok;
               });
    server.Get("/starts", [&](const auto&, auto& response)
               { response.set_content(std::to_string(start_count), "text/plain"); });
    const auto colon = listen.rfind(':');
    if (!server.bind_to_port(listen.substr(0, colon).c_str(), std::stoi(listen.substr(colon + 1))))
    {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::thread announcer(announce, arguments["--agent"].asString(), announcement.dump());
    std::thread stopper(
        [&]
        {
            announcer.join();
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            server.stop();
        });
    server.listen_after_bind();
    stopper.join();
    return 0;
}
