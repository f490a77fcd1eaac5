#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// Why bytes from a peer were not a message.
enum class codec_error
{
    truncated = 1,
    unknown_type, ///< also a value outside its enumeration
    unknown_version,
    oversized,
    trailing_bytes
};

std::error_code make_error_code(codec_error error);

/// Version of the message layout; processes of different layouts drop each other's messages.
inline constexpr std::uint8_t message_version = 3;
/// Version of the shard table as the key-value service holds it. It outlives the processes that
/// wrote it, so it does not change with the messages.
inline constexpr std::uint8_t table_version = 1;
/// Longest encoded message, in bytes.
inline constexpr std::size_t max_message_bytes = 8U << 20U;

/// Encodes a message with cereal's portable binary format after a version byte.
/// @return the bytes, or codec_error::oversized
result<std::string> encode(const message& value);

/// Decodes what encode produced.
/// @param bytes  one whole message from a peer; not trusted
/// @return the message, or a codec_error; never throws on bad bytes
result<message> decode(std::string_view bytes);

/// Encodes a shard table as the value that the key-value service holds.
std::string encode_table(const shard_table& table);

/// Decodes what encode_table produced.
result<shard_table> decode_table(std::string_view bytes);

/// First frame of a connection: who is at the other end.
struct hello
{
    process_identity process;
    /// Where the sender accepts connections, as host:port; empty when it doesn't.
    std::string address;
    friend bool operator==(const hello&, const hello&) = default;
};

std::string encode_hello(const hello& value);
result<hello> decode_hello(std::string_view bytes);

} // namespace tarragonlock

template<>
struct std::is_error_code_enum<tarragonlock::codec_error> : std::true_type
{
};
