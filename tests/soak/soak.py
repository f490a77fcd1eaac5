#!/usr/bin/env python3
"""Soak test of leased jobs: injects faults into entries, agents, workers, links and the store.

Usage: soak.py [--seeds N] [--first-seed S] [--seconds T] [--jobs J] [--keep FOLDER] [--regressions]

For each seed, two concurrent series of random faults run for T seconds while callers submit jobs.
Then all faults stop, and the fleet must serve again. Answers to callers and task runs on workers
are checked throughout. A seed determines the random numbers that each series draws, not the timing
of the processes. The last line counts passed and failed seeds. Addresses are fixed, so only one
soak can run on a machine at a time.
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
RESEND_DELAY_S = 1.3        # callers wait this long after a lost answer, as in the settings
DEADLINE_MS = 3000
ANSWER_SLACK_S = 1.0        # allowed beyond the deadline, for a busy machine
RECOVERY_LIMIT_S = 20       # users require 12 s; the rest allows for a busy machine
PLANNED_STOP_SLACK_S = 0.2  # a request sent just as an idle connection closes may be cut off
FAULT_FREE_S = 3.0          # lost answers count only if no unplanned fault was this recent
TASK_CPU, WORKER_CPU = 1000, 4000
PORTS = {"callers": 1, "ready": 2, "metrics": 3, "peers": 20, "proxied_peers": 21,
         "agents": 40, "agent_metrics": 50, "workers": 60, "proxied_workers": 70, "store": 80,
         "proxied_store": 81}
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")


class ProxiedStore(Store):
    """Replaces peer ports in entry records by proxy ports, so that agents connect via proxies."""

    def __init__(self, port, host, peers, proxied_peers):
        self.rewrite = (f":{peers}".encode(), f":{proxied_peers}".encode())
        super().__init__(port, host)

    def put(self, key, value, lease=0):
        if key.startswith("tarragonlock/entries/"):
            value = value.replace(*self.rewrite)
        super().put(key, value, lease)


class Soak:
    """One fleet with its callers, workers, proxies and store, for one seed."""

    def __init__(self, seed, seconds, slot, folder):
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.thread_state = threading.local()
        self.network = f"127.0.{50 + slot}"
        self.base_port = 29000 + 100 * slot
        self.violations, self.events = [], []
        self.started_at = time.monotonic()
        self.lock = threading.RLock()
        self.jobs = {}              # id -> size, spec and statuses of the job, and its done tasks
        self.served = 0
        self.last_fault_at = 0.0
        self.stopping_entries = {}  # entry -> time at which its planned stop began
        self.callers_active = True
        self.version = 0
        port = self.port
        self.store = ProxiedStore(port("store"), f"{self.network}.1", port("peers"),
                                  port("proxied_peers")).start()
        self.store_proxy = LoopbackProxy((f"{self.network}.1", port("proxied_store")),
                                         (f"{self.network}.1", port("store")))
        self.publish_configuration()
        self.workers, self.worker_proxies = [], []
        for i in range(AGENTS):
            worker = Worker(port("workers") + i, f"w-{i}-0", f"{self.network}.1", self.lock)
            listen = (f"{self.network}.1", port("proxied_workers") + i)
            self.worker_proxies.append(LoopbackProxy(listen, (f"{self.network}.1",
                                                              port("workers") + i)))
            worker.address = f"{listen[0]}:{listen[1]}"
            worker.on_start, worker.on_end = self.on_start, self.on_end
            self.workers.append(worker.start())
        self.peer_proxies = [LoopbackProxy((self.host(i), port("proxied_peers")),
                                           (self.host(i), port("peers"))) for i in range(ENTRIES)]
        self.processes = LeasedProcesses(folder, self.settings)

    @property
    def rng(self):
        """Random generator of the series of faults that runs in this thread."""
        return self.thread_state.rng

    def port(self, name):
        return self.base_port + PORTS[name]

    def host(self, entry):
        return f"{self.network}.{10 + entry}"

    def settings(self, role, index):
        common = [f"name: {role}-{index}", "failure_domain: fd-1",
                  f"store: {self.network}.1:{self.port('proxied_store')}", "grace_s: 6"]
        if role == "entry":
            host = self.host(index)
            return common + [f"host: {host}", f"listen_callers: {host}:{self.port('callers')}",
                             f"listen_readiness: {host}:{self.port('ready')}",
                             f"peer_port: {self.port('peers')}",
                             f"metrics_port: {self.port('metrics')}"]
        hints = ", ".join(f"{self.host(i)}:1" for i in range(ENTRIES))
        return common + [f"host: {self.network}.1", f"entry_hints: [{hints}]",
                         f"listen_worker: {self.network}.1:{self.port('agents') + index}",
                         f"peer_port: {self.port('proxied_peers')}",
                         f"metrics_port: {self.port('agent_metrics') + index}"]

    def log_event(self, text):
        self.events.append(f"{time.monotonic() - self.started_at:7.3f} {text}")

    def report_violation(self, text):
        self.log_event("VIOLATION " + text)
        self.violations.append(text)

    def publish_configuration(self):
        """Stores a new configuration version with a route that no other version has."""
        self.version += 1
        routes = [{"name": f"r{i}", "host": "desk.example", "prefix": prefix, "kind": "unsafe",
                   "timeout_ms": 5000, "target_duration_ms": 2500, "priority": 0,
                   "service": "desk", "max_attempts": 3, "stretch": 2.0}
                  for i, prefix in enumerate(("/lots/", f"/v{self.version}/"))]
        self.store.put("op/config", json.dumps({"version": self.version, "routes": routes,
                                                "services": [], "limits": {}}).encode())

    # Callbacks of the workers, called with the shared lock held.

    def on_start(self, worker, body):
        task = body["task"]
        job = self.jobs.get(task.split(".")[0])
        if job is None or body["spec"] != job["spec"]:
            self.report_violation(f"{worker.name} got a start that no caller submitted: {task}")
            return
        job["started"] = True
        worker.advance()
        if TASK_CPU * (len(worker.running) + 1) > WORKER_CPU:
            self.report_violation(f"{worker.name} exceeds its capacity")
        for other in self.workers:
            other.advance()
            if task in other.running:
                self.report_violation(
                    f"two runs at a time: {task} on {worker.name} and {other.name}")

    def on_end(self, task, outcome):
        if outcome == "done" and (job := self.jobs.get(task.split(".")[0])):
            job["done"].add(task)

    # Callers.

    def send_job(self, connection, job, path, body):
        """Sends a job, checks that a completed one lacks no task, and returns the HTTP status."""
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
            self.report_violation(f"completed without tasks {missing}: {job['id']}")

    def run_caller(self, caller, home_entry):
        """Submits random jobs in turn; after a lost answer, 502 or 504 tries a random entry."""
        rng = random.Random(f"{self.seed}-{caller}")
        connections = {}
        count = 0
        while self.callers_active:
            count += 1
            tasks, run_ms = rng.randint(1, 4), rng.choice((20, 60, 150, 400))
            job = {"id": f"{caller:08x}{count:08x}", "tasks": tasks, "started": False,
                   "statuses": [], "spec": json.dumps({"ms": run_ms}), "done": set()}
            self.jobs[job["id"]] = job
            body = {"spec": job["spec"], "best_effort": True,
                    "steps": [{"count": tasks, "cpu": TASK_CPU, "mem_mb": 64,
                               "estimate_ms": max(1, int(run_ms * rng.uniform(0.7, 1.4)))}]}
            entry = home_entry
            for _ in range(3):
                status = self.submit(connections, entry, job, body)
                job["statuses"].append(status)
                if status not in (0, 502, 504):
                    break
                time.sleep(RESEND_DELAY_S)
                entry = rng.randrange(ENTRIES)
            self.served += job["statuses"][-1] == 200
            time.sleep(rng.uniform(0.0, 0.2))

    def submit(self, connections, entry, job, body):
        """Sends a job once and returns the HTTP status, or 0 for a lost answer."""
        sent_at = time.monotonic()
        timeout = DEADLINE_MS / 1000 + ANSWER_SLACK_S
        connection = connections.setdefault(
            entry, http.client.HTTPConnection(self.host(entry), self.port("callers"),
                                              timeout=timeout))
        try:
            return self.send_job(connection, job, "/lots/" + job["id"], body)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            elapsed_s = time.monotonic() - sent_at
            fault_free = sent_at - self.last_fault_at > FAULT_FREE_S
            if fault_free and isinstance(error, TimeoutError):
                self.report_violation(f"no answer by the deadline: {job['id']} at entry-{entry}")
            elif fault_free and entry in self.stopping_entries and elapsed_s > PLANNED_STOP_SLACK_S:
                self.report_violation(f"a planned stop cut off {job['id']} at entry-{entry} "
                                      f"after {elapsed_s:.2f} s")
            return 0

    # Faults.

    def send_announcements(self, index):
        while self.callers_active:
            worker = self.workers[index]
            connection = http.client.HTTPConnection(f"{self.network}.1",
                                                    self.port("agents") + index, timeout=1)
            try:
                with self.lock:
                    announcement = worker.announcement()
                    name = worker.name
                connection.request("PUT", f"/-/instances/{name}", json.dumps(announcement))
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass  # The agent is down. The next announcement carries the same state.
            finally:
                connection.close()
            time.sleep(0.3)

    def random_process(self):
        role = self.rng.choice(("entry", "agent"))
        return role, self.rng.randrange(ENTRIES if role == "entry" else AGENTS)

    def kill(self):
        role, index = self.random_process()
        self.log_event(f"kill {role}-{index}")
        self.processes.signal_and_wait(role, index, signal.SIGKILL)
        time.sleep(self.rng.uniform(0.1, 1.0))
        self.processes.start(role, index)

    def pause(self):
        role, index = self.random_process()
        duration_s = self.rng.uniform(0.1, 2.5)
        self.log_event(f"pause {role}-{index} for {duration_s:.2f} s")
        self.processes.send_signal(role, index, signal.SIGSTOP)
        time.sleep(duration_s)
        self.processes.send_signal(role, index, signal.SIGCONT)

    def roll(self):
        """Restarts processes one after the other with SIGTERM, as a rolling update does."""
        for _ in range(self.rng.randint(1, 3)):
            role, index = self.random_process()
            self.log_event(f"stop {role}-{index}")
            if role == "entry":
                self.stopping_entries[index] = time.monotonic()
            status = self.processes.signal_and_wait(role, index, signal.SIGTERM)
            if status != 0:
                self.report_violation(f"{role}-{index} did not exit with status 0 after SIGTERM: {status}")
            self.processes.start(role, index)
            time.sleep(self.rng.uniform(0.5, 1.5))
            if role == "entry":
                self.stopping_entries.pop(index, None)

    def disturb_links(self):
        proxy = self.rng.choice(self.peer_proxies + self.worker_proxies + [self.store_proxy])
        disturbance = self.rng.choice(("delay", "hold", "silence", "reset"))
        directions = self.rng.choice((("to_caller",), ("to_server",),
                                         ("to_caller", "to_server")))
        self.log_event(f"{disturbance} {directions} at {proxy.server_address}")
        if disturbance == "delay":
            proxy.delay(self.rng.uniform(0.01, 0.3))
        elif disturbance == "hold":
            proxy.hold(directions)
        elif disturbance == "silence":
            proxy.silence(0.5, self.rng)
        else:
            proxy.reset(0.7, self.rng)
        time.sleep(self.rng.uniform(0.2, 3.0))
        proxy.clear_faults()

    def lose_orders(self):
        for worker in self.workers:
            worker.answers_to_lose += self.rng.randint(0, 4)
            worker.starts_to_delay += self.rng.randint(0, 3)
            worker.start_delay_s = self.rng.uniform(1.0, 4.0)
        self.log_event("requests to workers are lost or late")

    def replace_worker(self):
        worker = self.rng.choice(self.workers)
        self.log_event(f"replace {worker.name}")
        worker.start_instance(f"{worker.name[:4]}{int(1000 * time.monotonic()) % 100000}")

    def stall_worker(self):
        worker = self.rng.choice(self.workers)
        self.log_event(f"{worker.name} is stalled")
        worker.stalled = True
        time.sleep(self.rng.uniform(0.3, 2.0))
        worker.stalled = False

    def store_outage(self):
        self.log_event("store down")
        self.store.down = True
        time.sleep(self.rng.uniform(0.3, 3.0))
        if self.rng.random() < 0.5:
            with self.store.changed:
                for lease in list(self.store.leases):
                    self.store.end_lease(lease)
        self.store.down = False

    def change_configuration(self):
        self.log_event("change the configuration")
        self.publish_configuration()

    PLANNED = ("roll", "change_configuration")
    UNPLANNED = ("kill", "pause", "disturb_links", "lose_orders", "replace_worker",
                 "stall_worker", "store_outage")

    def may_start(self, name, running_faults):
        """Whether a fault may run beside the running ones; only one at a time signals processes."""
        signals_processes = {"kill", "pause", "roll"}
        return name not in running_faults and not (
            name in signals_processes and running_faults & signals_processes)

    def run_faults(self, series_index, fault_state):
        """Runs one of two concurrent series of faults; a fault never runs in both at once."""
        self.thread_state.rng = random.Random(f"{self.seed}-faults-{series_index}")
        deadline = time.monotonic() + self.seconds
        while time.monotonic() < deadline:
            planned = self.rng.random() < 0.25
            name = self.rng.choice(self.PLANNED if planned else self.UNPLANNED)
            with fault_state["lock"]:
                if not self.may_start(name, fault_state["running_faults"]):
                    continue
                fault_state["running_faults"].add(name)
            try:
                if not planned:
                    self.last_fault_at = time.monotonic()
                getattr(self, name)()
                if not planned:
                    self.last_fault_at = time.monotonic()
            except Exception as error:  # An error of the soak would end the series unnoticed.
                self.report_violation(f"the fault {name} could not be injected: {error!r}")
            finally:
                with fault_state["lock"]:
                    fault_state["running_faults"].discard(name)
            time.sleep(self.rng.uniform(0.1, 1.5 if planned else 0.8))

    # The run of a seed.

    def eventually(self, condition, text):
        """Reports a violation if the condition does not become true within RECOVERY_LIMIT_S."""
        deadline = time.monotonic() + RECOVERY_LIMIT_S
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.1)
        self.report_violation(text)

    def save_metrics(self):
        """Saves the metrics of each process in a file beside its log."""
        for role, index in list(self.processes.running):
            host = self.host(index) if role == "entry" else f"{self.network}.1"
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

    def request_status(self, entry, method, path, body=None):
        connection = http.client.HTTPConnection(self.host(entry), self.port("callers"), timeout=5)
        try:
            connection.request(method, path, body, {"Host": "desk.example"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def check_recovery(self):
        """Ends the faults, then checks that entries use the newest configuration and jobs complete.

        After the callers stop, all runs must end, and no job that was only refused may have
        started.
        """
        for proxy in self.peer_proxies + self.worker_proxies + [self.store_proxy]:
            proxy.clear_faults()
        for entry in range(ENTRIES):
            self.eventually(
                lambda e=entry: self.request_status(e, "GET", f"/v{self.version}/") == 200,
                f"entry-{entry} does not have the newest configuration")
        served_before = self.served
        self.eventually(lambda: self.served >= served_before + 20,
                        "the fleet does not serve jobs again after the faults")
        if self.violations:
            self.save_metrics()
        self.callers_active = False
        self.eventually(lambda: not any(w.running for w in self.workers),
                        "tasks still run after all callers stopped")
        for job in list(self.jobs.values()):
            refused = job["statuses"] and all(s in (429, 503) for s in job["statuses"])
            if refused and job["started"]:
                self.report_violation(f"refused, though a task of it was started: {job['id']}")

    def run(self):
        threads = []
        try:
            for role, count in (("entry", ENTRIES), ("agent", AGENTS)):
                for index in range(count):
                    self.processes.start(role, index)
            threads = [threading.Thread(target=self.send_announcements, args=(i,))
                       for i in range(AGENTS)]
            threads += [threading.Thread(target=self.run_caller, args=(i, i % ENTRIES))
                        for i in range(ENTRIES * CALLERS_PER_ENTRY)]
            for thread in threads:
                thread.start()
            self.eventually(lambda: self.served >= 10, "the fleet does not start to serve jobs")
            fault_state = {"lock": threading.Lock(), "running_faults": set()}
            series = [threading.Thread(target=self.run_faults, args=(i, fault_state))
                      for i in range(2)]
            for thread in series:
                thread.start()
            for thread in series:
                thread.join()
            self.check_recovery()
        finally:
            self.callers_active = False
            for thread in threads:
                thread.join()
            self.processes.kill_all()
            for proxy in self.peer_proxies + self.worker_proxies + [self.store_proxy]:
                proxy.stop()
            for server in self.workers + [self.store]:
                server.shutdown()
                server.server_close()
        return self.violations


def run_seed(seed, seconds, slot, keep):
    """Runs one seed and returns its violations and the counts of jobs, served jobs and events."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, slot, folder)
        violations = soak.run()
        if violations and keep:
            seed_folder = pathlib.Path(keep) / f"seed-{seed}"
            shutil.copytree(folder, seed_folder, dirs_exist_ok=True)
            (seed_folder / "events.txt").write_text("\n".join(soak.events) + "\n",
                                                    encoding="utf-8")
        return violations, len(soak.jobs), soak.served, len(soak.events)


