#include "tarragonlock/process/agent_daemon.hpp"
#include "tarragonlock/process/daemon_main.hpp"

#include <docopt/docopt.h>

namespace
{

constexpr auto usage = R"(tarragonlock-agent

Usage:
  tarragonlock-agent --settings FILE [--check]
  tarragonlock-agent (-h | --help)
  tarragonlock-agent --version

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
    return tarragonlock::run_daemon<tarragonlock::agent_daemon, tarragonlock::agent_settings>(
        arguments.at("--settings").asString(), arguments.at("--check").asBool());
}
