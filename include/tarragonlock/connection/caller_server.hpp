#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/common/time.hpp"
#include "tarragonlock/request/job.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tarragonlock
{

/// A request of a caller.
struct caller_request
{
    enum class action_type : std::uint8_t
    {
        submit,
        submit_new, ///< submits a job whose identifier the entry generates
        query,
        cancel
    };

    action_type action = action_type::query;
    submission job;
    /// Longest time to wait for the job to end before responding.
    duration wait{};
    /// Bearer token; empty when the request had none.
    std::string token;
};

/// Response of the entry; without a reply the job is still in progress.
struct caller_response
{
    std::string id;
    std::optional<answer> reply;
};

/// Functions of the entry that the HTTP front end calls. Each may be called from any thread.
struct caller_handlers
{
    /// Blocks until there is a response.
    std::function<caller_response(caller_request)> handle_request;
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<std::string()> status;
    std::function<std::string(const std::string&)> describe_job;
    /// Makes the entry report itself as not ready and hand over its shards.
    std::function<void()> drain;
};

struct caller_server_options
{
    std::string listen;
    std::uint32_t threads = 256;
    std::size_t max_body_bytes = 4U << 20U;
};

/// HTTP front end of an entry; docs/API.md describes it.
class caller_server
{
public:
    /// @return the server, listening, or std::errc::address_in_use
    static result<std::unique_ptr<caller_server>> open(const caller_server_options& options,
                                                       caller_handlers handlers);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Accepts no new connections and waits for requests in progress.
    void stop();

private:
    class implementation;
    explicit caller_server(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

/// Parses the JSON body of a submission.
/// @param text   the body
/// @param job    receives the fields; its id stays as it is
/// @param error  receives a description of the error
/// @return whether the body is valid
bool parse_submission(const std::string& text, submission& job, std::string& error);

/// @return the JSON text of a response, with the outcome "pending" when there is no reply yet.
std::string render_answer(const caller_response& response);

/// @return the HTTP status of a response, fixed for each outcome and reason.
int http_status(const caller_response& response);

} // namespace tarragonlock
