#include "tarragonlock/version/team_tokens.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace tarragonlock
{

std::string sha256_hex(const std::string& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

bool token_allows(const declarations& config, const std::string& team, const std::string& token)
{
    const auto* declared = config.find_team(team);
    if (declared == nullptr || declared->token_sha256.empty())
        return true;
    const auto expected = absl::AsciiStrToLower(declared->token_sha256);
    const auto given = sha256_hex(token);
    // Constant-time comparison: the duration does not reveal where the two differ.
    return CRYPTO_memcmp(expected.data(), given.data(), given.size()) == 0;
}

} // namespace tarragonlock
