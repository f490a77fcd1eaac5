#include "tarragonlock/process/daemon_main.hpp"
#include "tarragonlock/process/entry_daemon.hpp"

#include <docopt/docopt.h>

namespace
{

constexpr auto usage = R"(tarragonlock-entry

Usage:
  tarragonlock-entry --settings FILE [--check]
  tarragonlock-entry (-h | --help)
  tarragonlock-entry --version

Options:
  --settings FILE  Settings in YAML; docs/SETTINGS.md lists the keys.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit status: 0 after a graceful shutdown, 1 when it cannot start, 2 for invalid settings.
)";

} // namespace

int main(int argc, char** argv)
{
    const auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, tarragonlock::version_text);
    return tarragonlock::run_daemon<tarragonlock::entry_daemon, tarragonlock::entry_settings>(
        arguments.at("--settings").asString(), arguments.at("--check").asBool());
}
