#include "tarragonlock/common/time.hpp"

namespace tarragonlock
{

process_clock::time_point process_clock::now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

unix_milliseconds wall_clock_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<unix_milliseconds>(since_epoch);
}

} // namespace tarragonlock
