#include "tarragonlock/version/declarations.hpp"

#include "common/yaml_reader.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>

namespace tarragonlock
{

namespace
{

constexpr std::int64_t max_urgency = 9;
constexpr std::size_t sha256_hex_length = 64;

service_declaration read_service(yaml_reader& reader)
{
    reader.allow_only({"name", "labels", "objective", "default_deadline_ms", "max_queued_tasks"});
    service_declaration service;
    service.name = reader.required_text("name");
    service.labels = reader.scalar_map("labels");
    auto objective = reader.child("objective");
    objective.allow_only({"response_ms", "target"});
    service.objective.response_ms =
        static_cast<std::uint32_t>(objective.integer("response_ms", 2000, 1, 600'000));
    service.objective.target = objective.number("target", 0.99, 0.5, 0.99999);
    service.default_deadline_ms =
        static_cast<std::uint32_t>(reader.integer("default_deadline_ms", 30'000, 1, 600'000));
    service.max_queued_tasks =
        static_cast<std::uint32_t>(reader.integer("max_queued_tasks", 50'000, 1, 10'000'000));
    return service;
}

selector read_selector(yaml_reader& reader, std::string_view key)
{
    const auto text = reader.text(key, "");
    auto parsed = selector::parse(text);
    if (!parsed)
    {
        reader.report_error(key, parsed.error().message());
        return {};
    }
    if (!parsed.value().satisfiable())
        reader.report_error(key,
                            fmt::format("can match nothing: the requirements of \"{}\" contradict "
                                        "each other; remove one of them",
                                        text));
    return std::move(parsed).value();
}

routing_selector read_routing_selector(yaml_reader& reader)
{
    reader.allow_only({"name", "work", "workers", "urgency"});
    routing_selector rule;
    rule.name = reader.required_text("name");
    rule.job_selector = read_selector(reader, "work");
    rule.worker_selector = read_selector(reader, "workers");
    rule.urgency = static_cast<std::uint32_t>(reader.integer("urgency", 5, 0, max_urgency));
    return rule;
}

team_declaration read_team(yaml_reader& reader)
{
    reader.allow_only({"name", "weight", "max_queued_tasks", "token_sha256"});
    team_declaration team;
    team.name = reader.required_text("name");
    team.weight = reader.number("weight", 1.0, 0.001, 1000.0);
    team.max_queued_tasks =
        static_cast<std::uint32_t>(reader.integer("max_queued_tasks", 20'000, 1, 10'000'000));
    team.token_sha256 = reader.text("token_sha256", "");
    const bool is_hash = team.token_sha256.size() == sha256_hex_length &&
                         std::all_of(team.token_sha256.begin(), team.token_sha256.end(),
                                     [](unsigned char c) { return std::isxdigit(c) != 0; });
    if (!team.token_sha256.empty() && !is_hash)
        reader.report_error("token_sha256", "must be the 64 hexadecimal digits of a SHA-256");
    return team;
}

/// Reports an error for each item that has the name of an earlier one.
template<class T>
void check_unique_names(const std::vector<T>& items, std::vector<yaml_reader>& readers)
{
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        const bool duplicate =
            std::any_of(items.begin(), items.begin() + static_cast<long>(i),
                        [&](const T& other) { return other.name == items[i].name; });
        if (duplicate && !items[i].name.empty())
            readers[i].report_error("name", fmt::format("\"{}\" is declared twice", items[i].name));
    }
}

/// Reports an error for each selector that an earlier one covers. It would never apply, and its
/// urgency would be ignored without notice.
void check_reachable(const std::vector<routing_selector>& rules, std::vector<yaml_reader>& readers)
{
    for (std::size_t later = 0; later < rules.size(); ++later)
    {
        for (std::size_t earlier = 0; earlier < later; ++earlier)
        {
            if (!rules[earlier].job_selector.covers(rules[later].job_selector))
                continue;
            const bool contradicts = rules[earlier].urgency != rules[later].urgency;
            readers[later].report_error(
                "work",
                fmt::format("can match nothing: \"{}\" comes first and matches all of it{}; "
                            "move this selector before it",
                            rules[earlier].name,
                            contradicts ? fmt::format(" with the contradictory urgency {}",
                                                      rules[earlier].urgency)
                                        : ""));
            break;
        }
    }
}

} // namespace

result<declarations> declarations::parse(const std::string& text, const std::string& file,
                                         diagnostics& errors)
{
    const auto before = errors.size();
    const auto invalid = std::make_error_code(std::errc::invalid_argument);
    const auto root = yaml_reader::parse(text, file, errors);
    if (!root)
        return invalid;
    yaml_reader reader(*root, file, "", errors);
    reader.allow_only({"services", "selectors", "teams"});
    declarations parsed;
    auto services = reader.children("services");
    for (auto& item : services)
        parsed.services_.push_back(read_service(item));
    auto selectors = reader.children("selectors");
    for (auto& item : selectors)
        parsed.selectors_.push_back(read_routing_selector(item));
    auto teams = reader.children("teams");
    for (auto& item : teams)
        parsed.teams_.push_back(read_team(item));
    if (parsed.services_.empty())
        reader.report_error("services", "at least one service is required");
    check_unique_names(parsed.services_, services);
    check_unique_names(parsed.selectors_, selectors);
    check_unique_names(parsed.teams_, teams);
    check_reachable(parsed.selectors_, selectors);
    if (errors.size() != before)
        return invalid;
    return parsed;
}

const service_declaration* declarations::find_service(std::string_view name) const
{
    const auto found = std::find_if(services_.begin(), services_.end(),
                                    [&](const auto& service) { return service.name == name; });
    return found == services_.end() ? nullptr : &*found;
}

const team_declaration* declarations::find_team(std::string_view name) const
{
    const auto found = std::find_if(teams_.begin(), teams_.end(),
                                    [&](const auto& team) { return team.name == name; });
    return found == teams_.end() ? nullptr : &*found;
}

label_set declarations::job_labels(const submission& job) const
{
    label_set labels = job.labels;
    if (const auto* service = find_service(job.service))
        labels.insert(service->labels.begin(), service->labels.end());
    labels.insert_or_assign("service", job.service);
    labels.insert_or_assign("team", job.team);
    return labels;
}

routing_rule declarations::route(const label_set& labels) const
{
    for (std::size_t i = 0; i < selectors_.size(); ++i)
    {
        if (selectors_[i].job_selector.matches(labels))
            return {i, selectors_[i].urgency};
    }
    return {no_selector, routing_rule{}.urgency};
}

bool declarations::allows(const routing_rule& rule, const label_set& worker_labels) const
{
    if (rule.selector_index == no_selector)
        return true;
    return selectors_[rule.selector_index].worker_selector.matches(worker_labels);
}

} // namespace tarragonlock
