#!/usr/bin/env python3
"""Guards against entries that start while the store is away and can't serve (readiness, refusals).

An entry removes its key when it stops and can't write it again; agents that know it only from the
store have to find it at its former address.
"""
import signal
import time

from leased_fleet_test import Fleet, call, eventually, expect, job_request, run_checks

# What callers wait for a restarted entry to be ready, beside its own start.
READY_S = 1.0
# The time that a process needs to start on a busy machine.
START_S = 2.0


class UnlistedFleet(Fleet):
    """A fleet whose agents know the second entry from the store only."""

    def settings(self, role, index):
        lines = super().settings(role, index)
        if role == "agent":
            lines = [line.split(",")[0] + "]" if line.startswith("entry_hints") else line
                     for line in lines]
        return lines


def check_restart_without_store(fleet):
    expect(call(fleet.entry_address(1), "POST", *job_request(1))[0] == 200, "the entry serves a job")
    expect(fleet.signal_and_wait("entry", 1, signal.SIGTERM) == 0, "the entry stops")
    time.sleep(1)
    fleet.store.silent = True
    fleet.store.drop_watches()
    try:
        fleet.start("entry", 1)
        started = time.monotonic()
        ready = False
        statuses = set()
        while not ready and time.monotonic() - started < READY_S + START_S:
            ready = fleet.readiness_status(1) == 200
            if not ready:
                statuses.add(call(fleet.entry_address(1), "GET", "/lots/", timeout=1)[0])
                time.sleep(0.02)
        expect(ready, "an entry that restarts while the store is silent gets ready")
        expect(statuses <= {0, 200, 503}, f"until then it answers 503 if at all: {statuses}")
        for number in range(2, 12):
            status = call(fleet.entry_address(1), "POST", *job_request(number))[0]
            expect(status == 200, f"a ready entry serves a job: {status}")
    finally:
        fleet.store.silent = False


def check_new_entry_without_peers(fleet):
    """The only entry that starts before the agents and the store answers nobody."""
    for index in range(2):
        fleet.signal_and_wait("agent", index, signal.SIGTERM)
    fleet.store.silent = True
    fleet.store.drop_watches()
    try:
        fleet.signal_and_wait("entry", 1, signal.SIGKILL)
        fleet.start("entry", 1)
        eventually(lambda: fleet.readiness_status(1) == 503, "it says that it is not ready")
        expect(call(fleet.entry_address(1), "POST", *job_request(20))[0] == 503,
               "a job is refused with 503 for want of a configuration")
    finally:
        fleet.store.silent = False
        for index in range(2):
            fleet.start("agent", index)
    eventually(lambda: fleet.readiness_status(1) == 200, "it gets ready when the store answers")


if __name__ == "__main__":
    run_checks((check_restart_without_store, check_new_entry_without_peers), UnlistedFleet)
