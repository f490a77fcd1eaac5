#pragma once

#include "common/yaml_reader.hpp"
#include "tarragonlock/process/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragonlock
{

/// @return the value of a required key, host:port with an IP address; adds an error for any other
///         value.
std::string read_address(yaml_reader& reader, std::string_view key);

std::uint32_t read_count(yaml_reader& reader, std::string_view key, std::int64_t fallback,
                         std::int64_t minimum, std::int64_t maximum);

log_settings read_log(yaml_reader& reader);

} // namespace tarragonlock
