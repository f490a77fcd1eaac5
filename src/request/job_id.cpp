#include "tarragonlock/request/job_id.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace tarragonlock
{

namespace
{

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_position = 14;
constexpr int hexadecimal_base = 16;

std::optional<std::uint64_t> parse_hexadecimal(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal_base);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string to_hexadecimal(std::uint64_t value)
{
    std::string text(hexadecimal_base, '0');
    const auto [end, error] =
        std::to_chars(text.data(), text.data() + text.size(), value, hexadecimal_base);
    text.resize(static_cast<std::size_t>(end - text.data()));
    return text;
}

} // namespace

bool is_valid_job_id(std::string_view text)
{
    const auto allowed = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= max_job_id_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

std::string to_string(const generated_job_id& id)
{
    return std::string(generated_job_id_prefix) + to_hexadecimal(id.counter) + '-' +
           to_hexadecimal(id.entry.incarnation) + '-' + id.entry.name;
}

std::optional<generated_job_id> parse_generated_job_id(std::string_view text)
{
    if (!text.starts_with(generated_job_id_prefix))
        return std::nullopt;
    text.remove_prefix(generated_job_id_prefix.size());
    const auto first = text.find('-');
    const auto second = first == std::string_view::npos ? first : text.find('-', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const auto counter = parse_hexadecimal(text.substr(0, first));
    const auto incarnation = parse_hexadecimal(text.substr(first + 1, second - first - 1));
    if (!counter || !incarnation)
        return std::nullopt;
    return generated_job_id{{std::string(text.substr(second + 1)), *incarnation}, *counter};
}

std::optional<unix_milliseconds> uuid7_time(std::string_view text)
{
    if (text.size() != uuid_length || text[8] != '-' || text[13] != '-' || text[18] != '-' ||
        text[23] != '-' || text[uuid_version_position] != '7')
        return std::nullopt;
    const auto high = parse_hexadecimal(text.substr(0, 8));
    const auto low = parse_hexadecimal(text.substr(9, 4));
    if (!high || !low)
        return std::nullopt;
    return unix_milliseconds(static_cast<std::int64_t>((*high << 16U) | *low));
}

} // namespace tarragonlock
