#include "process/task_runner.hpp"

#include <httplib.h>

namespace tarragonlock
{

namespace
{

constexpr auto connect_timeout = std::chrono::seconds(1);
constexpr auto receive_timeout = std::chrono::hours(1);
/// Connections idle for longer are not reused: if the server closed one while a task is in transit,
/// it would be unknown whether the task ran. Servers keep idle connections for several seconds.
constexpr auto max_idle_time = std::chrono::seconds(1);

/// @return whether no connection was established. Only this proves that the backend server did not
///         receive the task.
bool never_connected(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

task_status status_of(const httplib::Result& answer)
{
    if (!answer)
        return never_connected(answer.error()) ? task_status::not_started : task_status::failed;
    return answer->status >= 200 && answer->status < 300 ? task_status::succeeded
                                                         : task_status::failed;
}

} // namespace

task_runner::task_runner(std::size_t threads, completion_handler on_finished)
    : on_finished_(std::move(on_finished))
{
    for (std::size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run_tasks(); });
}

task_runner::~task_runner()
{
    // A task without an address terminates the thread that receives it.
    for (std::size_t i = 0; i < threads_.size(); ++i)
        tasks_.post({});
    for (auto& thread : threads_)
        thread.join();
}

void task_runner::run_tasks()
{
    std::string address;
    std::unique_ptr<httplib::Client> client;
    instant last_used;
    while (true)
    {
        const auto task = tasks_.receive(receive_timeout);
        if (!task)
            continue;
        if (task->address.empty())
            return;
        const bool idle_expired = process_clock::now() - last_used > max_idle_time;
        if (!client || address != task->address || idle_expired)
        {
            address = task->address;
            client = std::make_unique<httplib::Client>(
                address.starts_with("http") ? address : "http://" + address);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(connect_timeout);
        }
        client->set_read_timeout(std::chrono::milliseconds(std::max(task->timeout_ms, 1U)));
        const httplib::Headers headers{
            {"Tarragonlock-Job-Id", task->attempt.job},
            {"Tarragonlock-Task-Index", std::to_string(task->attempt.index)}};
        const auto answer = client->Post("/task", headers, task->body, "application/octet-stream");
        last_used = process_clock::now();
        const auto status = status_of(answer);
        on_finished_({task->attempt.job, task->attempt.index, task->attempt.attempt, status, 0,
                      status == task_status::succeeded ? answer->body : std::string()});
    }
}

} // namespace tarragonlock
