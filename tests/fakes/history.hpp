#pragma once

#include "tarragonlock/connection/message.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragonlock::test
{

/// A caller sent a submission.
struct submitted
{
    std::uint64_t caller = 0;
    submission job;
};

/// An entry received a submission, possibly delayed by a pause of its process.
struct received
{
    std::string job;
    std::chrono::milliseconds deadline{0};
    instant at;
};

/// A backend server started a task attempt.
struct started
{
    task_attempt attempt;
    std::string worker;
    std::uint64_t config_version = 0;
    instant at;
};

/// A caller received an answer.
struct answered
{
    std::uint64_t caller = 0;
    answer reply;
    instant at;
};

/// A process has this version of the configuration in force.
struct config_seen
{
    std::string process;
    std::uint64_t version = 0;
};

using history_event = std::variant<submitted, received, started, answered, config_seen>;

/// Externally visible events, in order of time.
using history = std::vector<history_event>;

/// @return the result that a fake backend server returns for a task
std::string expected_result(const std::string& body);

/// Checks that a history keeps the guarantees for callers.
/// @return one line for each violation
std::vector<std::string> check_history(const history& events);

} // namespace tarragonlock::test
