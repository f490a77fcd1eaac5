"""A small deployment on loopback: the project's entries and agents, worker processes, a store and clients.

Entries and agents run with the commands of deploy/system.toml and with settings made from its templates.
"""
import base64
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "tarragonlock-leased"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY_PREFIX = "tarragonlock/entries/"
RESEND_S = 1.3
RECOVER_S = 12.0
CONFIG = {"version": 5, "services": [{"name": "desk"}], "limits": {},
          "routes": [{"name": "q", "host": "desk.example", "prefix": "/lots/", "kind": "unsafe",
                      "timeout_ms": 20000, "target_duration_ms": 1000, "priority": 0, "service": "desk",
                      "max_attempts": 3, "stretch": 4.0}]}


class CannotRun(Exception):
    pass


def free_ports(count):
    """Returns ports that are free on all loopback addresses, below those that outgoing connections use."""
    sockets, ports = [], []
    for port in random.sample(range(20_000, 32_000), 12_000):
        candidate = socket.socket()
        try:
            candidate.bind(("", port))
        except OSError:
            candidate.close()
            continue
        sockets.append(candidate)
        ports.append(port)
        if len(ports) == count:
            break
    for each in sockets:
        each.close()
    if len(ports) < count:
        raise CannotRun("too few free ports")
    return ports


