#!/usr/bin/env python3
"""Fault soak of leased jobs: the real programs as processes, disturbed from outside.

Usage: soak.py [--seeds N] [--first-seed S] [--seconds T] [--jobs J] [--keep FOLDER] [--regressions]

Each seed plays a random series of faults for T seconds while callers submit jobs, then calms down
and expects the fleet to serve again. What callers and workers saw is checked while it runs. A seed
fixes what each of the two series of faults draws, not the timing of the machine. The last line
counts the seeds. Addresses are fixed, so one soak runs on a machine at a time.
"""
import argparse
import concurrent.futures
import http.client
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests" / "standins"), str(ROOT / "tests" / "soak")]
from leased_processes import LeasedProcesses  # noqa: E402
from loopback_proxy import LoopbackProxy  # noqa: E402
from platform_standins import Store, Worker  # noqa: E402

ENTRIES, AGENTS = 3, 4
CALLERS_PER_ENTRY = 4
RESEND_S = 1.3            # the callers' delay after a lost answer, as in the settings
DEADLINE_MS = 3000
ANSWER_SLACK_S = 1.0      # beyond the deadline, for a busy machine
RECOVERY_S = 20           # the users ask for 12 s; the rest is for a busy machine
PLANNED_SLACK_S = 0.2     # a request sent just as an idle connection closes may be cut
CALM_BEFORE_S = 3.0       # a planned stop is judged when no fault was near for so long
TASK_CPU, WORKER_CPU = 1000, 4000
PORTS = {"callers": 1, "ready": 2, "metrics": 3, "peers": 20, "proxied_peers": 21,
         "agents": 40, "agent_metrics": 50, "workers": 60, "proxied_workers": 70, "store": 80,
         "proxied_store": 81}
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")


class ProxiedStore(Store):
    """Lists entries at their proxies' ports, so that agents reach them through these."""

    def __init__(self, port, host, peers, proxied_peers):
        self.rewrite = (f":{peers}".encode(), f":{proxied_peers}".encode())
        super().__init__(port, host)

    def put(self, key, value, lease=0):
        if key.startswith("tarragonlock/entries/"):
            value = value.replace(*self.rewrite)
        super().put(key, value, lease)


