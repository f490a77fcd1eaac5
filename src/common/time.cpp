#include "tarragonlock/common/time.hpp"

#include <ctime>

namespace tarragonlock
{

process_clock::time_point process_clock::now()
{
    // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the host is suspended, so that leases
    // and deadlines that pass during a suspend have expired on resume.
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
}

unix_milliseconds wall_clock_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<unix_milliseconds>(since_epoch);
}

} // namespace tarragonlock
