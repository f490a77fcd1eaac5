#pragma once

#include "tarragonlock/connection/link.hpp"
#include "tarragonlock/process/entry_core.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/process/settings.hpp"

#include <string>

namespace tarragonlock
{

/// @return the entry's metrics in the Prometheus text format.
std::string entry_metrics_text(const entry_core& core, const link_counters& traffic,
                               std::uint64_t store_calls);

/// @return the state of an entry, of its known workers and of its service levels as JSON.
std::string entry_status_json(const entry_core& core, const entry_settings& settings,
                              const service_levels& levels, instant now);

} // namespace tarragonlock
