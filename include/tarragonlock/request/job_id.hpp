#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// Start of identifiers that an entry chose; callers may only repeat them.
inline constexpr std::string_view minted_prefix = "tl-";

/// An identifier that an entry chose. It belongs to that incarnation for good.
struct minted_id
{
    process_id entry;
    std::uint64_t counter = 0;
    friend bool operator==(const minted_id&, const minted_id&) = default;
};

/// @return whether a text may be a job identifier: 1 to max_job_id_length of A-Z a-z 0-9 . _ -
bool is_valid_job_id(std::string_view text);

/// @return the textual form, `tl-<counter>-<incarnation>-<entry>`.
std::string to_string(const minted_id& id);

/// @return the parts of a minted identifier, or nothing for any other.
std::optional<minted_id> parse_minted_id(std::string_view text);

/// Reads the creation time out of a UUID version 7 (RFC 9562, section 5.7).
/// @return the time, or nothing when the text is not one
std::optional<unix_milliseconds> uuid7_time(std::string_view text);

} // namespace tarragonlock
