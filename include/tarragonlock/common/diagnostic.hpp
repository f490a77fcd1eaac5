#pragma once

#include <string>
#include <vector>

namespace tarragonlock
{

/// One error in a settings or declarations file.
struct diagnostic
{
    std::string file;
    /// Line number from 1; 0 when the error belongs to no line.
    int line = 0;
    /// Path of the key, such as "services[0].objective.p99_ms".
    std::string key;
    /// What is wrong and which values are allowed.
    std::string text;

    friend bool operator==(const diagnostic&, const diagnostic&) = default;
};

using diagnostics = std::vector<diagnostic>;

/// @return "file:line: key: text"
std::string to_string(const diagnostic& error);

} // namespace tarragonlock
