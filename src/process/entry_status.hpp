#pragma once

#include "tarragonlock/connection/link.hpp"
#include "tarragonlock/process/entry_core.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/process/settings.hpp"

#include <string>

namespace tarragonlock
{

/// @return Prometheus text about an entry.
std::string entry_metrics_text(const entry_core& core, const link_counters& traffic,
                               std::uint64_t store_calls);

/// @return JSON about an entry, the workers it knows and its service levels.
std::string entry_status_json(const entry_core& core, const entry_settings& settings,
                              const service_levels& levels, instant now);

} // namespace tarragonlock