class Soak:
    def __init__(self, seed, seconds, slot, folder):
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.series = threading.local()
        self.net = f"127.0.{50 + slot}"
        self.base = 29000 + 100 * slot
        self.violations, self.events = [], []
        self.begun = time.monotonic()
        self.lock = threading.RLock()
        self.jobs = {}          # id -> what its caller knows
        self.served = 0
        self.last_fault = 0.0
        self.leaving = {}       # entry -> when its planned stop began
        self.calling = True
        self.version = 0
        port = self.port
        self.store = ProxiedStore(port("store"), f"{self.net}.1", port("peers"),
                                  port("proxied_peers")).start()
        self.store_proxy = LoopbackProxy((f"{self.net}.1", port("proxied_store")),
                                         (f"{self.net}.1", port("store")))
        self.configure()
        self.workers, self.worker_proxies = [], []
        for i in range(AGENTS):
            worker = Worker(port("workers") + i, f"w-{i}-0", f"{self.net}.1", self.lock)
            listen = (f"{self.net}.1", port("proxied_workers") + i)
            self.worker_proxies.append(LoopbackProxy(listen, (f"{self.net}.1",
                                                              port("workers") + i)))
            worker.address = f"{listen[0]}:{listen[1]}"
            worker.on_start, worker.on_end = self.on_start, self.on_end
            self.workers.append(worker.start())
        self.peer_proxies = [LoopbackProxy((self.host(i), port("proxied_peers")),
                                           (self.host(i), port("peers"))) for i in range(ENTRIES)]
        self.processes = LeasedProcesses(folder, self.settings)

    @property
    def chance(self):
        """The random numbers of the series of faults that runs in this thread."""
        return self.series.chance

    def port(self, name):
        return self.base + PORTS[name]

    def host(self, entry):
        return f"{self.net}.{10 + entry}"

    def settings(self, role, index):
        common = [f"name: {role}-{index}", "failure_domain: fd-1",
                  f"store: {self.net}.1:{self.port('proxied_store')}", "grace_s: 6"]
        if role == "entry":
            host = self.host(index)
            return common + [f"host: {host}", f"listen_callers: {host}:{self.port('callers')}",
                             f"listen_readiness: {host}:{self.port('ready')}",
                             f"peer_port: {self.port('peers')}",
                             f"metrics_port: {self.port('metrics')}"]
        hints = ", ".join(f"{self.host(i)}:1" for i in range(ENTRIES))
        return common + [f"host: {self.net}.1", f"entry_hints: [{hints}]",
                         f"listen_worker: {self.net}.1:{self.port('agents') + index}",
                         f"peer_port: {self.port('proxied_peers')}",
                         f"metrics_port: {self.port('agent_metrics') + index}"]

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.begun:7.3f} {text}")

    def violate(self, text):
        self.note("VIOLATION " + text)
        self.violations.append(text)

    def configure(self):
        """Puts a new version in force, with a route of its own."""
        self.version += 1
        routes = [{"name": f"r{i}", "host": "desk.example", "prefix": prefix, "kind": "unsafe",
                   "timeout_ms": 5000, "target_duration_ms": 2500, "priority": 0,
                   "service": "desk", "max_attempts": 3, "stretch": 2.0}
                  for i, prefix in enumerate(("/lots/", f"/v{self.version}/"))]
        self.store.put("op/config", json.dumps({"version": self.version, "routes": routes,
                                                "services": [], "limits": {}}).encode())

    # What workers see. The shared lock is held.

    def on_start(self, worker, body):
        task = body["task"]
        job = self.jobs.get(task.split(".")[0])
        if job is None or body["spec"] != job["spec"]:
            self.violate(f"{worker.name} was told to start what nobody sent: {task}")
            return
        job["started"] = True
        worker.advance()
        if TASK_CPU * (len(worker.running) + 1) > WORKER_CPU:
            self.violate(f"{worker.name} is over its capacity")
        for other in self.workers:
            other.advance()
            if task in other.running:
                self.violate(f"two runs at a time: {task} on {worker.name} and {other.name}")

    def on_end(self, task, how):
        if how == "done" and (job := self.jobs.get(task.split(".")[0])):
            job["done"].add(task)

    # Callers.

    def attempt(self, connection, job, path, body):
        """Sends a job once and returns the status, 0 for a lost answer, and the open connection."""
        connection.request("POST", path, json.dumps(body),
                           {"Host": "desk.example", "X-Tarragonlock-Deadline-Ms": str(DEADLINE_MS)})
        reply = connection.getresponse()
        answer = json.loads(reply.read() or b"{}")
        if reply.status == 200 and answer.get("state") == "completed":
            self.check_completed(job)
        return reply.status

    def check_completed(self, job):
        with self.lock:
            missing = [i for i in range(job["tasks"]) if f"{job['id']}.0.0.{i}" not in job["done"]]
        if missing:
            self.violate(f"completed without tasks {missing}: {job['id']}")

    def call(self, number, home):
        chance = random.Random(f"{self.seed}-{number}")
        connections = {}
        count = 0
        while self.calling:
            count += 1
            tasks, run_ms = chance.randint(1, 4), chance.choice((20, 60, 150, 400))
            job = {"id": f"{number:08x}{count:08x}", "tasks": tasks, "started": False,
                   "statuses": [], "spec": json.dumps({"ms": run_ms}), "done": set()}
            self.jobs[job["id"]] = job
            body = {"spec": job["spec"], "best_effort": True,
                    "steps": [{"count": tasks, "cpu": TASK_CPU, "mem_mb": 64,
                               "estimate_ms": max(1, int(run_ms * chance.uniform(0.7, 1.4)))}]}
            entry = home
            for _ in range(3):
                status = self.submit(connections, entry, job, body)
                job["statuses"].append(status)
                if status not in (0, 502, 504):
                    break
                time.sleep(RESEND_S)
                entry = chance.randrange(ENTRIES)
            self.served += job["statuses"][-1] == 200
            time.sleep(chance.uniform(0.0, 0.2))

    def submit(self, connections, entry, job, body):
        sent = time.monotonic()
        timeout = DEADLINE_MS / 1000 + ANSWER_SLACK_S
        connection = connections.setdefault(
            entry, http.client.HTTPConnection(self.host(entry), self.port("callers"),
                                              timeout=timeout))
        try:
            return self.attempt(connection, job, "/lots/" + job["id"], body)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            took = time.monotonic() - sent
            calm = sent - self.last_fault > CALM_BEFORE_S
            if calm and isinstance(error, TimeoutError):
                self.violate(f"no answer by the deadline: {job['id']} at entry-{entry}")
            elif calm and entry in self.leaving and took > PLANNED_SLACK_S:
                self.violate(f"a planned stop cut {job['id']} at entry-{entry} after {took:.2f} s")
            return 0

    # Faults.

    def beat(self, index):
        while self.calling:
            worker = self.workers[index]
            connection = http.client.HTTPConnection(f"{self.net}.1", self.port("agents") + index,
                                                    timeout=1)
            try:
                with self.lock:
                    said = worker.announcement()
                    name = worker.name
                connection.request("PUT", f"/-/instances/{name}", json.dumps(said))
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass  # Its agent is away; the next announcement tells as much.
            finally:
                connection.close()
            time.sleep(0.3)

    def some_process(self):
        role = self.chance.choice(("entry", "agent"))
        return role, self.chance.randrange(ENTRIES if role == "entry" else AGENTS)

    def kill(self):
        role, index = self.some_process()
        self.note(f"kill {role}-{index}")
        self.processes.end(role, index, signal.SIGKILL)
        time.sleep(self.chance.uniform(0.1, 1.0))
        self.processes.start(role, index)

    def pause(self):
        role, index = self.some_process()
        length = self.chance.uniform(0.1, 2.5)
        self.note(f"pause {role}-{index} for {length:.2f} s")
        self.processes.signal(role, index, signal.SIGSTOP)
        time.sleep(length)
        self.processes.signal(role, index, signal.SIGCONT)

    def roll(self):
        """Stops and starts processes in turn, as planned work does."""
        for _ in range(self.chance.randint(1, 3)):
            role, index = self.some_process()
            self.note(f"stop {role}-{index}")
            if role == "entry":
                self.leaving[index] = time.monotonic()
            if self.processes.end(role, index, signal.SIGTERM) != 0:
                self.violate(f"{role}-{index} did not end by itself")
            self.processes.start(role, index)
            time.sleep(self.chance.uniform(0.5, 1.5))
            if role == "entry":
                self.leaving.pop(index, None)

    def disturb_links(self):
        proxy = self.chance.choice(self.peer_proxies + self.worker_proxies + [self.store_proxy])
        what = self.chance.choice(("delay", "hold", "silence", "reset"))
        directions = self.chance.choice((("to_caller",), ("to_server",),
                                         ("to_caller", "to_server")))
        self.note(f"{what} {directions} at {proxy.server}")
        if what == "delay":
            proxy.delay(self.chance.uniform(0.01, 0.3))
        elif what == "hold":
            proxy.hold(directions)
        elif what == "silence":
            proxy.silence(0.5, self.chance)
        else:
            proxy.reset(0.7, self.chance)
        time.sleep(self.chance.uniform(0.2, 3.0))
        proxy.heal()

    def lose_orders(self):
        for worker in self.workers:
            worker.lose_answers += self.chance.randint(0, 4)
            worker.late_starts += self.chance.randint(0, 3)
            worker.late_by_s = self.chance.uniform(1.0, 4.0)
        self.note("orders are lost or late")

    def replace_worker(self):
        worker = self.chance.choice(self.workers)
        self.note(f"replace {worker.name}")
        worker.begin_life(f"{worker.name[:4]}{int(1000 * time.monotonic()) % 100000}")

    def stall_worker(self):
        worker = self.chance.choice(self.workers)
        self.note(f"{worker.name} stands still")
        worker.stuck = True
        time.sleep(self.chance.uniform(0.3, 2.0))
        worker.stuck = False

    def store_outage(self):
        self.note("store down")
        self.store.down = True
        time.sleep(self.chance.uniform(0.3, 3.0))
        if self.chance.random() < 0.5:
            with self.store.changed:
                for lease in list(self.store.leases):
                    self.store.end_lease(lease)
        self.store.down = False

    def change_configuration(self):
        self.note("change the configuration")
        self.configure()

    PLANNED = ("roll", "change_configuration")
    UNPLANNED = ("kill", "pause", "disturb_links", "lose_orders", "replace_worker",
                 "stall_worker", "store_outage")

    def may_begin(self, name, busy):
        """Whether a fault may run beside those that do; one series at a time ends processes."""
        ends_processes = {"kill", "pause", "roll"}
        return name not in busy and not (name in ends_processes and busy & ends_processes)

    def play_faults(self, number, shared):
        """One of two series of faults, which overlap; the same fault never runs in both."""
        self.series.chance = random.Random(f"{self.seed}-faults-{number}")
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            planned = self.chance.random() < 0.25
            name = self.chance.choice(self.PLANNED if planned else self.UNPLANNED)
            with shared["lock"]:
                if not self.may_begin(name, shared["busy"]):
                    continue
                shared["busy"].add(name)
            try:
                if not planned:
                    self.last_fault = time.monotonic()
                getattr(self, name)()
                if not planned:
                    self.last_fault = time.monotonic()
            finally:
                with shared["lock"]:
                    shared["busy"].discard(name)
            time.sleep(self.chance.uniform(0.1, 1.5 if planned else 0.8))

    # The whole.

    def eventually(self, condition, text):
        end = time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.1)
        self.violate(text)

    def keep_metrics(self):
        """Writes what each process counted beside its log."""
        for role, index in list(self.processes.running):
            host = self.host(index) if role == "entry" else f"{self.net}.1"
            port = self.port("metrics") if role == "entry" else self.port("agent_metrics") + index
            connection = http.client.HTTPConnection(host, port, timeout=2)
            try:
                connection.request("GET", "/metrics")
                text = connection.getresponse().read().decode()
            except (OSError, http.client.HTTPException) as error:
                text = f"none: {error}\n"
            finally:
                connection.close()
            path = pathlib.Path(self.folder) / f"{role}-{index}.metrics"
            path.write_text(text, encoding="utf-8")

    def ask(self, entry, method, path, body=None):
        connection = http.client.HTTPConnection(self.host(entry), self.port("callers"), timeout=5)
        try:
            connection.request(method, path, body, {"Host": "desk.example"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def check_after(self):
        """With the faults over, the fleet serves, has the newest configuration, and is empty."""
        for proxy in self.peer_proxies + self.worker_proxies + [self.store_proxy]:
            proxy.heal()
        for entry in range(ENTRIES):
            self.eventually(lambda e=entry: self.ask(e, "GET", f"/v{self.version}/") == 200,
                            f"entry-{entry} does not have the newest configuration")
        before = self.served
        self.eventually(lambda: self.served >= before + 20, "the fleet does not serve again")
        if self.violations:
            self.keep_metrics()
        self.calling = False
        self.eventually(lambda: not any(w.running for w in self.workers), "something runs on")
        for job in list(self.jobs.values()):
            refused = job["statuses"] and all(s in (429, 503) for s in job["statuses"])
            if refused and job["started"]:
                self.violate(f"said not to have run, though it had: {job['id']}")

    def run(self):
        threads = []
        try:
            for role, count in (("entry", ENTRIES), ("agent", AGENTS)):
                for index in range(count):
                    self.processes.start(role, index)
            threads = [threading.Thread(target=self.beat, args=(i,)) for i in range(AGENTS)]
            threads += [threading.Thread(target=self.call, args=(i, i % ENTRIES))
                        for i in range(ENTRIES * CALLERS_PER_ENTRY)]
            for thread in threads:
                thread.start()
            self.eventually(lambda: self.served >= 10, "the fleet does not begin to serve")
            shared = {"lock": threading.Lock(), "busy": set()}
            series = [threading.Thread(target=self.play_faults, args=(i, shared))
                      for i in range(2)]
            for thread in series:
                thread.start()
            for thread in series:
                thread.join()
            self.check_after()
        finally:
            self.calling = False
            for thread in threads:
                thread.join()
            self.processes.stop()
            for proxy in self.peer_proxies + self.worker_proxies + [self.store_proxy]:
                proxy.stop()
            for server in self.workers + [self.store]:
                server.shutdown()
                server.server_close()
        return self.violations


def play(seed, seconds, slot, keep):
    """Plays one seed and returns its violations and what it did."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, slot, folder)
        violations = soak.run()
        if violations and keep:
            kept = pathlib.Path(keep) / f"seed-{seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            (kept / "events.txt").write_text("\n".join(soak.events) + "\n", encoding="utf-8")
        return violations, len(soak.jobs), soak.served, len(soak.events)


def play_apart(seed, options, slot):
    """Plays one seed in a process of its own."""
    command = [sys.executable, __file__, "--first-seed", str(seed), "--seconds",
               str(options.seconds), "--slot", str(slot), "--keep", options.keep]
    done = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    print("\n".join(done.stdout.splitlines()[:-1]), flush=True)
    return done.returncode == 0


def regression_seeds():
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--slot", type=int, default=0, help="keeps fleets apart on one machine")
    parser.add_argument("--keep", default="", help="folder for the logs of failed seeds")
    parser.add_argument("--regressions", action="store_true", help="the seeds that once failed")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    if options.regressions:
        seeds = regression_seeds()
    if len(seeds) == 1:
        violations, jobs, served, events = play(seeds[0], options.seconds, options.slot,
                                                options.keep)
        for violation in violations:
            print(f"seed {seeds[0]}: VIOLATION {violation}")
        print(f"seed {seeds[0]}: {jobs} jobs, {served} served, {events} events, "
              f"{len(violations)} violations")
        passed = 0 if violations else 1
    else:
        slots = [options.slot + i for i in range(options.jobs)]
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            def one(seed):
                slot = slots.pop()
                try:
                    return play_apart(seed, options, slot)
                finally:
                    slots.append(slot)
            passed = sum(pool.map(one, seeds))
    print(f"{passed} passed, {len(seeds) - passed} failed")
    return 0 if passed == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
