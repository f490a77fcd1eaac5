#pragma once

#include "tarragonlock/common/mailbox.hpp"
#include "tarragonlock/process/agent_core.hpp"

#include <functional>
#include <thread>
#include <vector>

namespace tarragonlock
{

/// Runs tasks on the backend server, with one thread and one connection for each slot.
class task_runner
{
public:
    using completion_handler = std::function<void(task_outcome)>;

    /// @param threads      maximum number of concurrent tasks
    /// @param on_finished  called from the runner's threads
    task_runner(std::size_t threads, completion_handler on_finished);
    ~task_runner();
    task_runner(const task_runner&) = delete;
    task_runner& operator=(const task_runner&) = delete;

    void run(run_task task) { tasks_.post(std::move(task)); }

private:
    void run_tasks();

    completion_handler on_finished_;
    mailbox<run_task> tasks_;
    std::vector<std::thread> threads_;
};

} // namespace tarragonlock
