#include "tarragonlock/connection/caller_server.hpp"

#include "common/json_tree.hpp"
#include "connection/http_routes.hpp"
#include "connection/threaded_http_server.hpp"
#include "tarragonlock/request/job_id.hpp"

#include <array>
#include <charconv>
#include <limits>

namespace tarragonlock
{

namespace
{

constexpr auto max_wait = std::chrono::milliseconds(600'000);

/// @return the wait_ms parameter of the query, at most max_wait, or the fallback when it is missing
/// or
///         malformed.
duration requested_wait(const http_request& request, duration fallback)
{
    constexpr std::string_view parameter = "wait_ms=";
    const std::string_view target = request.target;
    for (auto at = target.find('?'); at != std::string_view::npos; at = target.find('&', at + 1))
    {
        const auto text = target.substr(at + 1, target.find('&', at + 1) - at - 1);
        if (!text.starts_with(parameter))
            continue;
        std::uint32_t milliseconds = 0;
        const auto* const last = text.data() + text.size();
        const auto [end, error] =
            std::from_chars(text.data() + parameter.size(), last, milliseconds);
        if (error != std::errc() || end != last)
            return fallback;
        return std::min<duration>(std::chrono::milliseconds(milliseconds), max_wait);
    }
    return fallback;
}

std::string bearer_token(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto& header = request.authorization;
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string();
}

http_response job_response(const caller_response& answered)
{
    const auto retry_after_ms = answered.reply ? answered.reply->retry_after_ms : 0;
    return {static_cast<unsigned>(http_status(answered)), render_answer(answered),
            "application/json", retry_after_ms};
}

http_response invalid_request(const std::string& id, const std::string& error)
{
    auto refused = job_response({id, answer{id, outcome::refused, reason::invalid_request, {}, 0}});
    refused.body.pop_back();
    std::string escaped;
    for (const char c : error)
        escaped += c == '"' || c == '\\' || static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    refused.body += ",\"detail\":\"" + escaped + "\"}";
    return refused;
}

constexpr auto invalid_id_text = "the id may hold 1 to 96 of A-Z a-z 0-9 . _ -";

} // namespace

class caller_server::implementation
{
public:
    explicit implementation(caller_handlers handlers) : handlers_(std::move(handlers)) {}

    result<void> open(const caller_server_options& options)
    {
        auto opened = threaded_http_server::open(
            {options.listen, "", options.max_body_bytes, options.gate},
            [this](http_request_id id, const http_request& request) { handle(id, request); });
        if (!opened)
            return opened.error();
        server_ = std::move(opened).value();
        server_->start();
        return boost::outcome_v2::success();
    }
    void stop(duration max_wait) { server_->stop(max_wait); }

private:
    using route = http_route<implementation, http_request_id>;
    static const std::array<route, 10> routes;

    void handle(http_request_id id, const http_request& request)
    {
        if (!handle_route<implementation, http_request_id>(routes, *this, id, request))
            server_->respond(id, {404, "", "", 0});
    }

    void submit_new(http_request_id id, const http_request& request, std::string_view)
    {
        submit(id, request, caller_request::action_type::submit_new, "");
    }

    void submit_named(http_request_id id, const http_request& request, std::string_view job)
    {
        if (!is_valid_job_id(job))
            return server_->respond(id, invalid_request("", invalid_id_text));
        submit(id, request, caller_request::action_type::submit, std::string(job));
    }

    void submit(http_request_id id, const http_request& request, caller_request::action_type action,
                std::string job)
    {
        caller_request parsed;
        parsed.action = action;
        parsed.job.id = std::move(job);
        parsed.token = bearer_token(request);
        const auto values = count_json_values(request.body);
        if (values == std::numeric_limits<std::size_t>::max())
            return server_->respond(id,
                                    invalid_request(parsed.job.id, "the body is nested too deep"));
        // No status: the job may be in progress, which a refusal as not run would deny.
        if (!server_->reserve(id, request.body.size() + values * json_value_bytes))
            return server_->abandon(id);
        std::string error;
        if (!parse_submission(request.body, parsed.job, error))
            return server_->respond(id, invalid_request(parsed.job.id, error));
        server_->reserve(id, request.body.size());
        parsed.wait = requested_wait(request, max_wait);
        request_of_job(id, std::move(parsed));
    }

