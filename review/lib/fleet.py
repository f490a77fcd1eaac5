"""A small deployment: entries, agents, workers and a store, each process as the deploy file runs it."""
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import Record, Store, Worker, call

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/tarragonlock-leased"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
SERVICE = "desk"


class CannotRun(Exception):
    pass


def free_ports(hosts, count):
    """Returns ports that are free on every host."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Fleet:
    def __init__(self, case, entries=3, agents=3, capacity=None, labels=None, store_address=None):
        self.case = pathlib.Path(case)
        self.record = Record(self.case / "record.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.entry_hosts = [f"{self.net}.{10 + i}" for i in range(entries)]
        self.agent_hosts = [f"{self.net}.{100 + i}" for i in range(agents)]
        hosts = ["127.0.0.1", *self.entry_hosts, *self.agent_hosts]
        (self.front, self.ready, self.control, self.peer, self.metrics, self.app, self.store_port,
         self.spare) = free_ports(hosts, 8)
        self.store = Store(("127.0.0.1", self.store_port)).start()
        # Address at which the processes meet the store; a test may put a proxy there.
        self.store_address = store_address or f"127.0.0.1:{self.store_port}"
        self.processes = {}
        self.version = 0
        self.workers = []
        for i, host in enumerate(self.agent_hosts):
            self.workers.append(Worker((host, self.app), f"{host}:{self.control}", f"i-{i}", SERVICE,
                                       self.record, capacity[i] if capacity else None,
                                       labels[i] if labels else ["a", f"r1-{i}"]))
        self.publish([route("lots", "/lots/")])

    def publish(self, routes):
        """Writes a configuration as the operator does; the store's answer is the confirmation."""
        self.version += 3
        self.store.put("op/config", json.dumps(
            {"version": self.version, "routes": routes,
             "services": [{"name": SERVICE, "rejects_overload": False}],
             "limits": {}}).encode())
        self.record.add(f"operator: version {self.version} with routes "
                        f"{[r['prefix'] for r in routes]} confirmed")

    def settings(self, role, index):
        """Fills in the keys of deploy/entry.yaml.in and deploy/agent.yaml.in."""
        if role == "entry":
            host = self.entry_hosts[index]
            lines = [f'listen_callers: "{host}:{self.front}"',
                     f'listen_readiness: "{host}:{self.ready}"',
                     f'listen_announcements: "{host}:{self.control}"', "remote_data_factor: 1.5"]
        else:
            host = self.agent_hosts[index]
            hints = ", ".join(f'"{h}:{self.control}"' for h in self.entry_hosts)
            lines = [f'listen_worker: "{host}:{self.control}"', f"entry_hints: [{hints}]",
                     "execution_lease_ms: 1000", "announcement_lifetime_ms: 4500"]
        return [f'name: "{role}-{index}"', 'failure_domain: "bern-lager"', f'host: "{host}"',
                f"peer_port: {self.peer}", f"metrics_port: {self.metrics}",
                f'store: "{self.store_address}"', "caller_resend_ms: 1300", "grace_s: 6", *lines,
                "log:", "  level: info", "  lines_per_second: 20"]

    def start(self, role, index):
        path = pathlib.Path(self.folder.name) / f"{role}-{index}.yaml"
        path.write_text("\n".join(self.settings(role, index)) + "\n", encoding="utf-8")
        log = open(path.with_suffix(".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.processes[role, index] = subprocess.Popen(
            [PROGRAM, role], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={**environment, "TARRAGONLOCK_BOOT": str(path)})
        log.close()

    def signal(self, role, index, number):
        self.record.add(f"{signal.Signals(number).name} to {role}-{index}")
        self.processes[role, index].send_signal(number)

    def kill_and_restart(self, role, index, pause_s):
        self.signal(role, index, signal.SIGKILL)
        self.processes[role, index].wait()
        time.sleep(pause_s)
        self.record.add(f"{role}-{index} starts again")
        self.start(role, index)

    def start_all(self):
        if not (ROOT / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} isn't built")
        for worker in self.workers:
            worker.start()
        for index in range(len(self.entry_hosts)):
            self.start("entry", index)
        for index in range(len(self.agent_hosts)):
            self.start("agent", index)
        self.wait(lambda: all(call(f"{h}:{self.ready}", "GET", "/-/ready", timeout=1)[0] == 200
                              for h in self.entry_hosts), "entries are ready")
        self.wait(lambda: all(self.agents_of(i) == len(self.agent_hosts)
                              for i in range(len(self.entry_hosts))), "agents are connected")
        time.sleep(1.0)

    def metric(self, host, name):
        import http.client
        connection = http.client.HTTPConnection(host, self.metrics, timeout=1)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except OSError:
            return 0
        finally:
            connection.close()
        for line in text.splitlines():
            if line.startswith(f"tarragonlock_{name} "):
                return float(line.split()[1])
        return 0

    def agents_of(self, entry):
        return self.metric(self.entry_hosts[entry], "agents")

    def wait(self, condition, text, limit_s=20):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(text)
            time.sleep(0.05)

    def submit(self, entry, job, body, deadline_ms, prefix="/lots/", who="client"):
        """Sends a job on a new channel and waits for the answer as long as the header says."""
        self.record.add(f"{who}: POST {prefix}{job} to entry-{entry}, deadline {deadline_ms} ms")
        status, answer = call(f"{self.entry_hosts[entry]}:{self.front}", "POST", prefix + job, body,
                              {"Host": HOST, "X-Tarragonlock-Deadline-Ms": str(deadline_ms)},
                              deadline_ms / 1000)
        self.record.add(f"{who}: POST {prefix}{job} at entry-{entry} -> {status or 'no answer'} "
                        f"{answer or ''}")
        return status

    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.folder.name, os.environ["KEEP_LOGS"]], check=False)
        self.folder.cleanup()
        self.record.write()


def route(name, prefix, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeout_ms": 30000,
            "service": SERVICE, "priority": 1, "max_attempts": 3, "stretch": 1.6,
            "target_duration_ms": 60, **more}


def job(tasks, ms, **step):
    return {"spec": json.dumps({"ms": ms}), "best_effort": True,
            "steps": [{"count": tasks, "cpu": 1600, "mem_mb": 64, "estimate_ms": ms, **step}]}


def overlaps(runs):
    """Pairs of runs of one task that were at work at the same time."""
    found = []
    by_task = {}
    for run in runs:
        by_task.setdefault(run["task"], []).append(run)
    for same in by_task.values():
        same.sort(key=lambda r: r["start"])
        for i, one in enumerate(same):
            for other in same[i + 1:]:
                if one["end"] is None or other["start"] < one["end"]:
                    found.append((one, other))
    return found


def main(case, scenario, **options):
    """Runs a scenario; returns the exit status. The scenario returns the broken rules as lines."""
    fleet = None
    # A test that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        fleet = Fleet(case, **options)
        fleet.start_all()
        broken = scenario(fleet)
        for line in broken:
            fleet.record.add("BROKEN " + line)
            print("BROKEN " + line)
        if not broken:
            print("held")
        return BROKEN if broken else HELD
    except CannotRun as error:
        print(f"cannot run: {error}")
        return CANNOT_RUN
    finally:
        if fleet:
            fleet.stop()
