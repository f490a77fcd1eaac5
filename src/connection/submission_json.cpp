#include "tarragonlock/connection/caller_server.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace tarragonlock
{

namespace
{

using nlohmann::json;

bool read_labels(const json& body, label_set& labels, std::string& error)
{
    const auto found = body.find("labels");
    if (found == body.end())
        return true;
    if (!found->is_object())
    {
        error = "labels must be an object of texts";
        return false;
    }
    for (const auto& [key, value] : found->items())
    {
        if (!value.is_string())
        {
            error = "labels must be an object of texts";
            return false;
        }
        labels.emplace(key, value.get<std::string>());
    }
    return true;
}

bool read_count(const json& body, const char* key, std::uint32_t maximum, std::uint32_t& target,
                std::string& error)
{
    const auto found = body.find(key);
    if (found == body.end())
        return true;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > maximum)
    {
        error = std::string(key) + " must be a whole number from 0 to " + std::to_string(maximum);
        return false;
    }
    target = found->get<std::uint32_t>();
    return true;
}

bool read_tasks(const json& body, std::vector<task_input>& tasks, std::string& error)
{
    const auto found = body.find("tasks");
    if (found == body.end() || !found->is_array() || found->empty() ||
        found->size() > max_tasks_per_job)
    {
        error = "tasks must be a list of 1 to " + std::to_string(max_tasks_per_job) + " tasks";
        return false;
    }
    for (const auto& item : *found)
    {
        const auto task_body = item.is_object() ? item.find("body") : item.end();
        if (!item.is_object() || task_body == item.end())
        {
            error = "each task must be an object with a body";
            return false;
        }
        task_input task;
        task.body = task_body->is_string() ? task_body->get<std::string>() : task_body->dump();
        constexpr std::uint32_t max_declared_ms = 3'600'000;
        if (!read_count(item, "declared_ms", max_declared_ms, task.declared_ms, error))
            return false;
        tasks.push_back(std::move(task));
    }
    return true;
}

} // namespace

bool parse_submission(const std::string& text, submission& job, std::string& error)
{
    const auto body = json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
    {
        error = "the body must be a JSON object";
        return false;
    }
    static constexpr std::array known_keys{"service", "team",        "labels",
                                           "tasks",   "deadline_ms", "idempotent"};
    for (const auto& [key, value] : body.items())
    {
        if (std::find(known_keys.begin(), known_keys.end(), key) != known_keys.end())
            continue;
        error = "unknown key " + key;
        return false;
    }
    const auto service = body.find("service");
    if (service == body.end() || !service->is_string())
    {
        error = "service must be a text";
        return false;
    }
    job.service = service->get<std::string>();
    const auto team = body.find("team");
    if (team != body.end() && !team->is_string())
    {
        error = "team must be a text";
        return false;
    }
    job.team = team == body.end() ? std::string("default") : team->get<std::string>();
    const auto idempotent = body.find("idempotent");
    if (idempotent != body.end() && !idempotent->is_boolean())
    {
        error = "idempotent must be true or false";
        return false;
    }
    job.idempotent = idempotent != body.end() && idempotent->get<bool>();
    constexpr auto max_deadline_ms =
        static_cast<std::uint32_t>(std::chrono::milliseconds(max_deadline).count());
    return read_count(body, "deadline_ms", max_deadline_ms, job.deadline_ms, error) &&
           read_labels(body, job.labels, error) && read_tasks(body, job.tasks, error);
}

std::string render_answer(const caller_response& response)
{
    nlohmann::ordered_json body;
    body["id"] = response.id;
    if (!response.reply)
    {
        body["outcome"] = "pending";
        return body.dump();
    }
    const auto& reply = *response.reply;
    body["outcome"] = std::string(to_string(reply.outcome));
    if (reply.outcome == outcome::complete)
        body["results"] = reply.results;
    else
        body["reason"] = std::string(to_string(reply.reason));
    if (reply.retry_after_ms > 0)
        body["retry_after_ms"] = reply.retry_after_ms;
    // Results of a backend server may contain bytes that are not valid UTF-8.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

int http_status(const caller_response& response)
{
    if (!response.reply)
        return 202;
    const auto& reply = *response.reply;
    switch (reply.outcome)
    {
    case outcome::complete:
        return 200;
    case outcome::failed:
        return 502;
    case outcome::unknown:
        return 504;
    case outcome::refused:
        break;
    }
    switch (reply.reason)
    {
    case reason::invalid_request:
        return 400;
    case reason::unauthorized:
        return 403;
    case reason::unknown_service:
    case reason::unknown_id:
        return 404;
    case reason::id_conflict:
    case reason::cancelled:
        return 409;
    case reason::no_matching_worker:
        return reply.retry_after_ms > 0 ? 503 : 422;
    case reason::queue_full:
    case reason::quota_exceeded:
        return 429;
    default:
        return 503;
    }
}

} // namespace tarragonlock
