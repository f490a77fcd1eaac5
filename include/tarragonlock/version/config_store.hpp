#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/version/store_client.hpp"

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// The document in the key-value service.
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
    conflict,  ///< another operator was first
    in_doubt   ///< no answer, and none could be had by reading either
};

struct apply_report
{
    apply_outcome outcome = apply_outcome::in_doubt;
    /// The document in the service after the call, as far as known.
    stored_document current;
};

/// Reads the operators' document.
/// @return the document, or a store_error
result<stored_document> read_document(store_connection& store);

/// Puts a document in place of the version it was written against.
///
/// Each call marks the document with an identifier of its own, by which it recognizes its own write
/// when the answer was lost.
/// @param base_version      version that must still be there
/// @param apply_id  unique for each call
/// @return what happened, or a store_error when the service could not be read at first
result<apply_report> apply_document(store_connection& store, const std::string& text,
                                    std::int64_t base_version, const std::string& apply_id);

/// @return the lines that differ, with - for the old and + for the new ones.
std::string diff_lines(const std::string& before, const std::string& after);

} // namespace tarragonlock
