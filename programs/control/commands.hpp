#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace tarragonlock::control
{

using arguments = std::map<std::string, docopt::value>;

/// Exit statuses; the help text in main.cpp lists the same ones.
enum class exit_status : int
{
    success = 0,
    failed = 1,
    usage_error = 2,
    conflict = 3,
    unreachable = 4,
    differs = 5
};

/// Runs the command selected on the command line.
/// @param args  parsed command line
/// @return the exit status, one of exit_status
int run_command(const arguments& args);

/// @return the addresses of a comma-separated list, without empty ones
std::vector<std::string> split_addresses(const docopt::value& text);

/// Prints the error budgets of the service levels, summed over the entries.
/// @return success, or unreachable when no entry answers
exit_status report(const arguments& args);

} // namespace tarragonlock::control
