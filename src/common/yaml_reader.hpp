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

/// Reads typed values from a YAML mapping and collects all errors with their line and key. A value
/// of the wrong type or out of range is reported, and the fallback is returned instead.
class yaml_reader
{
public:
    /// @param node    the mapping to read
    /// @param path    path of the mapping, for error messages; empty for the whole file
    /// @param errors  receives the errors; must outlive the reader
    yaml_reader(const YAML::Node& node, std::string file, std::string path, diagnostics& errors);

    /// Parses the content of a file.
    /// @param file  file name for error messages
    /// @return the root node, or nothing after adding a syntax error
    static std::optional<YAML::Node> parse(const std::string& text, const std::string& file,
                                           diagnostics& errors);

    /// Adds an error for each key that is not in the list.
    void allow_only(std::initializer_list<std::string_view> keys);

    std::string text(std::string_view key, std::string_view fallback);
    /// Adds an error when the text is missing or empty.
    std::string required_text(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min_value,
                         std::int64_t max_value);
    double number(std::string_view key, double fallback, double min_value, double max_value);
    bool boolean(std::string_view key, bool fallback);
    /// Reads a mapping of scalars; empty when the key is absent.
    std::map<std::string, std::string, std::less<>> scalar_map(std::string_view key);
    /// Reads a sequence of scalars; empty when the key is absent.
    std::vector<std::string> string_list(std::string_view key);
    /// @return a reader for each item of a sequence of mappings; none when the key is absent.
    std::vector<yaml_reader> children(std::string_view key);
    /// @return a reader for a nested mapping, which is empty when the key is absent.
    yaml_reader child(std::string_view key);
    bool has(std::string_view key) const;

    /// Adds an error at a key, or at the mapping when the key is absent.
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
