#include "common/yaml_reader.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace tarragonlock
{

yaml_reader::yaml_reader(const YAML::Node& node, std::string file, std::string path,
                         diagnostics& errors)
    : node_(node), file_(std::move(file)), path_(std::move(path)), errors_(&errors)
{
    if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap())
    {
        errors_->push_back({file_, node_.Mark().line + 1, path_, "must be a mapping of keys"});
        node_.reset();
    }
}

std::optional<YAML::Node> yaml_reader::parse(const std::string& text, const std::string& file,
                                             diagnostics& errors)
{
    try
    {
        return YAML::Load(text);
    }
    catch (const YAML::Exception& error)
    {
        errors.push_back({file, error.mark.line + 1, "", error.msg});
        return std::nullopt;
    }
}

YAML::Node yaml_reader::find(std::string_view key) const
{
    if (!node_.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    // The const operator[] does not insert a missing key.
    const YAML::Node& const_node = node_;
    return const_node[std::string(key)];
}

std::string yaml_reader::path_of(std::string_view key) const
{
    if (path_.empty())
        return std::string(key);
    return key.empty() ? path_ : path_ + "." + std::string(key);
}

void yaml_reader::report_error(std::string_view key, std::string text)
{
    const auto at = find(key);
    const int line = at.IsDefined() ? at.Mark().line : node_.Mark().line;
    errors_->push_back({file_, line + 1, path_of(key), std::move(text)});
}

void yaml_reader::allow_only(std::initializer_list<std::string_view> keys)
{
    if (!node_.IsMap())
        return;
    for (const auto& entry : node_)
    {
        const auto key = entry.first.as<std::string>();
        if (std::find(keys.begin(), keys.end(), key) != keys.end())
            continue;
        errors_->push_back({file_, entry.first.Mark().line + 1, path_of(key),
                            fmt::format("unknown key; known here: {}", fmt::join(keys, ", "))});
    }
}

bool yaml_reader::has(std::string_view key) const
{
    return find(key).IsDefined();
}

std::string yaml_reader::text(std::string_view key, std::string_view fallback)
{
    const auto value = find(key);
    if (!value.IsDefined())
        return std::string(fallback);
    if (value.IsScalar())
        return value.Scalar();
    report_error(key, "must be a string");
    return std::string(fallback);
}

std::string yaml_reader::required_text(std::string_view key)
{
    auto value = text(key, "");
    if (value.empty())
        report_error(key, "is required");
    return value;
}

std::int64_t yaml_reader::integer(std::string_view key, std::int64_t fallback,
                                  std::int64_t min_value, std::int64_t max_value)
{
    const auto value = find(key);
    if (!value.IsDefined())
        return fallback;
    std::int64_t number = 0;
    if (value.IsScalar() && YAML::convert<std::int64_t>::decode(value, number) &&
        number >= min_value && number <= max_value)
        return number;
    report_error(key, fmt::format("must be a whole number from {} to {}", min_value, max_value));
    return fallback;
}

double yaml_reader::number(std::string_view key, double fallback, double min_value,
                           double max_value)
{
    const auto value = find(key);
    if (!value.IsDefined())
        return fallback;
    double number = 0;
    if (value.IsScalar() && YAML::convert<double>::decode(value, number) && number >= min_value &&
        number <= max_value)
        return number;
    report_error(key, fmt::format("must be a number from {} to {}", min_value, max_value));
    return fallback;
}

bool yaml_reader::boolean(std::string_view key, bool fallback)
{
    const auto value = find(key);
    if (!value.IsDefined())
        return fallback;
    bool flag = false;
    if (value.IsScalar() && YAML::convert<bool>::decode(value, flag))
        return flag;
    report_error(key, "must be true or false");
    return fallback;
}

std::map<std::string, std::string, std::less<>> yaml_reader::scalar_map(std::string_view key)
{
    std::map<std::string, std::string, std::less<>> values;
    const auto mapping = find(key);
    if (!mapping.IsDefined())
        return values;
    if (!mapping.IsMap())
    {
        report_error(key, "must be a mapping of strings");
        return values;
    }
    for (const auto& entry : mapping)
    {
        if (entry.second.IsScalar())
            values.emplace(entry.first.as<std::string>(), entry.second.Scalar());
        else
            report_error(key, "must be a mapping of strings");
    }
    return values;
}

std::vector<std::string> yaml_reader::string_list(std::string_view key)
{
    std::vector<std::string> values;
    const auto sequence = find(key);
    if (!sequence.IsDefined())
        return values;
    if (!sequence.IsSequence())
        report_error(key, "must be a list of strings");
    for (const auto& item : sequence)
        values.push_back(item.as<std::string>(""));
    return values;
}

std::vector<yaml_reader> yaml_reader::children(std::string_view key)
{
    std::vector<yaml_reader> readers;
    const auto sequence = find(key);
    if (!sequence.IsDefined())
        return readers;
    if (!sequence.IsSequence())
    {
        report_error(key, "must be a list");
        return readers;
    }
    for (std::size_t i = 0; i < sequence.size(); ++i)
        readers.emplace_back(sequence[i], file_, fmt::format("{}[{}]", path_of(key), i), *errors_);
    return readers;
}

yaml_reader yaml_reader::child(std::string_view key)
{
    auto node = find(key);
    return {node.IsDefined() ? node : YAML::Node(), file_, path_of(key), *errors_};
}

} // namespace tarragonlock
