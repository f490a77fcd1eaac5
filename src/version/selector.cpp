#include "tarragonlock/version/selector.hpp"

#include <algorithm>
#include <cctype>
#include <optional>

namespace tarragonlock
{

namespace
{

class selector_category : public std::error_category
{
public:
    const char* name() const noexcept override { return "tarragonlock.selector"; }
    std::string message(int value) const override
    {
        switch (static_cast<selector_error>(value))
        {
        case selector_error::empty_requirement:
            return "a requirement is empty; write key=value, key in (a, b), key or !key";
        case selector_error::bad_key:
            return "a label key may contain only letters, digits and . _ - /";
        case selector_error::bad_value:
            return "a label value may contain only letters, digits and . _ -";
        case selector_error::unclosed_list:
            return "a list of values must be in parentheses, as in key in (a, b)";
        case selector_error::empty_list:
            return "a list of values is empty";
        case selector_error::unexpected_text:
            return "unexpected text after a requirement";
        }
        return "unknown selector error";
    }
};

bool is_label_text(std::string_view text, std::string_view punctuation)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [&](unsigned char c)
                       {
                           return std::isalnum(c) != 0 ||
                                  punctuation.find(static_cast<char>(c)) != std::string_view::npos;
                       });
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\n";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Splits at commas outside parentheses.
std::vector<std::string_view> split_requirements(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    int depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '(')
            ++depth;
        if (text[i] == ')')
            --depth;
        if (text[i] != ',' || depth > 0)
            continue;
        parts.push_back(text.substr(start, i - start));
        start = i + 1;
    }
    parts.push_back(text.substr(start));
    return parts;
}

result<requirement> make_requirement(std::string_view key, selector_operator op,
                                     const std::vector<std::string_view>& values)
{
    requirement condition;
    if (!is_label_text(key, "._-/"))
        return make_error_code(selector_error::bad_key);
    condition.key = key;
    condition.op = op;
    for (const auto value : values)
    {
        if (!is_label_text(value, "._-"))
            return make_error_code(selector_error::bad_value);
        condition.values.emplace(value);
    }
    return condition;
}

result<requirement> parse_list(std::string_view key, selector_operator op, std::string_view list)
{
    if (list.size() < 2 || list.front() != '(' || list.back() != ')')
        return make_error_code(selector_error::unclosed_list);
    const auto inner = trim(list.substr(1, list.size() - 2));
    if (inner.empty())
        return make_error_code(selector_error::empty_list);
    std::vector<std::string_view> values;
    for (const auto part : split_requirements(inner))
        values.push_back(trim(part));
    return make_requirement(key, op, values);
}

result<requirement> parse_requirement(std::string_view text)
{
    if (text.empty())
        return make_error_code(selector_error::empty_requirement);
    if (const auto at = text.find("!="); at != std::string_view::npos)
        return make_requirement(trim(text.substr(0, at)), selector_operator::not_in,
                                {trim(text.substr(at + 2))});
    if (const auto at = text.find('='); at != std::string_view::npos)
    {
        const std::size_t width = text.substr(at).starts_with("==") ? 2 : 1;
        return make_requirement(trim(text.substr(0, at)), selector_operator::in,
                                {trim(text.substr(at + width))});
    }
    if (text.front() == '!')
        return make_requirement(trim(text.substr(1)), selector_operator::not_exists, {});
    const auto key_end = text.find_first_of(" \t(");
    if (key_end == std::string_view::npos)
        return make_requirement(text, selector_operator::exists, {});
    const auto key = text.substr(0, key_end);
    const auto rest = trim(text.substr(key_end));
    if (rest.starts_with("in"))
        return parse_list(key, selector_operator::in, trim(rest.substr(2)));
    if (rest.starts_with("notin"))
        return parse_list(key, selector_operator::not_in, trim(rest.substr(5)));
    return make_error_code(selector_error::unexpected_text);
}

/// Label values that a conjunction of requirements allows for one key.
struct allowed_values
{
    bool may_be_absent = true;
    bool may_be_present = true;
    std::optional<std::set<std::string, std::less<>>> allowed;
    std::set<std::string, std::less<>> excluded;

