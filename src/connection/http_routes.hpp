#pragma once

#include "tarragonlock/connection/http_message.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace tarragonlock
{

/// A route of a server whose requests are handled by member functions of Owner.
template<class Owner, class... Arguments>
struct http_route
{
    /// Ends a path whose last segment, which is not empty, is passed to the handler.
    static constexpr std::string_view segment = "{}";

    std::string_view method;
    std::string_view path;
    void (Owner::*handle)(Arguments..., const http_request&, std::string_view last_segment);

    /// @param target  path and query of a request
    /// @return the last segment, empty for a route without one; nothing if the route doesn't match
    std::optional<std::string_view> match(std::string_view request_method,
                                          std::string_view target) const
    {
        const auto requested = target.substr(0, target.find('?'));
        if (request_method != method)
            return std::nullopt;
        if (!path.ends_with(segment))
            return requested == path ? std::optional<std::string_view>("") : std::nullopt;
        const auto prefix = path.substr(0, path.size() - segment.size());
        if (!requested.starts_with(prefix) || requested.size() == prefix.size() ||
            requested.find('/', prefix.size()) != std::string_view::npos)
            return std::nullopt;
        return requested.substr(prefix.size());
    }
};

/// Calls the handler of the first route that matches.
/// @return whether there is one
template<class Owner, class... Arguments, std::size_t count>
bool handle_route(const std::array<http_route<Owner, Arguments...>, count>& routes, Owner& owner,
                  Arguments... arguments, const http_request& request)
{
    for (const auto& route : routes)
    {
        if (const auto last = route.match(request.method, request.target))
        {
            (owner.*route.handle)(arguments..., request, *last);
            return true;
        }
    }
    return false;
}

} // namespace tarragonlock
