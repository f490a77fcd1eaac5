"""Stand-ins for the platform's store and for a worker with the HTTP calls that its agent makes.

They implement the platform's HTTP interface on loopback and keep all state in memory. Tests inject
faults: the store can answer every call with 503, or none; the worker can lose answers, delay starts or
stall its runs.
"""
import base64
import json
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class JsonRequestHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def read_json(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def send_json(self, status, value=None):
        data = b"" if value is None else json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class StandinServer(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def start(self):
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return self

    def handle_error(self, request, client_address):
        # Processes that tests kill break their connections; those errors are expected.
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Store(StandinServer):
    """Key-value store with revisions, leases and long-poll watches.

    The lease time is not enforced: a lease ends only by a DELETE call or end_lease().
    """

    def __init__(self, port, host="127.0.0.1"):
        super().__init__((host, port), StoreHandler)
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.calls = 0
        self.down = False
        # While set, calls get no answer, neither now nor later.
        self.silent = False
        self.watch_round = 0

    def drop_watches(self):
        """Makes the store forget the watches that are open; they get no answer."""
        with self.changed:
            self.watch_round += 1
            self.changed.notify_all()

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
        """Ends a lease and deletes the keys attached to it."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)


class StoreAddress(StandinServer):
    """A further address of a store, which can be silent on its own."""

    def __init__(self, store, port):
        super().__init__(("127.0.0.1", port), StoreHandler)
        self.store = store
        self.silent = False
        self.calls = 1_000_000  # Lease numbers contain it, and must differ from the store's own.

    def __getattr__(self, name):
        return getattr(self.__dict__["store"], name)


class StoreHandler(JsonRequestHandler):
    def stay_silent(self):
        """Waits without an answer until the client closes the connection."""
        self.close_connection = True
        self.connection.settimeout(None)
        self.connection.recv(1)

    def check_available(self):
        """Counts a call and answers it with 503 if the store is down. Returns whether it is up."""
        self.server.calls += 1
        if self.server.silent:
            self.stay_silent()
            return False
        if not self.server.down:
            return True
        self.send_json(503)
        return False

    def do_GET(self):
        if not self.check_available():
            return
        url = urllib.parse.urlparse(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        store = self.server
        with store.changed:
            if url.path == "/-/kv-range":
                found = [i for k, i in sorted(store.items.items()) if k.startswith(query["prefix"])]
                self.send_json(200, {"items": found, "truncated": False,
                                     "current_rev": store.revision})
                return
            after, prefix = int(query["after"]), query["prefix"]
            deadline = time.monotonic() + int(query["wait_ms"]) / 1000
            watch_round = store.watch_round
            while watch_round == store.watch_round:
                events = [e for e in store.events
                          if e["revision"] > after and e["key"].startswith(prefix)]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    break
                store.changed.wait(remaining_s)
            revision = store.revision
        if watch_round != store.watch_round:
            self.stay_silent()
            return
        self.send_json(200, {"events": events, "current_rev": revision})

    def do_POST(self):
        body = self.read_json()
        if not self.check_available():
            return
        store = self.server
        if self.path == "/-/kv-lease":
            lease = 1000 + store.calls
            store.leases[lease] = time.monotonic()
            self.send_json(200, {"lease": lease, "ttl_ms": body["ttl_ms"]})
        elif self.path.startswith("/-/kv-keep/"):
            lease_exists = int(self.path.rsplit("/", 1)[1]) in store.leases
            self.send_json(200 if lease_exists else 404,
                           {"ttl_ms": 10000} if lease_exists else None)
        else:
            for put in body["puts"]:
                store.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            self.send_json(200, {"revision": store.revision})

    def do_DELETE(self):
        if not self.check_available():
            return
        self.server.end_lease(int(self.path.rsplit("/", 1)[1]))
        self.send_json(200, {})


class Worker(StandinServer):
    """Simulates task runs, each of the duration given in its spec.

    Runs continue only while the execution lease is valid; when it lapses, all of them end. Times on
    the wire are milliseconds of the worker's own now_ms, which starts anew with each instance.
    """

    def __init__(self, port, name, host="127.0.0.1", lock=None):
        super().__init__((host, port), WorkerHandler)
        self.name = name
        self.address = f"{host}:{port}"
        self.changed = threading.Condition(lock)
        self.started_tasks = []
        self.peak_cpu = 0
        self.misdirected_starts = 0
        # Faults injected by tests. Lost answers (to starts and stops) and delayed starts are
        # counted down to 0; a delayed start gets no answer.
        self.answers_to_lose = 0
        self.starts_to_delay = 0
        self.start_delay_s = 2.0
        self.stalled = False
        self.state = "ready"
        self.on_start = lambda worker, body: None
        self.on_end = lambda task, outcome: None
        self.start_instance(name)

    def start_instance(self, name):
        """Replaces the worker by a new instance without any state of the previous one."""
        with self.changed:
            self.name = name
            self.started_at = time.monotonic()
            self.started_ms = int(time.time() * 1000)
            self.lease_end_ms = 0
            self.fence = 0  # Highest fencing token received; requests with lower ones are refused.
            self.running = {}
            self.ended_runs = []
            self.end_cursor = 0
            # Task -> highest run that ended or was stopped, perhaps before it started. A start of
            # this run or an earlier one is refused.
            self.highest_ended_run = {}
            self.announcement_sequence = 0
            self.advanced_ms = 0
            self.changed.notify_all()

    def start(self):
        threading.Thread(target=self.advance_periodically, daemon=True).start()
        return super().start()

    def clock_ms(self):
        """Milliseconds since the start of this instance, plus 1."""
        return 1 + int((time.monotonic() - self.started_at) * 1000)

    def extend_lease(self, deadline):
        """Extends the execution lease to a deadline in ms, at most 1000 ms from now."""
        self.lease_end_ms = max(self.lease_end_ms, min(deadline, self.clock_ms() + 1000))

    def end_run(self, task, outcome):
        """Ends a run and queues its outcome for the agent. The lock is held."""
        run = self.running.pop(task)
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), run["run"])
        self.end_cursor += 1
        self.ended_runs.append([self.end_cursor, task, run["run"], outcome, ""])
        self.on_end(task, outcome)
        self.changed.notify_all()

    def advance_periodically(self):
        while True:
            time.sleep(0.002)
            with self.changed:
                self.advance()

    def advance(self):
        """Ends the runs whose time or lease is over. While stalled, runs make no progress."""
        now_ms = self.clock_ms()
        if self.stalled:
            for run in self.running.values():
                run["end"] += now_ms - self.advanced_ms
        self.advanced_ms = now_ms
        for task, run in list(self.running.items()):
            if now_ms >= self.lease_end_ms:
                self.end_run(task, "lapsed")
            elif now_ms >= run["end"]:
                self.end_run(task, run["how"])

    def percent_done(self, run):
        return max(0, min(100, 100 - 100 * (run["end"] - self.clock_ms()) // max(run["ms"], 1)))

    def announcement(self):
        self.announcement_sequence += 1
        return {"service": "desk", "address": self.address, "zone": "fd-1",
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": 4000, "mem_mb": 4096, "gpu": 0}, "labels": ["a", "r1-1"],
                "clock_ms": self.clock_ms(), "seq": self.announcement_sequence,
                "born": self.started_ms}

    def execute_request(self, path, expected_instance, body):
        """Executes a start, stop or hold request. Returns the HTTP status and the reply.

        A start that names another instance gets 421. A request with an outdated fencing token, and
        a start after its deadline or of an old run, get 409 with a reason.
        """
        with self.changed:
            reply = {"clock_ms": self.clock_ms()}
            if path == "/-/run-start" and expected_instance != self.name:
                self.misdirected_starts += 1
                return 421, reply
            self.fence = max(self.fence, body["fence"])
            if body["fence"] < self.fence:
                return 409, {**reply, "reason": "fence"}
            if path == "/-/run-start":
                return self.start_run(body, reply), reply
            if path == "/-/run-stop":
                return self.stop_run(body), reply
            return self.hold(body), {"clock_ms": self.clock_ms(), "born": self.started_ms,
                                     "running": [[t, r["run"], "", self.percent_done(r)]
                                                 for t, r in self.running.items()],
                                     "finished": self.ended_runs[:500]}

    def start_run(self, body, reply):
        task = body["task"]
        if body["deadline_ms"] <= self.clock_ms():
            reply["reason"] = "late"
            return 409
        if body["run"] <= self.highest_ended_run.get(task, 0):
            reply["reason"] = "old"
            return 409
        self.extend_lease(body["deadline_ms"])
        if task not in self.running:
            self.on_start(self, body)
            spec = json.loads(body["spec"])
            self.running[task] = {"run": body["run"], "end": self.clock_ms() + spec["ms"],
                                  "ms": spec["ms"], "how": spec.get("how", "done")}
            self.started_tasks.append(task)
            self.peak_cpu = max(self.peak_cpu, 1000 * len(self.running))
        return 200

    def stop_run(self, body):
        task = body["task"]
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), body["run"])
        if task in self.running:
            self.end_run(task, "stopped")
        return 200

    def hold(self, body):
        """Extends the lease, drops acknowledged outcomes and waits up to wait_ms for a new one."""
        if "deadline_ms" in body:
            self.extend_lease(body["deadline_ms"])
        self.ended_runs = [e for e in self.ended_runs if e[0] > body["ack_cursor"]]
        if not self.ended_runs and body.get("wait_ms"):
            self.changed.wait(body["wait_ms"] / 1000)
        return 200


class WorkerHandler(JsonRequestHandler):
    def do_POST(self):
        worker, path, body = self.server, self.path, self.read_json()
        expected_instance = self.headers.get("X-Tarragonlock-Expect-Instance")
        if path == "/-/run-start" and worker.starts_to_delay > 0:
            worker.starts_to_delay -= 1
            threading.Timer(worker.start_delay_s, worker.execute_request,
                            (path, expected_instance, body)).start()
            return self.lose_answer()
        status, reply = worker.execute_request(path, expected_instance, body)
        if worker.answers_to_lose > 0 and path != "/-/hold":
            worker.answers_to_lose -= 1
            return self.lose_answer()
        return self.send_json(status, reply)

    def lose_answer(self):
        """Sends no answer and closes the connection after 0.3 s."""
        self.close_connection = True
        time.sleep(0.3)
