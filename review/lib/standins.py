"""Stand-ins for the platform's store, workers, clients and links, on loopback and the real clock.

They do what PROTOCOL.md says. Where the page leaves something open they behave like a sound peer.
"""
import base64
import http.client
import json
import random
import select
import socket
import struct
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Record:
    """Lines of what was sent, answered and run, with seconds since the start of the test."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()
        self.path = path

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.lines.append((self.now(), text))

    def write(self):
        with self.lock, open(self.path, "w", encoding="utf-8") as out:
            out.writelines(f"{at:9.3f} {text}\n" for at, text in sorted(self.lines))


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1  # One segment a response.
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def read_json(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

    def send_json(self, status, value=None):
        data = b"" if value is None else json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def start(self):
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()
        return self

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Store(Server):
    """Key-value store with one revision counter, leases and watches."""

    def __init__(self, address):
        super().__init__(address, StoreHandler)
        self.changed = threading.Condition()
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.last_lease = 1, 100

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            before = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                    "revision": self.revision,
                    "created": before["created"] if before else self.revision}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
                self.changed.notify_all()

    def expire(self):
        """Ends the leases whose time is over. The lock is held."""
        now = time.monotonic()
        for lease in [n for n, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)


class StoreHandler(Handler):
    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        store = self.server
        with store.changed:
            store.expire()
            prefix = query["prefix"]
            if url.path == "/-/kv-range":
                found = [i for k, i in sorted(store.items.items())
                         if k.startswith(prefix) and k > query.get("after", "")]
                reply = {"items": found, "truncated": False, "current_rev": store.revision}
            else:
                after = int(query["after"])
                end = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
                while True:
                    events = [e for e in store.events
                              if e["revision"] > after and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        break
                    store.changed.wait(left)
                reply = {"events": events, "current_rev": store.revision}
        self.send_json(200, reply)

    def do_POST(self):
        body, store = self.read_json(), self.server
        with store.changed:
            store.expire()
            if self.path == "/-/kv-lease":
                store.last_lease += 1
                ttl = min(max(body["ttl_ms"], 1000), 600000)
                store.leases[store.last_lease] = (ttl, time.monotonic() + ttl / 1000)
                return self.send_json(200, {"lease": store.last_lease, "ttl_ms": ttl})
            if self.path.startswith("/-/kv-keep/"):
                lease = int(self.path.rsplit("/", 1)[1])
                if lease not in store.leases:
                    return self.send_json(404)
                ttl = store.leases[lease][0]
                store.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return self.send_json(200, {"lease": lease, "ttl_ms": ttl})
            for row in body.get("expected", []):
                item = store.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return self.send_json(412, {"items": [item] if item else []})
            if any(p.get("lease") and p["lease"] not in store.leases for p in body.get("puts", [])):
                return self.send_json(404)
            for put in body.get("puts", []):
                store.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in body.get("remove", []):
                store.remove(key)
            return self.send_json(200, {"revision": store.revision})

    def do_DELETE(self):
        with self.server.changed:
            self.server.end_lease(int(self.path.rsplit("/", 1)[1]))
        self.send_json(200, {})


class Worker(Server):
    """A worker: runs tasks under a lease on its own clock. The spec holds {"ms": run time}."""

    MAX_HOLD_MS = 1000
    STOP_MS = 20  # stop_timeout_ms is 50

    def __init__(self, address, agent_address, name, service, record, capacity=None, labels=None):
        super().__init__(address, WorkerHandler)
        self.address = f"{address[0]}:{address[1]}"
        self.agent_address, self.service, self.record = agent_address, service, record
        self.changed = threading.Condition()
        self.runs = []  # every run: dict with worker, task, run, start, end, how
        self.channels = set()
        self.up, self.beating, self.state = True, True, "ready"
        self.busy = False  # Answers every call with 503 and does nothing.
        self.next_beat_at = 0.0
        self.begin_lifetime(name, capacity or {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
                            labels or ["a", "r1-1"])

    def begin_lifetime(self, name, capacity, labels):
        """Starts anew without any memory of an earlier lifetime."""
        with self.changed:
            self.name, self.capacity, self.labels = name, capacity, labels
            self.clock_began = time.monotonic()
            self.born = int(time.time() * 1000)
            self.lease_end = self.fence = self.seq = self.last_end = 0
            self.running, self.finished, self.ended = {}, [], {}
            self.up = True

    def crash(self):
        """Everything that runs ends with the process, and its channels are reset."""
        with self.changed:
            self.up = False
            for run in self.running.values():
                self.close_run(run, "crashed")
            self.running = {}
            self.changed.notify_all()
            channels = list(self.channels)
        for channel in channels:
            reset(channel)

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began) * 1000) + 1

    def close_run(self, run, how):
        run["end"], run["how"] = self.record.now(), how
        self.record.add(f"worker {self.name}: run {run['run']} of {run['task']} ends: {how}")

    def end_run(self, task, how):
        run = self.running.pop(task)
        self.close_run(run, how)
        self.ended[task] = max(self.ended.get(task, 0), run["run"])
        self.last_end += 1
        self.finished.append([self.last_end, task, run["run"], how, ""])
        self.changed.notify_all()

    def start(self):
        threading.Thread(target=self.advance, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()
        return super().start()

    def advance(self):
        while True:
            time.sleep(0.002)
            with self.changed:
                now = self.clock_ms()
                for task, run in list(self.running.items()):
                    if now >= self.lease_end:
                        self.end_run(task, "lapsed")
                    elif run["stop_at"] is not None and now >= run["stop_at"]:
                        self.end_run(task, "stopped")
                    elif run["stop_at"] is None and now >= run["end_at"]:
                        self.end_run(task, "done")

    def report(self):
        with self.changed:
            self.seq += 1
            return {"service": self.service, "address": self.address, "zone": "bern-lager",
                    "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                    "capacity": self.capacity, "labels": self.labels,
                    "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born}

    def beat(self):
        """Sends a liveness report every heartbeat_ms (1,500)."""
        while True:
            time.sleep(0.01)
            if not self.up or not self.beating or time.monotonic() < self.next_beat_at:
                continue
            self.next_beat_at = time.monotonic() + 1.5
            report = self.report()
            status, _ = call(self.agent_address, "PUT", f"/-/instances/{self.name}", report,
                             timeout=1.0)
            self.record.add(f"worker {self.name}: liveness report seq {report['seq']} born "
                            f"{report['born']} capacity {report['capacity']['cpu']} labels "
                            f"{report['labels']} -> {status}")
            if status != 200:
                self.next_beat_at = time.monotonic() + 0.1

    def execute(self, path, expected, body):
        with self.changed:
            reply = {"clock_ms": self.clock_ms(), "born": self.born}
            if self.busy:
                return 503, reply
            if expected and expected != self.name:
                return 421, reply
            if body.get("fence", 0) < self.fence:
                return 409, {**reply, "reason": "fence"}
            self.fence = body.get("fence", 0)
            if path == "/-/run-start":
                return self.start_run(body, reply)
            if path == "/-/run-stop":
                return self.stop_run(body, reply)
            if "deadline_ms" in body:
                self.extend(body["deadline_ms"])
            self.finished = [e for e in self.finished if e[0] > body.get("ack_cursor", 0)]
            end = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
            while not self.finished and self.up and time.monotonic() < end:
                self.changed.wait(end - time.monotonic())
            return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                         "running": [[t, r["run"], "", self.percent(r), 0]
                                     for t, r in self.running.items()],
                         "finished": self.finished[:500]}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock_ms() + self.MAX_HOLD_MS))

    def percent(self, run):
        return max(0, min(100, 100 - 100 * (run["end_at"] - self.clock_ms()) // run["ms"]))

    def start_run(self, body, reply):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**reply, "reason": "late"}
        self.extend(body["deadline_ms"])
        present = self.running.get(task)
        if number <= self.ended.get(task, 0) or (present and number < present["run"]):
            return 409, {**reply, "reason": "old"}
        if not present:
            ms = json.loads(body["spec"])["ms"]
            run = {"worker": self.name, "born": self.born, "task": task, "run": number,
                   "start": self.record.now(), "end": None, "how": None, "ms": ms,
                   "end_at": self.clock_ms() + ms, "stop_at": None,
                   "labels": list(self.labels), "capacity": dict(self.capacity),
                   "active": len(self.running) + 1}
            self.running[task] = run
            self.runs.append(run)
            self.record.add(f"worker {self.name}: run {number} of {task} starts"
                            f" ({len(self.running)} at work)")
        return 200, reply

    def stop_run(self, body, reply):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run and run["run"] <= number:
            if run["stop_at"] is None:
                run["stop_at"] = self.clock_ms() + self.STOP_MS
        else:
            self.ended[task] = max(self.ended.get(task, 0), number)
        return 200, reply


class WorkerHandler(Handler):
    def setup(self):
        super().setup()
        self.server.channels.add(self.connection)

    def finish(self):
        self.server.channels.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass  # The channel was reset.

    def do_POST(self):
        body = self.read_json()
        if not self.server.up:
            self.close_connection = True
            return reset(self.connection)
        status, reply = self.server.execute(
            self.path, self.headers.get("X-Tarragonlock-Expect-Instance"), body)
        if not self.server.up:
            self.close_connection = True
            return None
        return self.send_json(status, reply)


def reset(channel):
    try:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        channel.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    try:
        channel.close()
    except OSError:
        pass


def call(address, method, path, body=None, headers=None, timeout=10.0):
    """Returns the status and the decoded body; status 0 when there was no answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body).encode(),
                           {"Content-Type": "application/json", **(headers or {})})
        reply = connection.getresponse()
        text = reply.read()
        try:
            return reply.status, json.loads(text) if text else {}
        except ValueError:
            return reply.status, {}
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


class Proxy:
    """Forwards channels to a server; open ones can be reset or made silent, and new ones work."""

    def __init__(self, listen, target):
        self.target, self.pairs, self.lock = target, [], threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(self.target, timeout=1)
            except OSError:
                reset(near)
                continue
            for end in (near, far):
                end.settimeout(None)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = {"near": near, "far": far, "silent": False}
            with self.lock:
                self.pairs.append(pair)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.forward, args=(pair, source, sink),
                                 daemon=True).start()

    def forward(self, pair, source, sink):
        try:
            while True:
                if not select.select([source], [], [], 0.05)[0]:
                    continue
                data = source.recv(65536)
                if pair["silent"]:
                    if not data:
                        return
                    continue
                if not data:
                    break
                sink.sendall(data)
        except (OSError, ValueError):
            pass
        for end in (pair["near"], pair["far"]):
            try:
                end.close()
            except OSError:
                pass

    def reset_open(self):
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            reset(pair["near"])
            reset(pair["far"])

    def silence_open(self):
        with self.lock:
            for pair in self.pairs:
                pair["silent"] = True
