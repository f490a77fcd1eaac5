#pragma once

#include "tarragonlock/connection/codec.hpp"

#include "connection/bounded_archive.hpp"

#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <stdexcept>

namespace tarragonlock
{

/// Thrown only within the codec, for a number that is not a value of its enumeration.
struct value_out_of_range : std::runtime_error
{
    value_out_of_range() : std::runtime_error("value is not in its enumeration") {}
};

/// Serializes an enumeration as one byte; a decoded value above the last enumerator is an error.
template<class Enum>
struct checked_enum
{
    Enum& value;
    Enum last;

    template<class Archive>
    void serialize(Archive& archive)
    {
        auto number = static_cast<std::uint8_t>(value);
        archive(number);
        if (number > static_cast<std::uint8_t>(last))
            throw value_out_of_range();
        value = static_cast<Enum>(number);
    }
};

/// Decodes a version byte followed by a value.
/// @param bytes  from a peer; not trusted
/// @return the value, or a codec_error
template<class T>
result<T> decode_value(std::string_view bytes, std::uint8_t version)
{
    if (bytes.size() > max_message_bytes)
        return make_error_code(codec_error::oversized);
    if (bytes.empty())
        return make_error_code(codec_error::truncated);
    if (static_cast<std::uint8_t>(bytes.front()) != version)
        return make_error_code(codec_error::unknown_version);
    bounded_input_archive archive(bytes.substr(1));
    T value;
    try
    {
        archive(value);
    }
    catch (const truncated_input&)
    {
        return make_error_code(codec_error::truncated);
    }
    catch (const std::exception&)
    {
        // Thrown by cereal for a variant index out of range, or value_out_of_range.
        return make_error_code(codec_error::unknown_type);
    }
    if (archive.remaining() != 0)
        return make_error_code(codec_error::trailing_bytes);
    return value;
}

/// Encodes a version byte followed by the value.
template<class T>
std::string encode_value(const T& value, std::uint8_t version)
{
    std::string bytes(1, static_cast<char>(version));
    string_output_archive archive(bytes);
    archive(value);
    return bytes;
}

} // namespace tarragonlock
