"""A small deployment on loopback for the cases of this review: the programs of the deploy file as
separate processes, and stand-ins for the platform's store, the workers and the callers.

The stand-ins follow the users' pages (PROTOCOL.md). Addresses are loopback addresses and the ports
are free ones. Settings are those of the deploy file's templates, with the bounds of the sheet of
restbuch-ch (resend_ms 1,300, max_hold_ms 1,000, stop_timeout_ms 50, grace_s 6).
"""
import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/tarragonlock-leased"
HOST = "desk.example"
PREFIX = "/lots/"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000
RESEND_S = 1.3
STOP_S = 0.045  # stop_timeout_ms is 50


class Record:
    """Writes what was sent, answered and run to record.txt, and collects broken rules."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.broken = []

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()

    def violation(self, text):
        self.broken.append(text)
        self.note("BROKEN " + text)


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

    def reply(self, status, value=None):
        data = b"" if value is None else json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


# The platform's store.

class Store(QuietServer):
    """Keys with revisions and leases, watches and transactions."""

    def __init__(self, address):
        super().__init__(address, StoreHandler)
        self.changed = threading.Condition()
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.last_lease = 1, 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def expire(self):
        now = time.monotonic()
        for lease in [n for n, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        found = self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return found is not None

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                    "revision": self.revision, "created": created}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()


class StoreHandler(JsonHandler):
    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        store = self.server
        with store.changed:
            store.expire()
            if url.path == "/-/kv-range":
                items = [i for k, i in sorted(store.items.items())
                         if k.startswith(query["prefix"]) and k > query.get("after", "")]
                self.reply(200, {"items": items, "truncated": False, "current_rev": store.revision})
                return
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in store.events if e["revision"] > int(query["after"])
                          and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                store.changed.wait(left)
            revision = store.revision
        self.reply(200, {"events": events, "current_rev": revision})

    def do_POST(self):
        body, store = self.body(), self.server
        with store.changed:
            store.expire()
            if self.path == "/-/kv-lease":
                store.last_lease += 1
                store.leases[store.last_lease] = (time.monotonic() + body["ttl_ms"] / 1000,
                                                  body["ttl_ms"])
                self.reply(200, {"lease": store.last_lease, "ttl_ms": body["ttl_ms"]})
            elif self.path.startswith("/-/kv-keep/"):
                lease = int(self.path.rsplit("/", 1)[1])
                if lease in store.leases:
                    ttl = store.leases[lease][1]
                    store.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                    self.reply(200, {"lease": lease, "ttl_ms": ttl})
                else:
                    self.reply(404)
            else:
                current = {e["key"]: store.items.get(e["key"]) for e in body.get("expected", [])}
                wrong = any((current[e["key"]] or {"revision": 0})["revision"] != e["revision"]
                            for e in body.get("expected", []))
                if any(p.get("lease", 0) and p["lease"] not in store.leases for p in body["puts"]):
                    self.reply(404)
                elif wrong:
                    self.reply(412, {"items": [i for i in current.values() if i]})
                else:
                    for put in body["puts"]:
                        store.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
                    for key in body.get("remove", []):
                        store.remove(key)
                    self.reply(200, {"revision": store.revision})

    def do_DELETE(self):
        store = self.server
        with store.changed:
            found = store.end_lease(int(self.path.rsplit("/", 1)[1]))
        self.reply(200 if found else 404, {} if found else None)


# Workers.

class Worker(QuietServer):
    """A worker that doesn't guard its capacity. Its agent is the only one who calls it.

    Tasks run for the `ms` in their spec. `fleet.demand(task)` tells what a task occupies, as the
    job says it.
    """

    def __init__(self, fleet, name, address, agent, service="desk", capacity=4000, labels=(),
                 max_reports=None):
        super().__init__(address, WorkerHandler)
        self.fleet, self.name, self.agent, self.service = fleet, name, agent, service
        self.address = f"{address[0]}:{address[1]}"
        self.changed = threading.Condition(fleet.run_lock)
        self.born_at, self.born = time.monotonic(), int(time.time() * 1000)
        self.capacity, self.labels, self.max_reports = capacity, list(labels), max_reports
        self.running, self.ended, self.barred = {}, [], {}
        self.last_end = self.fence = self.lease_end = self.seq = 0
        self.confirmed = False  # whether a report has been confirmed
        self.answered_at, self.longest_silence = time.monotonic(), 0.0
        fleet.record.note(f"{name} starts: capacity {capacity}, labels {self.labels}")
        for each in (self.serve_forever, self.tick, self.report):
            threading.Thread(target=each, daemon=True).start()

    def clock(self):
        return 1000 + int((time.monotonic() - self.born_at) * 1000)

    def report(self):
        while self.max_reports is None or self.seq < self.max_reports:
            with self.changed:
                self.seq += 1
                body = {"service": self.service, "address": self.address, "zone": "z-1",
                        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                        "capacity": {"cpu": self.capacity, "mem_mb": 65536, "gpu": 0},
                        "labels": self.labels, "clock_ms": self.clock(), "seq": self.seq,
                        "born": self.born}
            began = time.monotonic()
            status, _ = call(self.agent, "PUT", f"/-/instances/{self.name}", body, timeout=1)
            self.confirmed = self.confirmed or status == 200
            now = time.monotonic()
            self.longest_silence = max(self.longest_silence, now - self.answered_at)
            if status:
                self.answered_at = now
            self.fleet.record.note(f"{self.name} reports seq {body['seq']} capacity "
                                   f"{body['capacity']['cpu']}: {status or 'no answer'}")
            time.sleep(max(0.0, began + HEARTBEAT_S - time.monotonic()))

    def end(self, task, how):
        run = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.fleet.record.note(f"{self.name} end {task} run {run['run']}: {how}")
        self.changed.notify_all()

    def tick(self):
        while True:
            time.sleep(0.002)
            with self.changed:
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if self.clock() >= self.lease_end:
                        self.end(task, "lapsed")
                    elif run["stops_at"] is not None and now >= run["stops_at"]:
                        self.end(task, "stopped")
                    elif now >= run["ends_at"]:
                        self.end(task, "done")

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_HOLD_MS))

    def execute(self, path, expected, body):
        """Returns the status and the answer to a call of the agent."""
        with self.changed:
            if path == "/-/run-start" and expected not in (None, self.name):
                return 421, {"clock_ms": self.clock()}
            if body["fence"] < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = body["fence"]
            if path == "/-/run-start":
                return self.start_run(body)
            if path == "/-/run-stop":
                task = body["task"]
                self.barred[task] = max(self.barred.get(task, 0), body["run"])
                run = self.running.get(task)
                if run and run["run"] <= body["run"] and run["stops_at"] is None:
                    run["stops_at"] = time.monotonic() + STOP_S
                    self.fleet.record.note(f"{self.name} stop {task} run {body['run']}")
                return 200, {"clock_ms": self.clock()}
            if "deadline_ms" in body:
                self.extend(body["deadline_ms"])
            self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
            end = time.monotonic() + body.get("wait_ms", 0) / 1000
            while not self.ended and (left := end - time.monotonic()) > 0:
                self.changed.wait(left)
            now = time.monotonic()
            running = [[t, r["run"], "", min(99, int(100 * (now - r["began"]) / r["s"])),
                        r["cpu"]] for t, r in self.running.items()]
            return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                         "finished": self.ended[:500]}

    def start_run(self, body):
        task, reply = body["task"], {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return 409, {**reply, "reason": "late"}
        if body["run"] <= self.barred.get(task, 0):
            self.extend(body["deadline_ms"])
            return 409, {**reply, "reason": "old"}
        self.extend(body["deadline_ms"])
        if task not in self.running:
            seconds = json.loads(body["spec"])["ms"] / 1000
            now = time.monotonic()
            self.running[task] = {"run": body["run"], "began": now, "ends_at": now + seconds,
                                  "s": seconds, "stops_at": None,
                                  "cpu": self.fleet.demand(task)}
            self.fleet.record.note(f"{self.name} start {task} run {body['run']}")
            self.fleet.on_start(self, task)
        return 200, reply


class WorkerHandler(JsonHandler):
    def do_POST(self):
        status, value = self.server.execute(
            self.path, self.headers.get("X-Tarragonlock-Expect-Instance"), self.body())
        self.reply(status, value)


# Callers.

def call(address, method, path, body=None, timeout=10.0, headers=None):
    """Returns the status, 0 without an answer, and the decoded answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None,
                           {"Host": HOST, "Content-Type": "application/json", **(headers or {})})
        reply = connection.getresponse()
        text = reply.read()
        return reply.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


