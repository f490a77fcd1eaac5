"""Crowds at the doors of a process, and what must hold beside them; shared by the tests of both fleets.

What the checks expect follows from the settings and not from the speed of the machine.
"""
import os
import zlib

from crowd_clients import (Crowd, chunked, endless_extension, endless_header_line, endless_trailers, head,
                           in_chunks, short_fields, small_pieces, whole)
from leased_fleet_test import KNOWN_RED, eventually

# Limits of a process, far below those of a real host, so that a small crowd meets them.
MEMORY_MB = 64
MAX_FDS = 300
# Descriptors that the platform keeps for files; sockets share the rest.
FILE_FDS = 200
# Connections at each door.
CROWD = 32
# Connections at each door that send a line without end.
ENDLESS_CROWD = 8
# Just below the default of max_body_bytes.
BODY_BYTES = 1_048_000
# Bytes that a client sends without an end of the line.
ENDLESS_BYTES = 20 << 20

BODY = (b'{"spec":"' + b"x" * BODY_BYTES)[:BODY_BYTES]
CHUNKS = in_chunks(BODY)
LONG_BODY = BODY * 8
LONG_CHUNKS = in_chunks(BODY * 4)
LINE = b"x" * ENDLESS_BYTES
TRAILERS = b"".join(b"t%x: 1\r\n" % number for number in range(ENDLESS_BYTES // 10))
# Expands to a hundred times the longest body.
COMPRESSED_BODY = zlib.compress(bytes(100 * BODY_BYTES))

failures = []


def expect(condition, text):
    known = text.split(":")[0] in KNOWN_RED
    print(("ok     " if condition else "known red " if known else "FAILED ") + text, flush=True)
    if not condition and not known:
        failures.append(text)


class LimitedProcesses:
    """Mixin for fleets: what their processes use. process(role) returns the process of a role."""

    def lives(self, role):
        return self.process(role).poll() is None

    def peak_mb(self, role):
        return self.status_kb(role, "VmHWM") / 1024

    def status_kb(self, role, field):
        with open(f"/proc/{self.process(role).pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) for line in file if line.startswith(field)), 0)

    def descriptors(self, role):
        return len(os.listdir(f"/proc/{self.process(role).pid}/fd"))


def check_process(fleet, role, name):
    if not fleet.lives(role):
        expect(False, f"{name}, {role} lives: status {fleet.process(role).poll()}")
        return
    expect(True, f"{name}, {role} lives")
    peak, descriptors = fleet.peak_mb(role), fleet.descriptors(role)
    expect(peak < MEMORY_MB, f"{name}, {role} within its memory: {peak:.1f} of {MEMORY_MB} MB")
    expect(descriptors <= MAX_FDS - FILE_FDS,
           f"{name}, {role} within its descriptors: {descriptors} of {MAX_FDS - FILE_FDS}")


def wait_served(fleet, number, text):
    """As eventually(), but goes on with the other checks after a failure."""
    try:
        eventually(lambda: fleet.serves(number), text)
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
            wait_served(fleet, number, f"{name}, a job is run meanwhile")
        for role in ("entry", "agent"):
            check_process(fleet, role, name)
    if fleet.lives("entry"):
        wait_served(fleet, number + 1, f"{name}, a job is run afterwards")


def run_crowds(fleet, crowds, names):
    """Runs crowds, given as functions by name; only those with these names, if there are any."""
    for number, (name, requests) in enumerate(crowds.items()):
        if not names or name in names:
            run_crowd(fleet, name, requests(), 1000 + 10 * number)


def connections_at(doors, request, count=CROWD):
    """Returns the same connections for every door; request(method, path) returns the pieces of one.

    doors: address, method and path of a request; a number is put into the path
    """
    return [(address, request(method, path.format(0x7000 + number)))
            for number in range(count) for address, method, path in doors]


def http_crowds(doors):
    """Returns crowds by name, each at every HTTP door."""
    def at_every_door(request):
        return connections_at(doors, request)

    def endless(request):
        return connections_at(doors, request, ENDLESS_CROWD)

    return {
        "whole bodies": lambda: at_every_door(lambda m, p: whole(m, p, BODY)),
        "whole bodies that stop short": lambda: at_every_door(lambda m, p: whole(m, p, BODY, 10)),
        "small pieces": lambda: at_every_door(lambda m, p: small_pieces(m, p, BODY, 10)),
        "chunks": lambda: at_every_door(lambda m, p: chunked(m, p, CHUNKS, 10)),
        "announced bodies": lambda: at_every_door(lambda m, p: whole(m, p, BODY, BODY_BYTES - 1)),
        "bodies over the limit": lambda: at_every_door(lambda m, p: whole(m, p, LONG_BODY)),
        "chunks over the limit": lambda: at_every_door(lambda m, p: chunked(m, p, LONG_CHUNKS, 10)),
        "short header fields": lambda: at_every_door(lambda m, p: short_fields(m, p, BODY, 10)),
        "requests sent ahead":
            lambda: at_every_door(lambda m, p: [head(m, p, [("Content-Length", 0)]) * 200] * 60),
        "slow clients":
            lambda: [(address, piece) for _ in range(CROWD // 3 + 4) for address, m, p in doors
                     for piece in ([part] for part in stopping_half_way(m, p))],
        "compressed bodies": lambda: at_every_door(
            lambda m, p: whole(m, p, COMPRESSED_BODY, fields=[("Content-Encoding", "deflate")])),
        "extensions without end": lambda: endless(lambda m, p: endless_extension(m, p, LINE)),
        "trailers without end": lambda: endless(lambda m, p: endless_trailers(m, p, TRAILERS)),
        "a trailer without end": lambda: endless(lambda m, p: endless_trailers(m, p, LINE)),
        "header lines without end": lambda: endless(lambda m, p: endless_header_line(m, p, LINE)),
    }


def stopping_half_way(method, path):
    """Connections that send nothing, half a header, or half a body."""
    full = b"".join(whole(method, path.format(0x7000), BODY[:4000]))
    return [full[:40], full[:-2000], b"G"]
