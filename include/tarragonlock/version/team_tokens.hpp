#pragma once

#include "tarragonlock/version/declarations.hpp"

#include <string>

namespace tarragonlock
{

/// @return the SHA-256 of a text in hexadecimal.
std::string sha256_hex(const std::string& text);

/// @return whether a caller with this bearer token may submit for a team. Teams that declare no
///         token accept any caller.
bool token_allows(const declarations& config, const std::string& team, const std::string& token);

} // namespace tarragonlock
