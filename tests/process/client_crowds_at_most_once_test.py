#!/usr/bin/env python3
"""Tests that clients which keep to no limit neither end a process of at-most-once jobs nor run it out of memory
or descriptors, as client_crowds_test.py does for leased jobs. The names of crowds as arguments select them."""
import json
import pathlib
import signal
import subprocess
import sys
import tempfile

from crowd_checks import (BODY_BYTES, CROWD, ENDLESS_BYTES, FILE_FDS, MAX_FDS, MEMORY_MB, LimitedProcesses,
                          failures, http_crowds, run_crowds)
from crowd_clients import whole
from fleet_helpers import BUILD, ROOT, call
from leased_fleet_test import eventually

BASE_PORT = 29000
STORE, CALLERS, ENTRY_PEERS, AGENT, AGENT_PEERS, BACKEND = (f"127.0.0.1:{BASE_PORT + i}" for i in range(6))
# Every HTTP door, with the method and path of a request; several paths of the callers' port.
DOORS = [(CALLERS, "PUT", "/v1/jobs/crowd-{}"), (CALLERS, "POST", "/none/"), (CALLERS, "GET", "/readyz"),
         (CALLERS, "GET", "/metrics"), (AGENT, "POST", "/v1/announce"), (AGENT, "GET", "/readyz")]
# Just below the longest frame between processes.
FRAME_BYTES = (8 << 20) - 16
FRAME_HEADER_BYTES = 5
# Version of the layout of messages.
MESSAGE_VERSION = 3


class LimitedFleet(LimitedProcesses):
    """A store, an entry, an agent and a backend server; entry and agent with low limits, started anew for each
    check."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.running = {}
        self.jobs = 0

    def spawn(self, name, command):
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def settings(self, role):
        entries = [{"name": "entry", "address": ENTRY_PEERS}]
        own = {"name": role, "failure_domain": "fd-1", "entries": entries}
        if role == "entry":
            own |= {"listen_http": CALLERS, "listen_peers": ENTRY_PEERS, "store": [STORE],
                    "max_body_bytes": 1 << 20}
        else:
            own |= {"listen_http": AGENT, "listen_peers": AGENT_PEERS}
        limited = {**own, "memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        return limited if self.accepts(role, limited) else own

    def accepts(self, role, settings):
        path = self.folder / "checked.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return subprocess.run([BUILD / f"tarragonlock-{role}", "--settings", path, "--check"], check=False,
                              capture_output=True).returncode == 0

    def end(self, name, signal_number=signal.SIGKILL):
        process = self.running.pop(name)
        process.send_signal(signal_number)
        return process.wait(timeout=30)

    def restart(self):
        # With the store: when all processes that may know of a job are new, its outcome is unknown.
        self.stop()
        self.spawn("store", [BUILD / "standin_store", "--listen", STORE])
        for role in ("entry", "agent"):
            path = self.folder / f"{role}.yaml"
            path.write_text(json.dumps(self.settings(role)), encoding="utf-8")
            self.spawn(role, [BUILD / f"tarragonlock-{role}", "--settings", path])
        self.spawn("backend", [BUILD / "standin_backend", "--listen", BACKEND, "--agent", AGENT,
                               "--service", "clearing"])
        eventually(lambda: subprocess.run(
            [BUILD / "tarragonlock", "apply", ROOT / "examples" / "clearing.yaml", "--store", STORE],
            check=False, capture_output=True).returncode == 0, "the declarations are applied")
        eventually(lambda: self.serves(0), "an ordinary job is complete before the crowd")

    def process(self, role):
        return self.running[role]

    def serves(self, number):
        """Whether an ordinary job is answered as complete. Its id is new each time, as it may run only once."""
        self.jobs += 1
        status, answer = call("PUT", CALLERS, f"/v1/jobs/ordinary-{number}-{self.jobs}",
                              {"service": "clearing", "team": "buyers", "labels": {"kind": "title-list"},
                               "tasks": [{"body": {"ms": 1, "text": "a"}}]})
        return status == 200 and answer.get("results") == ["a"]

    def stop(self):
        for name in list(self.running):
            self.end(name)


def frame(kind, payload):
    """A frame between processes: length, kind, number of frames received, payload."""
    size = FRAME_HEADER_BYTES + len(payload)
    return size.to_bytes(4, "little") + bytes([kind]) + bytes(4) + payload


def hello(number):
    """The first frame of a connection: version, name, incarnation and address of its process."""
    name = f"crowd-{number}".encode()
    return frame(0, bytes([MESSAGE_VERSION]) + len(name).to_bytes(4, "little") + name + bytes(8 + 4))


def at_both_peer_ports(pieces, connections=CROWD):
    return [(address, pieces) for address in (ENTRY_PEERS, AGENT_PEERS) for _ in range(connections)]


VALUES = b",".join([b"[]"] * (BODY_BYTES // 3 - 100))
TINY_VALUES = b'{"service":"clearing","tasks":[' + VALUES + b"]}"
LONG_FRAME = (FRAME_BYTES).to_bytes(4, "little") + bytes(FRAME_BYTES - 10)
# Frames that carry nothing, sent on and on by a connection that has not said who it is.
EMPTY_FRAMES = frame(2, b"") * (ENDLESS_BYTES // 9)

CROWDS = {
    **http_crowds(DOORS),
    "tiny values":
        lambda: [(CALLERS, whole("PUT", f"/v1/jobs/tiny-{i}", TINY_VALUES)) for i in range(CROWD)],
    "unknown teams":
        lambda: [(CALLERS, [request for team in range(1000)
                            for request in whole("PUT", f"/v1/jobs/team-{i}-{team}", json.dumps(
                                {"service": f"s-{i}-{team}", "team": f"t-{i}-{team}",
                                 "tasks": [{"body": "x"}]}).encode())]) for i in range(CROWD)],
    "frames that stop short": lambda: at_both_peer_ports([LONG_FRAME]),
    "frames of named processes that stop short":
        lambda: [(address, [hello(i), LONG_FRAME]) for address in (ENTRY_PEERS, AGENT_PEERS)
                 for i in range(CROWD)],
    "frames without a name": lambda: at_both_peer_ports([EMPTY_FRAMES], 8),
    "channels that say nothing": lambda: at_both_peer_ports([b"\4"], CROWD * 5),
}


def main():
    with tempfile.TemporaryDirectory() as folder:
        fleet = LimitedFleet(folder)
        try:
            run_crowds(fleet, CROWDS, sys.argv[1:])
            if len(sys.argv) == 1:
                fleet.restart()
                for role in ("entry", "agent"):
                    status = fleet.end(role, signal.SIGTERM)
                    if status != 0:
                        failures.append(f"{role} ends with status {status} after SIGTERM")
        finally:
            fleet.stop()
    print(f"{len(failures)} checks failed", flush=True)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