class Store(ThreadingHTTPServer):
    """The platform's store with revisions, watches and leases that expire."""
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, port, shared=None, rewrite=None):
        super().__init__(("127.0.0.1", port), StoreHandler)
        self.rewrite = rewrite or {}
        if shared:
            self.changed, self.items, self.events = shared.changed, shared.items, shared.events
            self.leases, self.state = shared.leases, shared.state
        else:
            self.changed = threading.Condition()
            self.items, self.events, self.leases = {}, [], {}
            self.state = {"revision": 10, "lease": 100}
            threading.Thread(target=self.expire_leases, daemon=True).start()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_):
        pass

    def seen(self, item):
        """An item as the callers of this address see it: values of entries may name a proxy instead."""
        if item["key"].startswith(ENTRY_PREFIX) and "value" in item:
            value = base64.b64decode(item["value"]).decode()
            return {**item, "value": base64.b64encode(self.rewrite.get(value, value).encode()).decode()}
        return item

    def put(self, key, value, lease=0):
        with self.changed:
            self.state["revision"] += 1
            revision = self.state["revision"]
            created = self.items.get(key, {}).get("created", revision)
            item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                    "revision": revision, "created": created}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
            return revision

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.state["revision"] += 1
                self.events.append({"key": key, "revision": self.state["revision"], "deleted": True})
                self.changed.notify_all()

    def end_lease(self, lease):
        with self.changed:
            self.leases.pop(lease, None)
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    def expire_leases(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                now = time.monotonic()
                for lease in [k for k, (until, _) in self.leases.items() if until < now]:
                    self.end_lease(lease)


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def answer(self, status, value=None):
        data = b"" if value is None else json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        store = self.server
        url = urllib.parse.urlparse(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        with store.changed:
            if url.path == "/-/kv-range":
                found = [store.seen(item) for key, item in sorted(store.items.items())
                         if key.startswith(prefix) and key > query.get("after", "")]
                return self.answer(200, {"items": found, "truncated": False,
                                         "current_rev": store.state["revision"]})
            if url.path != "/-/kv-watch":
                return self.answer(404)
            after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [store.seen(e) for e in store.events
                          if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                store.changed.wait(left)
            revision = store.state["revision"]
        return self.answer(200, {"events": events, "current_rev": revision})

    def do_POST(self):
        store = self.server
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")
        with store.changed:
            if self.path == "/-/kv-lease":
                store.state["lease"] += 1
                ttl = max(1000, min(body["ttl_ms"], 600_000))
                store.leases[store.state["lease"]] = (time.monotonic() + ttl / 1000, ttl)
                return self.answer(200, {"lease": store.state["lease"], "ttl_ms": ttl})
            if self.path.startswith("/-/kv-keep/"):
                lease = int(self.path.rsplit("/", 1)[1])
                if lease not in store.leases:
                    return self.answer(404)
                ttl = store.leases[lease][1]
                store.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return self.answer(200, {"ttl_ms": ttl})
            for row in body.get("expected", []):
                if store.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                    return self.answer(412, {"items": [store.items[r["key"]] for r in body["expected"]
                                                       if r["key"] in store.items]})
            if any(put.get("lease") and put["lease"] not in store.leases for put in body["puts"]):
                return self.answer(404)
            for put in body["puts"]:
                store.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in body.get("remove", []):
                store.remove(key)
            return self.answer(200, {"revision": store.state["revision"]})

    def do_DELETE(self):
        self.server.end_lease(int(self.path.rsplit("/", 1)[1]))
        self.answer(200, {})


class Proxy:
    """Forwards connections to an address; reset() resets all that are open."""

    def __init__(self, listen, to):
        self.to = to
        self.open = []
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            incoming, _ = self.listener.accept()
            outgoing = socket.socket()
            try:
                outgoing.connect(self.to)
            except OSError:
                incoming.close()
                continue
            for each in (incoming, outgoing):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.append((incoming, outgoing))
            for source, target in ((incoming, outgoing), (outgoing, incoming)):
                threading.Thread(target=self.copy, args=(source, target), daemon=True).start()

    @staticmethod
    def copy(source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def reset(self):
        with self.lock:
            pairs, self.open = self.open, []
        for pair in pairs:
            for each in pair:
                try:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    each.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
            for each in pair:
                each.close()
        return len(pairs)


class Deployment:
    """Entries on 127.0.0.2 and up, agents and workers on 127.0.0.1."""

    def __init__(self, folder, entries, agents, first_report_s=0.0, stop_ms=5, cpu=4000, labels=None,
                 proxied_agents=()):
        self.folder = pathlib.Path(folder)
        self.record_path = pathlib.Path(sys.argv[0]).resolve().parent / "record.txt"
        self.record_file = self.record_path.open("w", encoding="utf-8", buffering=1)
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.processes = {}
        self.stop_ms, self.cpu = stop_ms, cpu
        self.labels = labels or ["a,r1-1"] * agents
        self.hosts = [f"127.0.0.{2 + i}" for i in range(entries)]
        ports = free_ports(7 + 4 * agents)
        (self.caller_port, self.ready_port, self.peer_port, self.metrics_port, store_port, proxied_store_port,
         self.proxy_port) = ports[:7]
        self.agent_ports = [ports[7 + 4 * i:11 + 4 * i] for i in range(agents)]
        self.store = Store(store_port)
        self.store_port, self.proxied_store_port = store_port, proxied_store_port
        self.proxied_agents = set(proxied_agents)
        self.proxies = []
        if self.proxied_agents:
            rewrite = {f"{h}:{self.peer_port}": f"{h}:{self.proxy_port}" for h in self.hosts}
            Store(proxied_store_port, shared=self.store, rewrite=rewrite)
            self.proxies = [Proxy((h, self.proxy_port), (h, self.peer_port)) for h in self.hosts]
        self.store.put("op/config", json.dumps(CONFIG).encode())
        self.worker_options = {i: {"first_report_s": first_report_s} for i in range(agents)}
        for i in range(agents):
            self.start_worker(i, first_report_s=0.0)
        for i in range(entries):
            self.start_entry(i)
        for i in range(agents):
            self.start_agent(i)
        self.jobs = 0

    def log(self, text):
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.began:9.3f} s  {text}\n")

    def fill(self, template, values):
        text = (ROOT / "deploy" / template).read_text(encoding="utf-8")
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        start, end = text.find("[{{#seeds}}"), text.find("{{/seeds}}]")
        if start >= 0:
            seeds = ", ".join(f'"{h}:{self.caller_port}"' for h in self.hosts)
            text = text[:start] + f"[{seeds}]" + text[end + len("{{/seeds}}]"):]
        return text

    def start_program(self, role, index, values, metrics_port):
        name = f"{role}-{index}"
        settings = self.folder / f"{name}.yaml"
        text = self.fill(f"{role}.yaml.in", values).replace("metrics_port: 9464", f"metrics_port: {metrics_port}")
        settings.write_text(text, encoding="utf-8")
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [PROGRAM, role], stdout=output, stderr=output,
                env={**os.environ, "TARRAGONLOCK_BOOT": str(settings)})
        self.log(f"{name} started")

    def start_entry(self, i):
        self.start_program("entry", i, {
            "node": f"entry-{i}", "zone": "fd-1", "ip": self.hosts[i],
            "listen.front": f"{self.hosts[i]}:{self.caller_port}",
            "listen.ready_addr": f"{self.hosts[i]}:{self.ready_port}", "listen.control_addr": "",
            "port_range.0": self.peer_port, "platform.address": f"127.0.0.1:{self.store_port}",
            "bounds.resend_ms": 1300, "bounds.grace_s": 6, "bounds.remote_penalty": 1.5}, self.metrics_port)

    def start_agent(self, i):
        proxied = i in self.proxied_agents
        self.start_program("agent", i, {
            "node": f"agent-{i}", "zone": "fd-1", "ip": "127.0.0.1",
            "listen.control_addr": f"127.0.0.1:{self.agent_ports[i][0]}",
            "port_range.0": self.proxy_port if proxied else self.peer_port,
            "platform.address": f"127.0.0.1:{self.proxied_store_port if proxied else self.store_port}",
            "bounds.resend_ms": 1300, "bounds.max_hold_ms": 1000, "bounds.grace_s": 6}, self.agent_ports[i][1])

    def start_worker(self, i, **changes):
        options = {"cpu": self.cpu, "labels": self.labels[i], "stop_ms": self.stop_ms,
                   **self.worker_options[i], **changes}
        arguments = [sys.executable, str(pathlib.Path(__file__).with_name("worker.py")),
                     "--port", str(self.agent_ports[i][2]), "--id", f"i-{i:02d}",
                     "--control", f"127.0.0.1:{self.agent_ports[i][0]}", "--cpu", str(options["cpu"]),
                     "--labels", options["labels"], "--stop-ms", str(options["stop_ms"]),
                     "--first-report-s", str(options["first_report_s"]),
                     "--events", str(self.folder / f"worker-{i}.events")]
        self.processes[f"worker-{i}"] = subprocess.Popen(arguments)
        self.log(f"worker-{i} started: {options}")

    def signal(self, name, number):
        self.log(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def kill(self, *names):
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.processes.pop(name).wait()

    def request(self, entry, method, path, body=None, deadline_ms=1500, timeout=None):
        """Returns the status of one request to an entry; 0 when its channel breaks or the client stops waiting."""
        connection = http.client.HTTPConnection(self.hosts[entry], self.caller_port,
                                                timeout=timeout or deadline_ms / 1000)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Host": "desk.example", "Content-Type": "application/json",
                                "X-Tarragonlock-Deadline-Ms": str(deadline_ms)})
            reply = connection.getresponse()
            return reply.status, reply.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def new_id(self):
        with self.lock:
            self.jobs += 1
            return f"{0x5c0e7a2100000000 + self.jobs:016x}"

    def submit(self, entry, ms, cpu=1000, count=1, deadline_ms=1500, job=None, estimate_ms=None, **step):
        job = job or self.new_id()
        body = {"spec": json.dumps({"ms": ms, "cpu": cpu}), "best_effort": True,
                "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms or ms, **step}]}
        sent = time.monotonic()
        self.log(f"POST {job} to entry-{entry}: {body['steps']}, {ms} ms each, deadline {deadline_ms} ms")
        status, answer = self.request(entry, "POST", f"/lots/{job}", body, deadline_ms)
        self.log(f"     {job} answered {status} {answer} after {(time.monotonic() - sent) * 1000:.0f} ms")
        return sent, status, job

    def wait_until_served(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(self.ready(i) for i in range(len(self.hosts))):
                return
            time.sleep(0.1)
        raise CannotRun("the deployment doesn't become ready")

    def ready(self, entry):
        connection = http.client.HTTPConnection(self.hosts[entry], self.ready_port, timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def events(self):
        """Returns what the workers have seen, in order of time."""
        found = []
        for path in self.folder.glob("worker-*.events"):
            for line in path.read_text(encoding="utf-8").splitlines():
                found.append(json.loads(line))
        return sorted(found, key=lambda e: e["t"])

    def condensed_events(self):
        """Returns pairs of an event and the number of refused orders of its worker and path in the second after it."""
        found, last = [], {}
        for event in self.events():
            key = (event["worker"], event["event"], event.get("path"))
            if event["event"] in ("refused", "fenced"):
                if key in last and event["t"] - found[last[key]][0]["t"] < 1.0:
                    found[last[key]][1] += 1
                    continue
                last[key] = len(found)
            found.append([event, 0])
        return found

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for event, left_out in self.condensed_events():
            fields = {k: v for k, v in event.items() if k not in ("t", "worker", "event")}
            more = f" and {left_out} more like it" if left_out else ""
            self.record_file.write(
                f"{event['t'] - self.began:9.3f} s  {event['worker']} {event['event']} {fields}{more}\n")
        self.record_file.close()
        lines = self.record_path.read_text(encoding="utf-8").splitlines()
        # The outcome is the first line; all others stand in order of time.
        outcome = [line for line in lines if not line[:9].strip()[:1].isdigit()]
        rest = sorted((line for line in lines if line not in outcome), key=lambda line: float(line[:9]))
        self.record_path.write_text("\n".join(outcome + rest) + "\n", encoding="utf-8")


def run_case(case, **options):
    """Runs case(deployment), which returns the breaches found as lines of text. Exits with 0, 1 or 2."""
    if not PROGRAM.exists():
        print("target/tarragonlock-leased is missing: build as deploy/system.toml says")
        sys.exit(2)
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        deployment = None
        try:
            deployment = Deployment(folder, **options)
            deployment.wait_until_served()
            breaches = case(deployment)
            status = 1 if breaches else 0
            outcome = "RULE BROKEN" if breaches else "rule kept"
            text = [f"{outcome}, TROUBLE={'1' if TROUBLE else '0'}", *breaches[:10]]
        except CannotRun as error:
            text = [f"could not run: {error}"]
        except Exception as error:  # pylint: disable=broad-except
            text = [f"could not run: {error!r}"]
        finally:
            if deployment:
                with deployment.lock:
                    deployment.record_file.write("".join("result: " + line + "\n" for line in text))
                deployment.close()
                if logs := os.environ.get("KEEP_LOGS"):
                    subprocess.run(["cp", "-r", folder, logs], check=False)
    print("\n".join(text))
    sys.exit(status)
