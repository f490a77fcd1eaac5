#!/usr/bin/env python3
"""Tests that clients which keep to no limit neither end a process nor run it out of memory or descriptors.

Each check holds a crowd of connections at every door of an entry and an agent. What it expects follows
from the settings and not from the speed of the machine.
"""
import json
import os
import signal
import subprocess
import sys
import tempfile

from crowd_clients import Crowd, chunked, head, in_chunks, short_fields, small_pieces, whole
from leased_fleet_test import (BASE_PORT, HOSTS, KNOWN_RED, PEER_PORT, Fleet, call, eventually,
                               job_request)
from leased_processes import PROGRAM

# Limits of a process, far below those of a real host, so that a small crowd meets them.
MEMORY_MB = 64
MAX_FDS = 300
# Descriptors that the platform keeps for files; sockets share the rest.
FILE_FDS = 200
# Connections at each door.
CROWD = 32
# Just below the default of max_body_bytes.
BODY_BYTES = 1_048_000
# Just below the longest frame between an entry and an agent.
FRAME_BYTES = (4 << 20) - 16

BODY = (b'{"spec":"' + b"x" * BODY_BYTES)[:BODY_BYTES]
CHUNKS = in_chunks(BODY)
LONG_BODY = BODY * 8
LONG_CHUNKS = in_chunks(BODY * 4)
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

failures = []


def expect(condition, text):
    known = text.split(":")[0] in KNOWN_RED
    print(("ok     " if condition else "known red " if known else "FAILED ") + text, flush=True)
    if not condition and not known:
        failures.append(text)


class LimitedFleet(Fleet):
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

    def lives(self, role):
        return self.processes.running[role, 0].poll() is None

    def peak_mb(self, role):
        return self.status_kb(role, "VmHWM") / 1024

    def status_kb(self, role, field):
        with open(f"/proc/{self.processes.running[role, 0].pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) for line in file if line.startswith(field)), 0)

    def descriptors(self, role):
        return len(os.listdir(f"/proc/{self.processes.running[role, 0].pid}/fd"))


def served(number):
    """Hands in an ordinary job until it is answered as complete, within WAIT_LIMIT_S."""
    path, body = job_request(number, tasks=1)
    return lambda: call(CALLERS, "POST", path, body) == (200, {"state": "completed"})


def check_process(fleet, role, name):
    if not fleet.lives(role):
        expect(False, f"{name}, {role} lives: status {fleet.processes.running[role, 0].poll()}")
        return
    expect(True, f"{name}, {role} lives")
    peak, descriptors = fleet.peak_mb(role), fleet.descriptors(role)
    expect(peak < MEMORY_MB, f"{name}, {role} within its memory: {peak:.1f} of {MEMORY_MB} MB")
    expect(descriptors <= MAX_FDS - FILE_FDS,
           f"{name}, {role} within its descriptors: {descriptors} of {MAX_FDS - FILE_FDS}")


def wait_served(number, text):
    """As eventually(), but goes on with the other checks after a failure."""
    try:
        eventually(served(number), text)
    except SystemExit:
        failures.append(text)


def run_crowd(fleet, name, requests, number):
    """Holds a crowd open, hands in a job meanwhile and another one afterwards.

    requests: pairs of an address and the pieces that one connection sends
    """
    fleet.restart()
    with Crowd() as crowd:
        crowd.send_all(requests)
        if fleet.lives("entry"):
            wait_served(number, f"{name}, a job is run meanwhile")
        for role in ("entry", "agent"):
            check_process(fleet, role, name)
    if fleet.lives("entry"):
        wait_served(number + 1, f"{name}, a job is run afterwards")


def at_every_door(request):
    """The same crowd at every door; request(method, path) returns the pieces of one connection."""
    return [(address, request(method, path.format(0x7000 + number)))
            for number in range(CROWD) for address, method, path in DOORS]


VALUES = b",".join([b"[]"] * (BODY_BYTES // 3 - 100))
TINY_VALUES = JOB_START + b'{"count":1,"after":[' + VALUES + b"]}]}"
STEPS = b",".join([b'{"count":1}'] * (BODY_BYTES // 12 - 10))
LONG_CHAIN = JOB_START + STEPS + b"]}"


def wide_job(number):
    """A short request for a job of 600,000 tasks."""
    body = {"spec": json.dumps({"ms": 1}), "best_effort": True,
            "steps": [{"count": 10_000, "cpu": 1, "estimate_ms": 1}] * 60}
    return whole("POST", f"/lots/{number:016x}", json.dumps(body).encode())


def stopping_half_way(method, path):
    """Connections that send nothing, half a header, or half a body."""
    full = b"".join(whole(method, path.format(0x7000), BODY[:4000]))
    return [full[:40], full[:-2000], b"G"]


CROWDS = {
    "whole bodies": lambda: at_every_door(lambda m, p: whole(m, p, BODY)),
    "whole bodies that stop short": lambda: at_every_door(lambda m, p: whole(m, p, BODY, 10)),
    "small pieces": lambda: at_every_door(lambda m, p: small_pieces(m, p, BODY, 10)),
    "chunks": lambda: at_every_door(lambda m, p: chunked(m, p, CHUNKS, 10)),
    "announced bodies": lambda: at_every_door(lambda m, p: whole(m, p, BODY, BODY_BYTES - 1)),
    "bodies over the limit": lambda: at_every_door(lambda m, p: whole(m, p, LONG_BODY)),
    "chunks over the limit": lambda: at_every_door(lambda m, p: chunked(m, p, LONG_CHUNKS, 10)),
    "short header fields": lambda: at_every_door(lambda m, p: short_fields(m, p, BODY, 10)),
    "tiny values": lambda: at_every_door(lambda m, p: whole(m, p, TINY_VALUES)),
    "tiny values that stop short":
        lambda: at_every_door(lambda m, p: whole(m, p, TINY_VALUES, 10)),
    "long chains of steps": lambda: at_every_door(lambda m, p: whole(m, p, LONG_CHAIN)),
    "jobs of very many tasks": lambda: [(CALLERS, wide_job(0x5000 + i)) for i in range(4)],
    "requests sent ahead":
        lambda: at_every_door(lambda m, p: [head(m, p, [("Content-Length", 0)]) * 200] * 60),
    "slow clients":
        lambda: [(address, piece) for _ in range(CROWD // 3 + 4) for address, m, p in DOORS
                 for piece in ([part] for part in stopping_half_way(m, p))],
    "frames that stop short":
        lambda: [(PEERS, [FRAME_BYTES.to_bytes(4, "little") + b"\4" * (FRAME_BYTES - 10)])
                 for _ in range(CROWD)],
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
            for number, (name, requests) in enumerate(CROWDS.items()):
                run_crowd(fleet, name, requests(), 1000 + 10 * number)
            check_ready_while_full(fleet)
        finally:
            fleet.stop()
    print(f"{len(failures)} checks failed", flush=True)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