class Fleet:
    """Entries, agents with one worker each, and the store."""

    current = None

    def __init__(self, folder, entries=2, agents=2, capacities=None, labels=None):
        Fleet.current = self
        self.record = Record(folder)
        self.run_lock = threading.RLock()
        self.jobs, self.processes, self.workers = {}, {}, []
        self.on_start = lambda worker, task: None
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.entries, self.agents = entries, agents
        self.net = f"127.{(os.getpid() >> 8) % 200 + 20}.{os.getpid() % 250 + 1}"
        ports = iter(free_ports(7))
        (self.store_port, self.front, self.ready, self.control, self.peer, self.app,
         self.app2) = ports
        self.store = Store((f"{self.net}.1", self.store_port))
        self.publish(1)
        for i in range(entries):
            self.launch("entry", i)
        for i in range(agents):
            self.launch("agent", i)
        for i in range(agents):
            capacity = capacities[i] if capacities else 4000
            worker_labels = labels[i] if labels else ()
            self.workers.append(Worker(self, f"i-{i}", (self.agent_ip(i), self.app),
                                       f"{self.agent_ip(i)}:{self.control}", capacity=capacity,
                                       labels=worker_labels))

    def entry_ip(self, i):
        return f"{self.net}.{10 + i}"

    def agent_ip(self, i):
        return f"{self.net}.{100 + i}"

    def entry(self, i):
        return f"{self.entry_ip(i)}:{self.front}"

    def publish(self, version, **changes):
        route = {"name": "lots", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
                 "timeout_ms": 20000, "target_duration_ms": 5000, "priority": 0, "service": "desk",
                 "max_attempts": 3, "stretch": 2.0, **changes}
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": [route],
             "services": [{"name": "desk", "rejects_overload": False}],
             "limits": {"max_body_bytes": 262144}}).encode())

    def settings(self, role, i):
        hints = ", ".join(f'"{self.entry_ip(n)}:{self.control}"' for n in range(self.entries))
        ip = self.entry_ip(i) if role == "entry" else self.agent_ip(i)
        lines = [f'name: "{role}-{i}"', 'failure_domain: "z-1"', f'host: "{ip}"', "metrics_port: 0",
                 f'store: "{self.net}.1:{self.store_port}"', "caller_resend_ms: 1300", "grace_s: 6",
                 "max_fds: 4100", "log: {level: info, lines_per_second: 20}"]
        if role == "entry":
            return lines + [f'listen_callers: "{ip}:{self.front}"',
                            f'listen_readiness: "{ip}:{self.ready}"',
                            f'listen_announcements: "{ip}:{self.control}"',
                            f"peer_port: {self.peer}", "memory_mb: 260", "remote_data_factor: 1.5"]
        return lines + [f'listen_worker: "{ip}:{self.control}"', f"peer_port: {self.peer}",
                        f"entry_hints: [{hints}]", "execution_lease_ms: 1000",
                        "announcement_lifetime_ms: 4500", "memory_mb: 128"]

    def launch(self, role, i):
        path = self.folder / f"{role}-{i}.yaml"
        path.write_text("\n".join(self.settings(role, i)) + "\n", encoding="utf-8")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self.folder / f"{role}-{i}.log").open("ab") as log:
            self.processes[role, i] = subprocess.Popen(
                [PROGRAM, role], cwd=ROOT, stdout=log, stderr=log,
                env={**environment, "TARRAGONLOCK_BOOT": str(path)})
        self.record.note(f"{role}-{i} launched")

    def demand(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)].get("cpu", 0) if job in self.jobs else 0

    def wait_until_ready(self):
        """Waits until every worker is known and every entry has served a job."""
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all(worker.confirmed for worker in self.workers) and all(
                    call(f"{self.entry_ip(i)}:{self.ready}", "GET", "/-/ready", timeout=1)[0] == 200
                    for i in range(self.entries)):
                break
            time.sleep(0.1)
        else:
            self.record.note("the fleet is not ready")
            self.finish(2)
        time.sleep(0.5)
        for i in range(self.entries):
            job = f"{0xfffffffffffffff0 + i:016x}"
            if self.submit(job, i, 50, [{"count": 2, "cpu": 100}]) != 200:
                self.record.note("the fleet serves no job")
                self.finish(2)

    def submit(self, job, entry, run_ms, steps, deadline_ms=12000, spec_bytes=0):
        """Submits a best-effort job, and returns the status of its answer (0: none)."""
        body = {"spec": json.dumps({"ms": run_ms}).ljust(spec_bytes), "best_effort": True,
                "steps": [{k: v for k, v in {"mem_mb": 64, "estimate_ms": run_ms, **s}.items() if v}
                          for s in steps]}
        self.jobs[job] = body
        text = json.dumps(body)
        shown = json.dumps(body["steps"])
        self.record.note(f"caller POST {job} at entry-{entry}, {len(text)} bytes: {shown[:200]}"
                         f"{' ...' if len(shown) > 200 else ''}")
        status, answer = call(self.entry(entry), "POST", PREFIX + job, body,
                              timeout=deadline_ms / 1000,
                              headers={"X-Tarragonlock-Deadline-Ms": str(deadline_ms)})
        self.record.note(f"caller gets {status or 'no answer'} {json.dumps(answer)} for POST {job}")
        return status

    def submit_later(self, *args, **kwargs):
        """Submits a job in a thread of its own. Returns the thread; `status` holds the answer."""
        def run():
            thread.status = self.submit(*args, **kwargs)
        thread = threading.Thread(target=run, daemon=True)
        thread.status = None
        thread.start()
        return thread

    def wait_for(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with self.run_lock:
                if condition():
                    return True
            time.sleep(0.005)
        return False

    def unexpected_ends(self):
        return [f"{role}-{i}" for (role, i), p in self.processes.items() if p.poll() is not None]

    def finish(self, status=None):
        """Ends all processes and exits: 1 if a rule was broken, 0 if not, or the given status."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        if status is None:
            status = 1 if self.record.broken else 0
        self.record.note({0: "the rule held", 1: "the rule was broken"}.get(
            status, "the case could not run"))
        self.temporary.cleanup()
        sys.stdout.flush()
        os._exit(status)


def process_usage(process):
    """Returns the peak memory in MB and the processor time in seconds; zeros when it has ended."""
    try:
        folder = pathlib.Path("/proc") / str(process.pid)
        status = (folder / "status").read_text(encoding="utf-8").split("\n")
        peak_kb = next((int(line.split()[1]) for line in status if line.startswith("VmHWM")), 0)
        times = (folder / "stat").read_text(encoding="utf-8").rsplit(")", 1)[1].split()[11:13]
        return peak_kb / 1024, sum(map(int, times)) / os.sysconf("SC_CLK_TCK")
    except OSError:
        return 0.0, 0.0


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for each in sockets:
        each.close()
    return ports


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def guarded(main):
    """Runs a case; exits with 2 if it fails for a reason of its own."""
    try:
        main()
    except SystemExit:
        raise
    except BaseException as error:  # The programs must not outlive the case.
        fleet = Fleet.current
        print(f"the case could not run: {error!r}", file=sys.stderr)
        if fleet:
            fleet.finish(2)
        os._exit(2)
