#pragma once

#include <cereal/cereal.hpp>

#include <cstring>
#include <stdexcept>
#include <string_view>
#include <type_traits>

namespace tarragonlock
{

/// Thrown only within the codec; decode_value converts it to codec_error::truncated.
struct truncated_input : std::runtime_error
{
    truncated_input() : std::runtime_error("message is truncated") {}
};

/// A cereal input archive for bytes from a peer. Unlike cereal's own archives it rejects a
/// container length that exceeds the remaining bytes, before memory is allocated for the container.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this), remaining_bytes_(bytes)
    {
    }

    std::size_t remaining() const { return remaining_bytes_.size(); }

    void read(void* target, std::size_t size)
    {
        if (size > remaining_bytes_.size())
            throw truncated_input();
        std::memcpy(target, remaining_bytes_.data(), size);
        remaining_bytes_.remove_prefix(size);
    }

private:
    std::string_view remaining_bytes_;
};

/// The matching output archive; appends to a string in the byte order of the host, which is little
/// endian on all supported hosts.
class string_output_archive
    : public cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit string_output_archive(std::string& target) : OutputArchive(this), target_(target) {}

    void write(const void* source, std::size_t size)
    {
        target_.append(static_cast<const char*>(source), size);
    }

private:
    std::string& target_;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const T& value)
{
    archive.write(&value, sizeof(value));
}

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, T& value)
{
    archive.read(&value, sizeof(value));
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(string_output_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const cereal::SizeTag<T>& tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.write(&size, sizeof(size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::SizeTag<T>& tag)
{
    std::uint32_t size = 0;
    archive.read(&size, sizeof(size));
    if (size > archive.remaining())
        throw truncated_input();
    tag.size = size;
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const cereal::BinaryData<T>& data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::BinaryData<T>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

} // namespace tarragonlock

CEREAL_REGISTER_ARCHIVE(tarragonlock::bounded_input_archive)
CEREAL_REGISTER_ARCHIVE(tarragonlock::string_output_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(tarragonlock::bounded_input_archive,
                            tarragonlock::string_output_archive)
