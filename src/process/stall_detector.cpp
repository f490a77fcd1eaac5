#include "process/stall_detector.hpp"

#include <utility>

namespace tarragonlock
{

bool stall_detector::on_activity(instant now)
{
    const auto before = std::exchange(last_activity_, now).value_or(now);
    if (now - before <= max_pause)
    {
        if (stall_began_ && now - stall_ended_ > max_backlog_time)
            stall_began_.reset();
        return false;
    }
    // A stall during the backlog of another one prolongs it.
    if (!stall_began_)
        stall_began_ = before;
    stall_ended_ = now;
    last_stall_ = now - before;
    return true;
}

} // namespace tarragonlock
