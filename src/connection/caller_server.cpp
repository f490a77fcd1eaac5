#include "tarragonlock/connection/caller_server.hpp"

#include "connection/http_server.hpp"
#include "tarragonlock/request/job_id.hpp"

#include <charconv>

namespace tarragonlock
{

namespace
{

constexpr auto max_wait = std::chrono::milliseconds(600'000);

/// @return the wait_ms parameter, at most max_wait, or the fallback when it is missing or
/// malformed.
duration requested_wait(const httplib::Request& request, duration fallback)
{
    if (!request.has_param("wait_ms"))
        return fallback;
    const auto text = request.get_param_value("wait_ms");
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size())
        return fallback;
    return std::min<duration>(std::chrono::milliseconds(milliseconds), max_wait);
}

std::string bearer_token(const httplib::Request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    auto header = request.get_header_value("Authorization");
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string();
}

void write_response(httplib::Response& response, const caller_response& job_response)
{
    response.status = http_status(job_response);
    response.set_content(render_answer(job_response), "application/json");
    if (job_response.reply && job_response.reply->retry_after_ms > 0)
    {
        const auto seconds = (job_response.reply->retry_after_ms + 999) / 1000;
        response.set_header("Retry-After", std::to_string(seconds));
    }
}

void write_invalid_request(httplib::Response& response, const std::string& id,
                           const std::string& error)
{
    caller_response refused{id, answer{id, outcome::refused, reason::invalid_request, {}, 0}};
    write_response(response, refused);
    auto body = render_answer(refused);
    body.pop_back();
    std::string escaped;
    for (const char c : error)
        escaped += c == '"' || c == '\\' ? ' ' : c;
    response.set_content(body + ",\"detail\":\"" + escaped + "\"}", "application/json");
}

} // namespace

class caller_server::implementation
{
public:
    implementation(const caller_server_options& options, caller_handlers handlers)
        : handlers_(std::move(handlers)), server_(options.threads, options.max_body_bytes)
    {
        auto& routes = server_.routes();
        const std::string job = R"(/v1/jobs/([^/]+))";
        // Bodies are read with a content reader, because httplib limits bodies with the content
        // type of a form, which curl sends by default, to 8 KB.
        routes.Put(job, [this](const auto& request, auto& response, const auto& reader)
                   { submit(request, response, request.matches[1].str(), reader); });
        routes.Post("/v1/jobs", [this](const auto& request, auto& response, const auto& reader)
                    { submit(request, response, "", reader); });
        routes.Get(job, [this](const auto& request, auto& response)
                   { control(request, response, caller_request::action_type::query); });
        routes.Delete(job, [this](const auto& request, auto& response)
                      { control(request, response, caller_request::action_type::cancel); });
        routes.Get("/readyz",
                   [this](const auto&, auto& response)
                   {
                       const bool ready = handlers_.ready();
                       response.status = ready ? 200 : 503;
                       response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
                   });
        routes.Get("/metrics", [this](const auto&, auto& response)
                   { response.set_content(handlers_.metrics(), "text/plain; version=0.0.4"); });
        routes.Get("/v1/status", [this](const auto&, auto& response)
                   { response.set_content(handlers_.status(), "application/json"); });
        routes.Put("/v1/drain",
                   [this](const auto&, auto& response)
                   {
                       handlers_.drain();
                       response.set_content("{}", "application/json");
                   });
        routes.Get(R"(/v1/status/jobs/([^/]+))",
                   [this](const auto& request, auto& response) {
                       response.set_content(handlers_.describe_job(request.matches[1].str()) + "\n",
                                            "text/plain");
                   });
    }

    bool start(const std::string& listen) { return server_.start(listen); }
    void stop() { server_.stop(); }

private:
    void submit(const httplib::Request& request, httplib::Response& response, const std::string& id,
                const httplib::ContentReader& reader)
    {
        std::string body;
        const bool complete = reader(
            [&](const char* data, std::size_t size)
            {
                body.append(data, size);
                return true;
            });
        if (!complete)
        {
            write_invalid_request(response, id, "the body is too large or incomplete");
            response.status = 413;
            return;
        }
        if (!id.empty() && !is_valid_job_id(id))
            return write_invalid_request(response, "",
                                         "the id may hold 1 to 96 of A-Z a-z 0-9 . _ -");
        caller_request parsed;
        parsed.action = id.empty() ? caller_request::action_type::submit_new
                                   : caller_request::action_type::submit;
        parsed.job.id = id;
        parsed.token = bearer_token(request);
        std::string error;
        if (!parse_submission(body, parsed.job, error))
            return write_invalid_request(response, id, error);
        parsed.wait = requested_wait(request, max_wait);
        write_response(response, handlers_.handle_request(std::move(parsed)));
    }

    void control(const httplib::Request& request, httplib::Response& response,
                 caller_request::action_type action)
    {
        const auto id = request.matches[1].str();
        if (!is_valid_job_id(id))
            return write_invalid_request(response, "",
                                         "the id may hold 1 to 96 of A-Z a-z 0-9 . _ -");
        caller_request parsed;
        parsed.action = action;
        parsed.job.id = id;
        parsed.wait = requested_wait(request, duration(0));
        write_response(response, handlers_.handle_request(std::move(parsed)));
    }

    caller_handlers handlers_;
    http_server server_;
};

caller_server::caller_server(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}

caller_server::~caller_server() = default;

result<std::unique_ptr<caller_server>> caller_server::open(const caller_server_options& options,
                                                           caller_handlers handlers)
{
    auto impl = std::make_unique<implementation>(options, std::move(handlers));
    if (!impl->start(options.listen))
        return std::make_error_code(std::errc::address_in_use);
    return std::unique_ptr<caller_server>(new caller_server(std::move(impl)));
}

void caller_server::stop()
{
    impl_->stop();
}

} // namespace tarragonlock
