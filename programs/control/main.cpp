#include "commands.hpp"

#include "tarragonlock/process/daemon_main.hpp"

#include <docopt/docopt.h>

namespace
{

constexpr auto usage = R"(tarragonlock: configures and inspects a fleet

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
  --base VERSION       Version that the file is based on; the version in force by default.
  --wait               Wait until every entry and worker runs the new version.
  --job ID             Show the state of one job and the reason for it.
  --html FILE          Also write the report as an HTML page with plots.
  --json               Print JSON.
  -h --help            Show this text.
  --version            Show the version.

Exit status: 0 done; 1 failed; 2 wrong usage or an invalid file; 3 another operator applied a
version first; 4 the key-value service or an entry does not answer; 5 diff found differences.
)";

} // namespace

int main(int argc, char** argv)
{
    const auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, tarragonlock::version_text);
    return tarragonlock::control::run_command(arguments);
}
