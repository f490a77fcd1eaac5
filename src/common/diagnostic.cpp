#include "tarragonlock/common/diagnostic.hpp"

namespace tarragonlock
{

std::string to_string(const diagnostic& error)
{
    auto text = error.file;
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    text += ": ";
    if (!error.key.empty())
        text += error.key + ": ";
    return text + error.text;
}

} // namespace tarragonlock
