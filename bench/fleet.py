"""Starts fleets of real processes on loopback for the benchmark."""
import importlib.machinery
import importlib.util
import json
import pathlib
import subprocess
import time
import types
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
loader = importlib.machinery.SourceFileLoader("local_fleet", str(ROOT / "tools" / "local_fleet"))
local_fleet = importlib.util.module_from_spec(
    importlib.util.spec_from_loader("local_fleet", loader))
loader.exec_module(local_fleet)

FIRST_PORT = 23000
DECLARATIONS_FILE = BUILD / "bench" / "declarations.yaml"


def http(method, address, path, body=""):
    request = urllib.request.Request(f"http://{address}{path}", data=body.encode() or None,
                                     method=method)
    with urllib.request.urlopen(request, timeout=10) as response:
        return response.read().decode()


def counters(address):
    """Returns the counters and gauges without labels that a process exports, by name without the
    tarragonlock_ prefix."""
    values = {}
    for line in http("GET", address, "/metrics").splitlines():
        if line.startswith("#") or "{" in line:
            continue
        name, value = line.rsplit(" ", 1)
        values[name.replace("tarragonlock_", "", 1)] = float(value)
    return values


class Fleet:
    """Context manager that starts a fleet on entry and stops it on exit."""

    def __init__(self, entries=3, agents=11, backends=True, entry_options=None,
                 relay_offset=0):
        self.args = types.SimpleNamespace(
            entries=entries, agents=agents, settings=None, no_backends=not backends,
            port=FIRST_PORT, relay_offset=relay_offset,
            entry_options=json.dumps(entry_options or {}))

    def __enter__(self):
        local_fleet.up(self.args)
        self.members = json.loads(local_fleet.members_file(self.args.port).read_text())
        if not self.args.no_backends:
            self.apply_declarations()
        return self

    def __exit__(self, *_):
        local_fleet.down(self.args)

    def http_addresses(self, role):
        return [p["http"] for p in self.members if p["role"] == role]

    @property
    def entry_addresses(self):
        return ",".join(self.http_addresses("entry"))

    @property
    def store_address(self):
        return self.http_addresses("store")[0]

    def apply_declarations(self, path=DECLARATIONS_FILE):
        subprocess.run([BUILD / "tarragonlock", "apply", path, "--store", self.store_address,
                        "--wait", "--entries", self.entry_addresses],
                       check=True, capture_output=True)

    def run_trace(self, trace, name):
        """Submits the jobs of a trace file and returns the result of each job as a dictionary."""
        results = BUILD / "bench" / f"{name}.results"
        subprocess.run([BUILD / "tarragonlock-load", "--entries", self.entry_addresses,
                        "--trace", trace, "--results", results], check=True, capture_output=True)
        return [json.loads(line) for line in results.read_text().splitlines()]

    def sum_counter(self, role, name):
        return sum(counters(address).get(name, 0) for address in self.http_addresses(role))

    def total_messages_sent(self):
        return self.sum_counter("entry", "messages_sent_total") + self.sum_counter(
            "agent", "agent_messages_sent_total")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def wait_until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.01)
    return False
