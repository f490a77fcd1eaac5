#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// Reasons why bytes from a peer cannot be decoded.
enum class codec_error
{
    truncated = 1,
    unknown_type, ///< also for a value outside its enumeration
    unknown_version,
    oversized,
    trailing_bytes
};

std::error_code make_error_code(codec_error error);

/// Version of the message layout; processes with different versions drop each other's messages.
inline constexpr std::uint8_t message_version = 3;
/// Version of the layout of the shard table in the key-value service. A stored table outlives the
/// processes that wrote it, so this version does not change with message_version.
inline constexpr std::uint8_t table_version = 1;
/// Longest encoded message, in bytes.
inline constexpr std::size_t max_message_bytes = 8U << 20U;

/// Encodes a message as a version byte followed by little-endian cereal binary data.
/// @return the bytes, or codec_error::oversized
result<std::string> encode(const message& value);

/// Decodes a message encoded by encode.
/// @param bytes  one whole message from a peer; not trusted
/// @return the message, or a codec_error; does not throw on malformed input
result<message> decode(std::string_view bytes);

/// Encodes a shard table as the value stored in the key-value service.
std::string encode_table(const shard_table& table);

/// Decodes a shard table encoded by encode_table.
result<shard_table> decode_table(std::string_view bytes);

/// First frame of a connection in each direction; identifies the sender.
struct hello
{
    process_identity process;
    /// Address at which the sender accepts connections, as host:port; empty when it accepts none.
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