    void query(http_request_id id, const http_request& request, std::string_view job)
    {
        control(id, request, job, caller_request::action_type::query);
    }

    void cancel(http_request_id id, const http_request& request, std::string_view job)
    {
        control(id, request, job, caller_request::action_type::cancel);
    }

    void control(http_request_id id, const http_request& request, std::string_view job,
                 caller_request::action_type action)
    {
        if (!is_valid_job_id(job))
            return server_->respond(id, invalid_request("", invalid_id_text));
        caller_request parsed;
        parsed.action = action;
        parsed.job.id = std::string(job);
        parsed.wait = requested_wait(request, duration(0));
        request_of_job(id, std::move(parsed));
    }

    void request_of_job(http_request_id id, caller_request request)
    {
        handlers_.handle_request(std::move(request), [this, id](const caller_response& answered)
                                 { server_->respond(id, job_response(answered)); });
    }

    void health(http_request_id id, const http_request&, std::string_view)
    {
        server_->respond(id, {200, "ok\n", "text/plain", 0});
    }

    void readiness(http_request_id id, const http_request&, std::string_view)
    {
        const bool ready = handlers_.ready();
        server_->respond(id,
                         {ready ? 200U : 503U, ready ? "ready\n" : "not ready\n", "text/plain", 0});
    }

    void metrics(http_request_id id, const http_request&, std::string_view)
    {
        handlers_.metrics(text_response(id, "text/plain; version=0.0.4"));
    }

    void status(http_request_id id, const http_request&, std::string_view)
    {
        handlers_.status(text_response(id, "application/json"));
    }

    void job_status(http_request_id id, const http_request&, std::string_view job)
    {
        handlers_.describe_job(std::string(job),
                               [this, id](const std::string& text) {
                                   server_->respond(id, {200, text + "\n", "text/plain", 0});
                               });
    }

    void drain(http_request_id id, const http_request&, std::string_view)
    {
        handlers_.drain(
            [this, id](const std::string&) {
                server_->respond(id, {200, "{}", "application/json", 0});
            });
    }

    caller_handlers::text_responder text_response(http_request_id id, const char* content_type)
    {
        return [this, id, content_type](std::string text) {
            server_->respond(id, {200, std::move(text), content_type, 0});
        };
    }

    caller_handlers handlers_;
    std::unique_ptr<threaded_http_server> server_;
};

const std::array<caller_server::implementation::route, 10> caller_server::implementation::routes{{
    {"PUT", "/v1/jobs/{}", &implementation::submit_named},
    {"POST", "/v1/jobs", &implementation::submit_new},
    {"GET", "/v1/jobs/{}", &implementation::query},
    {"DELETE", "/v1/jobs/{}", &implementation::cancel},
    {"GET", "/healthz", &implementation::health},
    {"GET", "/readyz", &implementation::readiness},
    {"GET", "/metrics", &implementation::metrics},
    {"GET", "/v1/status", &implementation::status},
    {"GET", "/v1/status/jobs/{}", &implementation::job_status},
    {"PUT", "/v1/drain", &implementation::drain},
}};

caller_server::caller_server(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}

caller_server::~caller_server() = default;

result<std::unique_ptr<caller_server>> caller_server::open(const caller_server_options& options,
                                                           caller_handlers handlers)
{
    auto impl = std::make_unique<implementation>(std::move(handlers));
    if (const auto opened = impl->open(options); !opened)
        return opened.error();
    return std::unique_ptr<caller_server>(new caller_server(std::move(impl)));
}

void caller_server::stop(duration max_wait)
{
    impl_->stop(max_wait);
}

} // namespace tarragonlock
