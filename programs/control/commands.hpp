#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace tarragonlock::control
{

using arguments = std::map<std::string, docopt::value>;

/// Exit statuses, as the help text lists them.
enum class exit_status : int
{
    success = 0,
    failed = 1,
    usage_error = 2,
    conflict = 3,
    unreachable = 4,
    differs = 5
};

/// Runs the command that the arguments name. @return the exit status
int run_command(const arguments& args);

/// @return the addresses of a comma-separated list.
std::vector<std::string> split_addresses(const docopt::value& text);

exit_status report(const arguments& args);

} // namespace tarragonlock::control
