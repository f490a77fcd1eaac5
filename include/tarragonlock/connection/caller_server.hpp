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

/// Functions of the entry that the HTTP front end calls from its own thread. None may block: those
/// with a responder call it once, then or later, from any thread.
struct caller_handlers
{
    using text_responder = std::function<void(std::string)>;

    std::function<void(caller_request, std::function<void(caller_response)>)> handle_request;
    std::function<bool()> ready;
    std::function<void(text_responder)> metrics;
    std::function<void(text_responder)> status;
    std::function<void(const std::string& job, text_responder)> describe_job;
    /// Makes the entry report itself as not ready and hand over its shards; the text is empty.
    std::function<void(text_responder)> drain;
};

class connection_gate;

struct caller_server_options
{
    std::string listen;
    std::size_t max_body_bytes = 4U << 20U;
    /// Budget of the process for what clients send.
    std::shared_ptr<connection_gate> gate;
};

/// HTTP front end of an entry; docs/API.md describes it.
class caller_server
{
public:
    /// @return the server, listening, or the system's error
    static result<std::unique_ptr<caller_server>> open(const caller_server_options& options,
                                                       caller_handlers handlers);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Accepts no new connections and waits for requests in progress.
    /// @param max_wait  time after which requests without a response are dropped
    void stop(duration max_wait);

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
