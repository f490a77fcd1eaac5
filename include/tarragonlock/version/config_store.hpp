#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/version/store_client.hpp"

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// The operators' configuration document as stored in the key-value service.
struct stored_document
{
    /// Revision of the key; 0 when nothing was ever applied.
    std::int64_t version = 0;
    std::string text;
    friend bool operator==(const stored_document&, const stored_document&) = default;
};

enum class apply_outcome : std::uint8_t
{
    applied,
    unchanged, ///< the document in force is the same
    conflict,  ///< another document was stored since base_version
    in_doubt   ///< the write was not answered, and reads did not show its effect either
};

struct apply_report
{
    apply_outcome outcome = apply_outcome::in_doubt;
    /// The document in the service after the call, as far as known.
    stored_document current;
};

/// Reads the operators' configuration document.
/// @return the document, or a store_error
result<stored_document> read_document(store_connection& store);

/// Replaces the stored document if it still has the version that the new text is based on.
///
/// The document is stored together with the identifier of the call, so that the call can identify
/// its own write when the answer was lost.
/// @param base_version  version that the stored document must still have
/// @param apply_id      unique for each call
/// @return the outcome, or a store_error when the first read of the service failed
result<apply_report> apply_document(store_connection& store, const std::string& text,
                                    std::int64_t base_version, const std::string& apply_id);

/// @return the lines that differ, prefixed with - (old) or + (new).
std::string diff_lines(const std::string& before, const std::string& after);

} // namespace tarragonlock
