#pragma once

#include "tarragonlock/common/diagnostic.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// Reads typed values out of a YAML mapping and collects every fault with its line and key.
class yaml_reader
{
public:
    /// @param node    the mapping to read
    /// @param path    path of the mapping, for messages; empty for the whole file
    /// @param errors  receives what is wrong; must outlive the reader
    yaml_reader(const YAML::Node& node, std::string file, std::string path, diagnostics& errors);

    /// Parses a whole file's text.
    /// @return the root, or nothing after adding a fault
    static std::optional<YAML::Node> parse(const std::string& text, const std::string& file,
                                           diagnostics& errors);

    /// Adds a fault for each key that is not in the list.
    void allow_only(std::initializer_list<std::string_view> keys);

    std::string text(std::string_view key, std::string_view fallback);
    std::string required_text(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min_value,
                         std::int64_t max_value);
    double number(std::string_view key, double fallback, double min_value, double max_value);
    bool boolean(std::string_view key, bool fallback);
    /// A mapping of scalars.
    std::map<std::string, std::string, std::less<>> scalar_map(std::string_view key);
    /// A sequence of scalars.
    std::vector<std::string> string_list(std::string_view key);
    /// The items of a sequence of mappings, each with its own reader.
    std::vector<yaml_reader> children(std::string_view key);
    /// A nested mapping; an empty one when the key is absent.
    yaml_reader child(std::string_view key);
    bool has(std::string_view key) const;

    /// Adds a fault at a key.
    void report_error(std::string_view key, std::string text);

private:
    YAML::Node find(std::string_view key) const;
    std::string path_of(std::string_view key) const;

    YAML::Node node_;
    std::string file_;
    std::string path_;
    diagnostics* errors_;
};

} // namespace tarragonlock
