#pragma once

#include "tarragonlock/common/diagnostic.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/version/selector.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Service level that operators promise to the callers of a service.
struct service_objective
{
    /// Longest response time of an answer that counts as in time, in milliseconds.
    std::uint32_t response_ms = 2000;
    /// Share of answers that must be complete and in time.
    double target = 0.99;
    friend bool operator==(const service_objective&, const service_objective&) = default;
};

struct service_declaration
{
    std::string name;
    label_set labels;
    service_objective objective;
    /// Deadline of jobs that specify none, in milliseconds.
    std::uint32_t default_deadline_ms = 30'000;
    /// Tasks of the service that may wait at one entry.
    std::uint32_t max_queued_tasks = 50'000;
    friend bool operator==(const service_declaration&, const service_declaration&) = default;
};

/// Routes the jobs that job_selector matches to the workers that worker_selector matches, with an
/// urgency. The first routing selector that matches a job applies.
struct routing_selector
{
    std::string name;
    selector job_selector;
    selector worker_selector;
    /// 0 (least) to 9 (most urgent); orders jobs within one team's share.
    std::uint32_t urgency = 5;
    friend bool operator==(const routing_selector&, const routing_selector&) = default;
};

struct team_declaration
{
    std::string name;
    /// Share of the slots relative to other teams while they compete for slots.
    double weight = 1.0;
    /// Largest number of the team's tasks that may wait at one entry.
    std::uint32_t max_queued_tasks = 20'000;
    /// SHA-256 of the team's bearer token in hexadecimal; empty when the team needs none.
    std::string token_sha256;
    friend bool operator==(const team_declaration&, const team_declaration&) = default;
};

/// Where a job may run and how urgent it is.
struct routing_rule
{
    /// Index in declarations::selectors() of the selector that applies, or no_selector.
    std::size_t selector_index = 0;
    std::uint32_t urgency = 5;
    friend bool operator==(const routing_rule&, const routing_rule&) = default;
};

inline constexpr std::size_t no_selector = static_cast<std::size_t>(-1);
/// Team of jobs that specify none.
inline constexpr std::string_view default_team = "default";

/// The operators' complete configuration, parsed from one validated document.
class declarations
{
public:
    /// Parses and validates a document.
    /// @param text    YAML
    /// @param file    file name for error messages
    /// @param errors  receives every error found, with file, line and key
    /// @return the document, or std::errc::invalid_argument when errors were added
    static result<declarations> parse(const std::string& text, const std::string& file,
                                      diagnostics& errors);

    const std::vector<service_declaration>& services() const { return services_; }
    const std::vector<routing_selector>& selectors() const { return selectors_; }
    const std::vector<team_declaration>& teams() const { return teams_; }

    /// @return the service, or nullptr.
    const service_declaration* find_service(std::string_view name) const;
    /// @return the team, or nullptr.
    const team_declaration* find_team(std::string_view name) const;
    /// @return the labels that selectors match for a job: its own, those of its service, and the
    ///         labels "service" and "team".
    label_set job_labels(const submission& job) const;
    /// Finds the first selector that matches a job.
    /// @param labels  as job_labels returns them
    routing_rule route(const label_set& labels) const;
    /// @return whether a rule allows a worker with these labels.
    bool allows(const routing_rule& rule, const label_set& worker_labels) const;

    friend bool operator==(const declarations&, const declarations&) = default;

private:
    std::vector<service_declaration> services_;
    std::vector<routing_selector> selectors_;
    std::vector<team_declaration> teams_;
};

} // namespace tarragonlock
