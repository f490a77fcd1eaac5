#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// Prefix of job identifiers that an entry generates; callers may only resubmit those they
/// received.
inline constexpr std::string_view generated_job_id_prefix = "tl-";

/// A job identifier that an entry generated; always owned by the incarnation that generated it.
struct generated_job_id
{
    process_identity entry;
    std::uint64_t counter = 0;
    friend bool operator==(const generated_job_id&, const generated_job_id&) = default;
};

/// @return whether a text may be a job identifier: 1 to max_job_id_length of A-Z a-z 0-9 . _ -
bool is_valid_job_id(std::string_view text);

/// @return the textual form, `tl-<counter>-<incarnation>-<entry>`.
std::string to_string(const generated_job_id& id);

/// @return the parts of a generated identifier, or nothing for any other.
std::optional<generated_job_id> parse_generated_job_id(std::string_view text);

/// Extracts the creation time from a UUID version 7 (RFC 9562, section 5.7).
/// @return the time, or nothing when the text is not such a UUID
std::optional<unix_milliseconds> uuid7_time(std::string_view text);

} // namespace tarragonlock
