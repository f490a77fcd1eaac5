#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/http_message.hpp"
#include "tarragonlock/process/task_host.hpp"
#include "tarragonlock/request/leased_job.hpp"
#include "tarragonlock/version/route_table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// Kind of a caller's request.
enum class caller_action : std::uint8_t
{
    submit,
    query_job,
    cancel_job,
    query_queue,
    unknown
};

/// Decodes callers' requests and encodes the answers to them.
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;
    /// @return the name of the HTTP header that holds how long the caller waits for the answer.
    virtual std::string deadline_header() const = 0;
    /// @param rest  part of the path after the queue's prefix
    virtual caller_action action(const http_request& request, std::string_view rest) const = 0;
    /// Decodes a submitted job.
    /// @param rest  part of the path after the queue's prefix, which contains the job's id
    /// @return the job; std::errc::not_supported for a job that the dispatcher cannot run, or
    ///         std::errc::invalid_argument for an invalid one
    virtual result<leased_job_request> decode_job(const http_request& request,
                                                  std::string_view rest) const = 0;
    virtual http_response job_ended(const leased_answer& answer) const = 0;
    virtual http_response job_running() const = 0;
    virtual http_response job_cancelled() const = 0;
    virtual http_response job_unknown() const = 0;
    virtual http_response queue_length(std::uint32_t jobs) const = 0;
    virtual http_response queue_unknown() const = 0;
    virtual http_response not_configured() const = 0;
    virtual http_response malformed() const = 0;
};

/// Decodes workers' announcements and encodes the answer to them.
class announcement_protocol
{
public:
    virtual ~announcement_protocol() = default;
    /// @return the announcement, or std::errc::invalid_argument
    virtual result<worker_announcement> decode(const http_request& request) const = 0;
    /// @return the id of the worker that announces its shutdown, or nothing for any other request.
    virtual std::optional<std::string> leaving_worker(const http_request& request) const = 0;
    virtual http_response acknowledged() const = 0;
};

/// Sends requests to the worker on this host. Every handler is called exactly once.
class worker_client
{
public:
    virtual ~worker_client() = default;
    using start_handler = std::function<void(start_reply, std::int64_t clock_ms)>;
    using stop_handler = std::function<void(stop_reply)>;
    using renewal_handler = std::function<void(const renewal_reply&)>;

    virtual void connect(const std::string& address) = 0;
    virtual void start(const start_request& request, start_handler on_reply) = 0;
    virtual void stop(const stop_request& request, stop_handler on_reply) = 0;
    virtual void renew(const renewal_request& request, renewal_handler on_reply) = 0;
    virtual void on_tick(instant now) = 0;
};

/// Decodes the operators' configuration from the store.
class configuration_format
{
public:
    virtual ~configuration_format() = default;
    /// @return the prefix of the store keys that hold the configuration and the evacuated domains.
    virtual std::string key_prefix() const = 0;
    virtual bool is_configuration(std::string_view key) const = 0;
    /// @return the failure domain that is evacuated while the key exists, or nothing for any other
    ///         key.
    virtual std::optional<std::string> evacuated_domain(std::string_view key) const = 0;
    /// @return the queues, or std::errc::invalid_argument
    virtual result<route_table> decode(const std::string& document) const = 0;
};

} // namespace tarragonlock
