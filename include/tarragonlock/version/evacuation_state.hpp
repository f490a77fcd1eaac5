#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace tarragonlock
{

/// Most failure domains that can be evacuated at a time, and the longest name of one in bytes. A
/// copy from a peer beyond these is malformed. A store key has at most 200 bytes.
inline constexpr std::size_t max_evacuated_domains = 1024;
inline constexpr std::size_t max_failure_domain_length = 200;

/// The failure domains that the operators have evacuated, as of a revision of the key-value
/// service. No task may be started on the workers of these domains.
class evacuation_state
{
public:
    evacuation_state() = default;
    /// @param revision  revision of the service at which the domains were evacuated; 0 when unknown
    evacuation_state(std::int64_t revision, std::set<std::string> failure_domains);

    std::int64_t revision() const { return revision_; }
    const std::set<std::string>& failure_domains() const { return failure_domains_; }
    bool contains(const std::string& failure_domain) const
    {
        return failure_domains_.contains(failure_domain);
    }
    /// @return this state with one domain evacuated, or used again, at a revision.
    evacuation_state with(std::int64_t revision, const std::string& failure_domain,
                          bool evacuated) const;

    friend bool operator==(const evacuation_state&, const evacuation_state&) = default;

private:
    std::int64_t revision_ = 0;
    std::set<std::string> failure_domains_;
};

/// Follows the evacuated domains of the key-value service. State from an earlier revision than the
/// known one is ignored, whether it comes from the service or from a peer.
class evacuation_tracker
{
public:
    const evacuation_state& current() const { return current_; }
    /// Applies a complete reading of the service, in which a removed evacuation is missing.
    /// @param revision  revision of the reading's first page; later changes follow separately
    /// @return whether the evacuated domains changed
    bool apply_snapshot(std::int64_t revision, std::set<std::string> failure_domains);
    /// Applies the change of one domain. Changes of one transaction have the same revision.
    /// @return whether the evacuated domains changed
    bool apply_change(std::int64_t revision, const std::string& failure_domain, bool evacuated);
    /// Applies a peer's state if it is newer.
    /// @return whether the evacuated domains changed
    bool apply_copy(const evacuation_state& copy);

private:
    bool replace(evacuation_state state);

    evacuation_state current_;
};

} // namespace tarragonlock
