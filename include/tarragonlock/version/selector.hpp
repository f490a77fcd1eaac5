#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/request/job.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock
{

/// Why a text is not a valid selector.
enum class selector_error
{
    empty_requirement = 1,
    bad_key,
    bad_value,
    unclosed_list,
    empty_list,
    unexpected_text
};

std::error_code make_error_code(selector_error error);

/// How a requirement compares a label with its values.
enum class selector_operator : std::uint8_t
{
    in,        ///< the label is present with one of the values
    not_in,    ///< the label is absent or has another value
    exists,    ///< the label is present
    not_exists ///< the label is absent
};

/// One condition on one label.
struct requirement
{
    std::string key;
    selector_operator op = selector_operator::exists;
    std::set<std::string, std::less<>> values;

    /// @return whether the labels satisfy the condition.
    bool matches(const label_set& labels) const;
    friend auto operator<=>(const requirement&, const requirement&) = default;
};

/// A conjunction of requirements over labels; the empty selector matches everything.
///
/// Grammar: `selector = [requirement *("," requirement)]`, where a requirement is `key=value`,
/// `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key` or `!key`.
class selector
{
public:
    /// Parses the textual form.
    /// @return the selector, or a selector_error
    static result<selector> parse(std::string_view text);

    /// @param value  any text, which is compared as it is
    /// @return the selector that requires the label to have this value
    static selector equal(std::string key, std::string value);

    bool matches(const label_set& labels) const;

    /// @return whether some set of labels satisfies this selector.
    bool satisfiable() const;

    /// @return whether every set of labels that other matches is matched by this selector too.
    ///         Conservative: may return false for a selector that is covered, but never returns
    ///         true for one that is not.
    bool covers(const selector& other) const;

    /// @return a selector that matches what both match.
    selector intersection(const selector& other) const;

    const std::vector<requirement>& requirements() const { return requirements_; }

    friend bool operator==(const selector&, const selector&) = default;

private:
    std::vector<requirement> requirements_;
};

} // namespace tarragonlock

template<>
struct std::is_error_code_enum<tarragonlock::selector_error> : std::true_type
{
};
