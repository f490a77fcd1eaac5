#include "commands.hpp"

#include "tarragonlock/process/daemon_main.hpp"

#include <docopt/docopt.h>

namespace
{

constexpr auto usage = R"(tarragonlock: steers a fleet by declarations

Usage:
  tarragonlock check FILE [--json]
  tarragonlock diff FILE --store ADDRESSES [--json]
  tarragonlock apply FILE --store ADDRESSES [--base VERSION] [--wait --entries ADDRESSES] [--json]
  tarragonlock status --entries ADDRESSES [--job ID] [--json]
  tarragonlock status --metrics ADDRESSES [--json]
  tarragonlock drain ADDRESS [--json]
  tarragonlock report --entries ADDRESSES [--html FILE] [--json]
  tarragonlock (-h | --help)
  tarragonlock --version

Options:
  --store ADDRESSES    Addresses of the key-value service, host:port, separated by commas.
  --entries ADDRESSES  HTTP addresses of entries, host:port, separated by commas.
  --metrics ADDRESSES  Metrics addresses of entries and agents of leased jobs, host:port, separated
                       by commas.
  --base VERSION       Version the file was written against; without it the one in force.
  --wait               Wait until every entry and worker runs the new version.
  --job ID             Tell where one job is and why.
  --html FILE          Write the report as a page with plots too.
  --json               Print JSON.
  -h --help            Show this text.
  --version            Show the version.

Exit status: 0 done; 1 failed; 2 wrong usage or a faulty file; 3 another operator was first;
4 the key-value service or an entry does not answer; 5 diff found differences.
)";

} // namespace

int main(int argc, char** argv)
{
    const auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, tarragonlock::version_text);
    return tarragonlock::control::run_command(arguments);
}
