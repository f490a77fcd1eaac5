"""Stand-ins for the platform's store and for a worker with its agent-side calls.

They speak the platform's words on loopback, keep everything in memory and misbehave on request:
the store can be silent, the worker can lose answers.
"""
import base64
import json
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def answer(self, status, value=None):
        data = b"" if value is None else json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def start(self):
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return self

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):  # Killed processes break their connections.
            super().handle_error(request, client_address)


class Store(Server):
    """Keys with revisions, leases and watches."""

    def __init__(self, port, host="127.0.0.1"):
        super().__init__((host, port), StoreHandler)
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.calls = 0
        self.down = False

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                    "revision": self.revision, "created": self.revision}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
                self.changed.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)


class StoreHandler(QuietHandler):
    def begin(self):
        self.server.calls += 1
        if not self.server.down:
            return True
        self.answer(503)
        return False

    def do_GET(self):
        if not self.begin():
            return
        parts = urllib.parse.urlparse(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        store = self.server
        with store.changed:
            if parts.path == "/-/kv-range":
                found = [i for k, i in sorted(store.items.items()) if k.startswith(query["prefix"])]
                self.answer(200, {"items": found, "truncated": False,
                                  "current_rev": store.revision})
                return
            after, prefix = int(query["after"]), query["prefix"]
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in store.events
                          if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                store.changed.wait(left)
            revision = store.revision
        self.answer(200, {"events": events, "current_rev": revision})

    def do_POST(self):
        body = self.body()
        if not self.begin():
            return
        store = self.server
        if self.path == "/-/kv-lease":
            lease = 1000 + store.calls
            store.leases[lease] = time.monotonic()
            self.answer(200, {"lease": lease, "ttl_ms": body["ttl_ms"]})
        elif self.path.startswith("/-/kv-keep/"):
            known = int(self.path.rsplit("/", 1)[1]) in store.leases
            self.answer(200 if known else 404, {"ttl_ms": 10000} if known else None)
        else:
            for put in body["puts"]:
                store.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            self.answer(200, {"revision": store.revision})

    def do_DELETE(self):
        if not self.begin():
            return
        self.server.end_lease(int(self.path.rsplit("/", 1)[1]))
        self.answer(200, {})


class Worker(Server):
    """Runs tasks for as long as their spec says, under a lease."""

    def __init__(self, port, name, host="127.0.0.1", lock=None):
        super().__init__((host, port), WorkerHandler)
        self.name = name
        self.address = f"{host}:{port}"
        self.changed = threading.Condition(lock)
        self.starts = []
        self.most_cpu = 0
        self.misdirected = 0
        # Misbehaviour that tests ask for.
        self.lose_answers = 0
        self.late_starts = 0
        self.late_by_s = 2.0
        self.stuck = False
        self.state = "ready"
        self.on_start = lambda worker, body: None
        self.on_end = lambda task, how: None
        self.begin_life(name)

    def begin_life(self, name):
        """Begins a new life, in which nothing of the old one is known."""
        with self.changed:
            self.name = name
            self.born_at = time.monotonic()
            self.born_ms = int(time.time() * 1000)
            self.lease_end = 0
            self.fence = 0
            self.running = {}
            self.ended = []
            self.last_end = 0
            self.barred = {}
            self.sequence = 0
            self.ticked = 0
            self.changed.notify_all()

    def start(self):
        threading.Thread(target=self.tick, daemon=True).start()
        return super().start()

    def clock(self):
        return 1 + int((time.monotonic() - self.born_at) * 1000)

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + 1000))

    def end(self, task, how):
        run = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.on_end(task, how)
        self.changed.notify_all()

    def tick(self):
        while True:
            time.sleep(0.002)
            with self.changed:
                self.advance()

    def advance(self):
        """Ends what is over by now."""
        clock = self.clock()
        if self.stuck:
            for run in self.running.values():
                run["end"] += clock - self.ticked
        self.ticked = clock
        for task, run in list(self.running.items()):
            if clock >= self.lease_end:
                self.end(task, "lapsed")
            elif clock >= run["end"]:
                self.end(task, run["how"])

    def percent(self, run):
        return max(0, min(100, 100 - 100 * (run["end"] - self.clock()) // max(run["ms"], 1)))

    def announcement(self):
        self.sequence += 1
        return {"service": "desk", "address": self.address, "zone": "fd-1",
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": 4000, "mem_mb": 4096, "gpu": 0}, "labels": ["a", "r1-1"],
                "clock_ms": self.clock(), "seq": self.sequence, "born": self.born_ms}

    def carry_out(self, path, meant, body):
        """Carries out an order and returns status and reply."""
        with self.changed:
            reply = {"clock_ms": self.clock()}
            if path == "/-/run-start" and meant != self.name:
                self.misdirected += 1
                return 421, reply
            self.fence = max(self.fence, body["fence"])
            if body["fence"] < self.fence:
                return 409, {**reply, "reason": "fence"}
            if path == "/-/run-start":
                return self.start_run(body, reply), reply
            if path == "/-/run-stop":
                return self.stop_run(body), reply
            return self.hold(body), {"clock_ms": self.clock(), "born": self.born_ms,
                                     "running": [[t, r["run"], "", self.percent(r)]
                                                 for t, r in self.running.items()],
                                     "finished": self.ended[:500]}

    def start_run(self, body, reply):
        task = body["task"]
        if body["deadline_ms"] <= self.clock():
            reply["reason"] = "late"
            return 409
        if body["run"] <= self.barred.get(task, 0):
            reply["reason"] = "old"
            return 409
        self.extend(body["deadline_ms"])
        if task not in self.running:
            self.on_start(self, body)
            spec = json.loads(body["spec"])
            self.running[task] = {"run": body["run"], "end": self.clock() + spec["ms"],
                                  "ms": spec["ms"], "how": spec.get("how", "done")}
            self.starts.append(task)
            self.most_cpu = max(self.most_cpu, 1000 * len(self.running))
        return 200

    def stop_run(self, body):
        task = body["task"]
        self.barred[task] = max(self.barred.get(task, 0), body["run"])
        if task in self.running:
            self.end(task, "stopped")
        return 200

    def hold(self, body):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        if not self.ended and body.get("wait_ms"):
            self.changed.wait(body["wait_ms"] / 1000)
        return 200


class WorkerHandler(QuietHandler):
    def do_POST(self):
        worker, path, body = self.server, self.path, self.body()
        meant = self.headers.get("X-Tarragonlock-Expect-Instance")
        if path == "/-/run-start" and worker.late_starts > 0:
            worker.late_starts -= 1
            threading.Timer(worker.late_by_s, worker.carry_out, (path, meant, body)).start()
            return self.lose_answer()
        status, reply = worker.carry_out(path, meant, body)
        if worker.lose_answers > 0 and path != "/-/hold":
            worker.lose_answers -= 1
            return self.lose_answer()
        return self.answer(status, reply)

    def lose_answer(self):
        """The channel returns nothing further."""
        self.close_connection = True
        time.sleep(0.3)
