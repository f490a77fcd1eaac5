#!/usr/bin/env python3
"""A worker as the platform's pages describe it, as a process of its own.

It serves /-/run-start, /-/run-stop and /-/hold on its port, sends liveness reports to the agent beside it, and
appends every start and end of a run to its event file. It accepts whatever it is told to start (it doesn't guard
its capacity) and takes --stop-ms to stop a run.

SIGUSR1 makes it unhealthy: it answers every order with 503 and does nothing. SIGUSR2 makes it healthy again.
"""
import argparse
import http.client
import json
import os
import signal
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000


class Worker:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.changed = threading.Condition()
        self.running = {}       # task -> run, end, ms, spec, stop_at
        self.finished = []      # [N, task, run, how, saved]
        self.cursor = 0
        self.fence = 0
        self.lease_end = 0
        self.ended_runs = {}    # task -> highest run that was stopped or has ended
        self.unhealthy = False
        self.seq = 0
        self.events = open(options.events, "a", buffering=1, encoding="utf-8")

    def note(self, event, **fields):
        self.events.write(json.dumps({"t": round(time.monotonic(), 4), "worker": self.options.id,
                                      "born": self.born, "event": event, **fields}) + "\n")

    def clock(self):
        return 1 + int((time.monotonic() - self.started_at) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run["run"])
        self.cursor += 1
        self.finished.append([self.cursor, task, run["run"], how, ""])
        self.note("end", task=task, run=run["run"], how=how, cpu=run["cpu"])
        self.changed.notify_all()

    def advance(self):
        while True:
            time.sleep(0.002)
            with self.changed:
                now = self.clock()
                for task, run in list(self.running.items()):
                    if now >= self.lease_end:
                        self.end(task, "lapsed")
                    elif run["stop_at"] and now >= run["stop_at"]:
                        self.end(task, "stopped")
                    elif not run["stop_at"] and now >= run["end"]:
                        self.end(task, "done")

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_HOLD_MS))

    def order(self, path, expected, body):
        """Carries out an order. Returns the HTTP status and the answer."""
        with self.changed:
            if self.unhealthy:
                self.note("refused", path=path, fence=body.get("fence", 0))
                return 503, None
            reply = {"clock_ms": self.clock(), "born": self.born}
            if expected not in (None, self.options.id):
                return 421, reply
            fence = body.get("fence", 0)
            if fence < self.fence:
                self.note("fenced", path=path, fence=fence, highest=self.fence)
                return 409, {**reply, "reason": "fence"}
            self.fence = fence
            if path == "/-/run-start":
                return self.start(body, reply)
            if path == "/-/run-stop":
                task, number = body["task"], body["run"]
                self.ended_runs[task] = max(self.ended_runs.get(task, 0), number)
                if task in self.running and self.running[task]["run"] <= number:
                    run = self.running[task]
                    run["stop_at"] = run["stop_at"] or self.clock() + self.options.stop_ms
                return 200, reply
            if "deadline_ms" in body:
                self.extend(body["deadline_ms"])
            self.finished = [e for e in self.finished if e[0] > body.get("ack_cursor", 0)]
            deadline = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
            while not self.finished and (left := deadline - time.monotonic()) > 0:
                self.changed.wait(left)
            now = self.clock()
            rows = [[task, r["run"], "", max(0, min(99, 100 - 100 * (r["end"] - now) // r["ms"])), r["cpu"]]
                    for task, r in self.running.items()]
            return 200, {**reply, "clock_ms": now, "running": rows, "finished": self.finished[:500]}

    def start(self, body, reply):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock():
            return 409, {**reply, "reason": "late"}
        self.extend(body["deadline_ms"])
        if number <= self.ended_runs.get(task, 0):
            return 409, {**reply, "reason": "old"}
        if task in self.running:
            return 200, reply
        spec = json.loads(body["spec"])
        self.running[task] = {"run": number, "end": self.clock() + spec["ms"], "ms": spec["ms"],
                              "stop_at": 0, "cpu": spec["cpu"]}
        used = sum(r["cpu"] for r in self.running.values())
        step = task.rsplit(".", 1)[0]
        beside = sum(t.rsplit(".", 1)[0] == step for t in self.running)
        self.note("start", task=task, run=number, spec=body["spec"], used_cpu=used, capacity=self.options.cpu,
                  labels=self.options.labels, of_step_here=beside)
        return 200, reply

    def report(self):
        time.sleep(self.options.first_report_s)
        while True:
            self.seq += 1
            body = {"service": "desk", "address": f"127.0.0.1:{self.options.port}", "zone": "fd-1",
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.options.cpu, "mem_mb": 65536, "gpu": 0},
                    "labels": self.options.labels.split(","), "clock_ms": self.clock(), "seq": self.seq,
                    "born": self.born}
            pause = HEARTBEAT_S
            try:
                connection = http.client.HTTPConnection(self.options.control, timeout=1)
                connection.request("PUT", f"/-/instances/{self.options.id}", json.dumps(body),
                                   {"Content-Type": "application/json"})
                status = connection.getresponse().status
                connection.close()
                if self.seq == 1 or status != 200:
                    self.note("report", status=status, seq=self.seq)
            except OSError:
                pause = 0.1     # no agent yet: report again soon
            time.sleep(pause)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")
        status, answer = self.server.worker.order(self.path, self.headers.get("X-Tarragonlock-Expect-Instance"),
                                                  body)
        data = b"" if answer is None else json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def handle_error(self, *_):
        pass


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--cpu", type=int, default=4000)
    parser.add_argument("--labels", default="a,r1-1")
    parser.add_argument("--stop-ms", type=int, default=5)
    parser.add_argument("--first-report-s", type=float, default=0.0)
    parser.add_argument("--events", required=True)
    worker = Worker(parser.parse_args())

    def set_health(unhealthy):
        worker.unhealthy = unhealthy
        worker.note("unhealthy" if unhealthy else "healthy")

    signal.signal(signal.SIGUSR1, lambda *_: set_health(True))
    signal.signal(signal.SIGUSR2, lambda *_: set_health(False))
    server = Server(("127.0.0.1", worker.options.port), Handler)
    server.worker = worker
    worker.note("up", pid=os.getpid(), labels=worker.options.labels, capacity=worker.options.cpu)
    threading.Thread(target=worker.advance, daemon=True).start()
    threading.Thread(target=worker.report, daemon=True).start()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while True:
        signal.pause()


if __name__ == "__main__":
    main()
