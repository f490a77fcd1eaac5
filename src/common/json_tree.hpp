#pragma once

#include <cstddef>
#include <limits>
#include <string_view>

namespace tarragonlock
{

/// Greatest nesting depth of arrays and objects that is parsed. Each level costs memory of many
/// times its one byte of text.
inline constexpr std::size_t max_json_depth = 64;
/// Most memory of a value of a parsed document, in bytes; an object of one field has several.
inline constexpr std::size_t json_value_bytes = 128;

/// Counts the values of a document without parsing it.
/// @return at least the number of values; the greatest number if the document is nested deeper than
///         max_json_depth
inline std::size_t count_json_values(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t values = 1;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (in_string && c == '\\')
            ++i;
        else if (c == '"')
            in_string = !in_string;
        else if (in_string)
            continue;
        // Each value but the first of its array or object follows a comma.
        else if (c == '[' || c == '{' || c == ',')
            ++values;
        if (!in_string && (c == '[' || c == '{') && ++depth > max_json_depth)
            return std::numeric_limits<std::size_t>::max();
        if (!in_string && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return values;
}

} // namespace tarragonlock