def run_seed_in_subprocess(seed, options, slot):
    """Runs one seed in a separate process, prints its output and returns whether it passed."""
    command = [sys.executable, __file__, "--first-seed", str(seed), "--seconds",
               str(options.seconds), "--slot", str(slot), "--keep", options.keep]
    process = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    print("\n".join(process.stdout.splitlines()[:-1]), flush=True)
    return process.returncode == 0


def regression_seeds():
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--slot", type=int, default=0,
                        help="selects addresses and ports, so that parallel fleets do not collide")
    parser.add_argument("--keep", default="", help="folder for the logs of failed seeds")
    parser.add_argument("--regressions", action="store_true",
                        help="run the seeds of regressions.txt, which failed in the past")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    if options.regressions:
        seeds = regression_seeds()
    if len(seeds) == 1:
        violations, jobs, served, events = run_seed(seeds[0], options.seconds, options.slot,
                                                    options.keep)
        for violation in violations:
            print(f"seed {seeds[0]}: VIOLATION {violation}")
        print(f"seed {seeds[0]}: {jobs} jobs, {served} served, {events} events, "
              f"{len(violations)} violations")
        passed = 0 if violations else 1
    else:
        slots = [options.slot + i for i in range(options.jobs)]
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            def run_one(seed):
                slot = slots.pop()
                try:
                    return run_seed_in_subprocess(seed, options, slot)
                finally:
                    slots.append(slot)
            passed = sum(pool.map(run_one, seeds))
    print(f"{passed} passed, {len(seeds) - passed} failed")
    return 0 if passed == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