    void add(const requirement& condition)
    {
        switch (condition.op)
        {
        case selector_operator::exists:
            may_be_absent = false;
            return;
        case selector_operator::not_exists:
            may_be_present = false;
            return;
        case selector_operator::not_in:
            excluded.insert(condition.values.begin(), condition.values.end());
            return;
        case selector_operator::in:
            may_be_absent = false;
            if (!allowed)
                allowed = condition.values;
            else
                std::erase_if(*allowed,
                              [&](const auto& v) { return !condition.values.contains(v); });
            return;
        }
    }

    bool satisfiable() const
    {
        if (may_be_absent)
            return true;
        if (!may_be_present)
            return false;
        if (!allowed)
            return true;
        return std::any_of(allowed->begin(), allowed->end(),
                           [&](const auto& v) { return !excluded.contains(v); });
    }
};

/// @return whether every label set that the narrow condition accepts is accepted by the wide one.
bool implies(const requirement& narrow, const requirement& wide)
{
    if (narrow.key != wide.key)
        return false;
    const auto subset = [](const auto& inner, const auto& outer)
    { return std::includes(outer.begin(), outer.end(), inner.begin(), inner.end()); };
    switch (wide.op)
    {
    case selector_operator::exists:
        return narrow.op == selector_operator::exists || narrow.op == selector_operator::in;
    case selector_operator::not_exists:
        return narrow.op == selector_operator::not_exists;
    case selector_operator::in:
        return narrow.op == selector_operator::in && subset(narrow.values, wide.values);
    case selector_operator::not_in:
        if (narrow.op == selector_operator::not_exists)
            return true;
        if (narrow.op == selector_operator::not_in)
            return subset(wide.values, narrow.values);
        return narrow.op == selector_operator::in &&
               std::none_of(narrow.values.begin(), narrow.values.end(),
                            [&](const auto& v) { return wide.values.contains(v); });
    }
    return false;
}

} // namespace

std::error_code make_error_code(selector_error error)
{
    static const selector_category category;
    return {static_cast<int>(error), category};
}

bool requirement::matches(const label_set& labels) const
{
    const auto found = labels.find(key);
    const bool present = found != labels.end();
    switch (op)
    {
    case selector_operator::in:
        return present && values.contains(found->second);
    case selector_operator::not_in:
        return !present || !values.contains(found->second);
    case selector_operator::exists:
        return present;
    case selector_operator::not_exists:
        return !present;
    }
    return false;
}

result<selector> selector::parse(std::string_view text)
{
    selector parsed;
    if (trim(text).empty())
        return parsed;
    for (const auto part : split_requirements(text))
    {
        auto condition = parse_requirement(trim(part));
        if (!condition)
            return condition.error();
        parsed.requirements_.push_back(std::move(condition).value());
    }
    std::sort(parsed.requirements_.begin(), parsed.requirements_.end());
    return parsed;
}

selector selector::equal(std::string key, std::string value)
{
    selector made;
    made.requirements_.push_back({std::move(key), selector_operator::in, {std::move(value)}});
    return made;
}

bool selector::matches(const label_set& labels) const
{
    return std::all_of(requirements_.begin(), requirements_.end(),
                       [&](const auto& condition) { return condition.matches(labels); });
}

bool selector::satisfiable() const
{
    std::map<std::string, allowed_values> values_by_key;
    for (const auto& condition : requirements_)
        values_by_key[condition.key].add(condition);
    return std::all_of(values_by_key.begin(), values_by_key.end(),
                       [](const auto& item) { return item.second.satisfiable(); });
}

bool selector::covers(const selector& other) const
{
    return std::all_of(requirements_.begin(), requirements_.end(),
                       [&](const auto& wide)
                       {
                           return std::any_of(
                               other.requirements_.begin(), other.requirements_.end(),
                               [&](const auto& narrow) { return implies(narrow, wide); });
                       });
}

selector selector::intersection(const selector& other) const
{
    selector both = *this;
    both.requirements_.insert(both.requirements_.end(), other.requirements_.begin(),
                              other.requirements_.end());
    std::sort(both.requirements_.begin(), both.requirements_.end());
    return both;
}

} // namespace tarragonlock
