#!/usr/bin/env python3
"""Guards against an entry that was frozen and starts jobs whose callers have left meanwhile (TWICE).

Callers of leased jobs send a job again, to another entry, some time after they got no answer. An
entry that was stopped for longer than that must start nothing of what it finds unread or waiting.
"""
import json
import signal
import socket
import time

from leased_fleet_test import eventually, expect, job_request, run_checks

WAIT_MS = 800
FREEZE_S = 1.6


def send_without_reading(fleet, number, run_ms=900):
    """Sends a job to entry 0 and returns the open connection."""
    path, body = job_request(number, tasks=1, run_ms=run_ms)
    content = json.dumps(body).encode()
    head = (f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {len(content)}\r\n"
            f"X-Tarragonlock-Deadline-Ms: {WAIT_MS}\r\n\r\n")
    host, port = fleet.entry_address(0).split(":")
    connection = socket.create_connection((host, int(port)), timeout=20)
    connection.sendall(head.encode() + content)
    return connection


def started(fleet, numbers):
    names = {f"{number:016x}" for number in numbers}
    return sorted(t for w in fleet.workers for t in w.started_tasks if t.split(".")[0] in names)


def freeze(fleet, actions):
    """Stops entry 0 for FREEZE_S; actions() runs meanwhile."""
    fleet.processes.send_signal("entry", 0, signal.SIGSTOP)
    began = time.monotonic()
    actions()
    time.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
    fleet.processes.send_signal("entry", 0, signal.SIGCONT)


def check_callers_that_left(fleet):
    numbers = range(1000, 1010)

    def actions():
        connections = [send_without_reading(fleet, number) for number in numbers]
        time.sleep(WAIT_MS / 1000)
        for connection in connections:
            connection.close()

    freeze(fleet, actions)
    time.sleep(0.5)
    tasks = started(fleet, numbers)
    expect(not tasks, f"unread jobs whose callers have left do not start: {tasks}")


def check_callers_that_stay(fleet):
    """The end of a caller's connection may be lost on the way; its time is over all the same."""
    numbers = range(1100, 1106)
    connections = []
    freeze(fleet, lambda: connections.extend(send_without_reading(fleet, n) for n in numbers))
    answers = [connection.recv(4096).split(b"\r\n")[0].decode() for connection in connections]
    tasks = started(fleet, numbers)
    expect(not tasks, f"unread jobs whose time is over do not start: {tasks}")
    expect(all(a.startswith("HTTP/1.1 503") for a in answers),
           f"they are refused at once: {sorted(set(answers))}")
    for connection in connections:
        connection.close()


def check_waiting_jobs(fleet):
    """Jobs that the entry had read before it was stopped, and that waited for a worker."""
    blocking = [send_without_reading(fleet, number, run_ms=700) for number in range(1200, 1208)]
    eventually(lambda: len(started(fleet, range(1200, 1208))) == 8, "all workers are busy")
    numbers = range(1300, 1306)
    connections = [send_without_reading(fleet, number) for number in numbers]
    time.sleep(0.1)
    expect(not started(fleet, numbers), "further jobs wait")

    def actions():
        for connection in blocking + connections:
            connection.close()

    freeze(fleet, actions)
    time.sleep(0.5)
    tasks = started(fleet, numbers)
    expect(not tasks, f"waiting jobs whose callers have left do not start: {tasks}")


if __name__ == "__main__":
    run_checks((check_callers_that_left, check_callers_that_stay, check_waiting_jobs))
