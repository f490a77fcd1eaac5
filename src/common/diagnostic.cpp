#include "tarragonlock/common/diagnostic.hpp"

namespace tarragonlock
{

std::string to_string(const diagnostic& fault)
{
    auto text = fault.file;
    if (fault.line > 0)
        text += ":" + std::to_string(fault.line);
    text += ": ";
    if (!fault.key.empty())
        text += fault.key + ": ";
    return text + fault.text;
}

} // namespace tarragonlock
