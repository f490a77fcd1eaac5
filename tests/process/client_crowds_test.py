#!/usr/bin/env python3
"""Tests that clients which keep to no limit neither end a process nor run it out of memory or descriptors.

Each check holds a crowd of connections at every door of an entry and an agent of leased jobs. The names of
crowds as arguments select them.
"""
import json
import signal
import subprocess
import sys
import tempfile

from crowd_checks import (BODY_BYTES, CROWD, ENDLESS_CROWD, FILE_FDS, MAX_FDS, MEMORY_MB, LimitedProcesses,
                          check_process, connections_at, failures, http_crowds, run_crowds)
from crowd_clients import Crowd, whole
from leased_fleet_test import BASE_PORT, HOSTS, PEER_PORT, Fleet, call, eventually, job_request
from leased_processes import PROGRAM

# Just below the longest frame between an entry and an agent.
FRAME_BYTES = (4 << 20) - 16
# Version of the layout of frames.
FRAME_VERSION = 6

JOB_START = b'{"spec":"{\\"ms\\":1}","best_effort":true,"steps":['
CALLERS = f"{HOSTS[0]}:{BASE_PORT + 1}"
READINESS = f"{HOSTS[0]}:{BASE_PORT + 2}"
METRICS = f"{HOSTS[0]}:{BASE_PORT + 3}"
MISDIRECTED = f"{HOSTS[0]}:{BASE_PORT + 4}"
ANNOUNCEMENTS = f"127.0.0.1:{BASE_PORT + 40}"
AGENT_METRICS = f"127.0.0.1:{BASE_PORT + 50}"
PEERS = f"{HOSTS[0]}:{PEER_PORT}"
# Every HTTP door, with the method and path of a request; two paths of the callers' port.
DOORS = [(CALLERS, "POST", "/lots/{:016x}"), (CALLERS, "POST", "/none/"), (READINESS, "GET", "/-/ready"),
         (METRICS, "GET", "/metrics"), (MISDIRECTED, "PUT", "/-/instances/i-0"),
         (ANNOUNCEMENTS, "PUT", "/-/instances/i-0"), (AGENT_METRICS, "GET", "/metrics")]


class LimitedFleet(LimitedProcesses, Fleet):
    """One entry and one agent with low limits, each started anew for each check."""

    def settings(self, role, index):
        lines = super().settings(role, index)
        if role == "entry":
            lines.append(f"listen_announcements: {MISDIRECTED}")
        for limit in (f"memory_mb: {MEMORY_MB}", f"max_fds: {MAX_FDS}"):
            if self.accepts(role, lines + [limit]):
                lines.append(limit)
        return lines

    def accepts(self, role, lines):
        path = self.folder / "checked.yaml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return subprocess.run([PROGRAM, role, "--settings", path, "--check"], check=False,
                              capture_output=True).returncode == 0

    def restart(self):
        for role in ("entry", "agent"):
            if (role, 0) in self.processes.running:
                self.signal_and_wait(role, 0, signal.SIGKILL)
        for role in ("entry", "agent"):
            self.start(role, 0)
        eventually(lambda: call(CALLERS, "POST", *job_request(1, tasks=1))[0] == 200,
                   "an ordinary job is complete before the crowd")

    def process(self, role):
        return self.processes.running[role, 0]

    def serves(self, number):
        """Whether an ordinary job is answered as complete."""
        path, body = job_request(number, tasks=1)
        return call(CALLERS, "POST", path, body) == (200, {"state": "completed"})


VALUES = b",".join([b"[]"] * (BODY_BYTES // 3 - 100))
TINY_VALUES = JOB_START + b'{"count":1,"after":[' + VALUES + b"]}]}"
STEPS = b",".join([b'{"count":1}'] * (BODY_BYTES // 12 - 10))
LONG_CHAIN = JOB_START + STEPS + b"]}"


def message_frame(*messages):
    """A frame between entries and agents: length, version, number of messages, messages."""
    content = bytes([FRAME_VERSION]) + len(messages).to_bytes(4, "little") + b"".join(messages)
    return len(content).to_bytes(4, "little") + content


def hello(number):
    name = f"crowd-{number}".encode()
    return bytes(4) + len(name).to_bytes(4, "little") + name + bytes(8)


CONFIGURATION_REQUEST = (8).to_bytes(4, "little")
LONG_FRAME = [FRAME_BYTES.to_bytes(4, "little") + b"\4" * (FRAME_BYTES - 10)]
REQUEST_FRAMES = message_frame(CONFIGURATION_REQUEST) * 100_000


def wide_job(number):
    """A short request for a job of 600,000 tasks."""
    body = {"spec": json.dumps({"ms": 1}), "best_effort": True,
            "steps": [{"count": 10_000, "cpu": 1, "estimate_ms": 1}] * 60}
    return whole("POST", f"/lots/{number:016x}", json.dumps(body).encode())


CROWDS = {
    **http_crowds(DOORS),
    "tiny values": lambda: connections_at(DOORS, lambda m, p: whole(m, p, TINY_VALUES)),
    "tiny values that stop short":
        lambda: connections_at(DOORS, lambda m, p: whole(m, p, TINY_VALUES, 10)),
    "long chains of steps": lambda: connections_at(DOORS, lambda m, p: whole(m, p, LONG_CHAIN)),
    "jobs of very many tasks": lambda: [(CALLERS, wide_job(0x5000 + i)) for i in range(4)],
    "frames that stop short": lambda: [(PEERS, LONG_FRAME) for _ in range(CROWD)],
    "frames of agents that stop short":
        lambda: [(PEERS, [message_frame(hello(i)), *LONG_FRAME]) for i in range(CROWD)],
    "frames of very many messages":
        lambda: [(PEERS, [message_frame(hello(i), *[CONFIGURATION_REQUEST] * 120_000)])
                 for i in range(ENDLESS_CROWD)],
    "configurations that are not read":
        lambda: [(PEERS, [message_frame(hello(i)), REQUEST_FRAMES]) for i in range(ENDLESS_CROWD)],
    "channels that say nothing": lambda: [(PEERS, [b"\4"]) for _ in range(CROWD * 5)],
}


def check_ready_while_full(fleet):
    fleet.restart()
    with Crowd() as crowd:
        crowd.send(CALLERS, [[b"POST "]] * (MAX_FDS - FILE_FDS + CROWD))
        try:
            eventually(lambda: fleet.readiness_status(0) == 200, "readiness answers while callers fill the port")
        except SystemExit:
            failures.append("readiness while full")
        check_process(fleet, "entry", "full port")


def main():
    with tempfile.TemporaryDirectory() as folder:
        fleet = LimitedFleet(folder)
        try:
            run_crowds(fleet, CROWDS, sys.argv[1:])
            check_ready_while_full(fleet)
        finally:
            fleet.stop()
    print(f"{len(failures)} checks failed", flush=True)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
