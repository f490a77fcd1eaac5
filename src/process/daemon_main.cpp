#include "tarragonlock/process/daemon_main.hpp"

#include <csignal>

namespace tarragonlock
{

namespace
{

std::atomic<bool> stop_flag{false};

void request_stop(int)
{
    stop_flag = true;
}

} // namespace

const std::atomic<bool>& install_stop_handlers()
{
    std::signal(SIGTERM, request_stop);
    std::signal(SIGINT, request_stop);
    std::signal(SIGPIPE, SIG_IGN);
    return stop_flag;
}

} // namespace tarragonlock
