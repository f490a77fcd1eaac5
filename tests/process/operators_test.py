#!/usr/bin/env python3
"""Operators with real processes: races, a lost answer, an outage, a service moved under load."""
import concurrent.futures
import pathlib
import re
import tempfile
import threading

from fleet_helpers import ENTRIES, STORE, apply_declarations, call, run_control_program, expect, running_fleet, processes_with_role, count_starts

EXIT_DONE, EXIT_CONFLICT, EXIT_UNREACHABLE, EXIT_DIFFERS = 0, 3, 4, 5
TASKS = 4


def declarations(workers, revision=0):
    """The service's work goes to the workers that the selector names."""
    return f"""# revision {revision}
services:
  - {{name: clearing}}
selectors:
  - {{name: all, work: "service=clearing", workers: "{workers}", urgency: 5}}
"""


class DeclarationFiles:
    """Declarations in a directory of their own."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.count = 0

    def write(self, *arguments):
        self.count += 1
        path = self.directory / f"declarations-{self.count}.yaml"
        path.write_text(declarations(*arguments), encoding="utf-8")
        return path


def printed_version(process):
    return int(re.search(r"version (\d+)", process.stdout).group(1))


def set_store_fault(mode):
    call("PUT", STORE, "/fault", mode.encode())


def concurrent_operators(files):
    """Of operators who start from one version one wins; the others are told what is in place."""
    base_version = printed_version(apply_declarations(files.write("", 1), check=True))
    paths = [files.write("", 10 + i) for i in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        completed = list(pool.map(lambda path: apply_declarations(path, "--base", str(base_version)), paths))
    codes = sorted(process.returncode for process in completed)
    expect(codes == [EXIT_DONE, EXIT_CONFLICT, EXIT_CONFLICT, EXIT_CONFLICT], f"one of four operators wins: {codes}")
    winner = next(process for process in completed if process.returncode == EXIT_DONE)
    losers = [process for process in completed if process.returncode == EXIT_CONFLICT]
    expect(all(printed_version(process) == printed_version(winner) and "-# revision" in process.stdout
               for process in losers), "losers are told the version in place and the difference")


def lost_answer(files):
    """The write takes effect and its answer is lost: apply finds out and does not write twice."""
    # With a second address the write is repeated there and meets its own effect.
    for revision, store in ((20, STORE), (21, f"{STORE},{STORE}")):
        set_store_fault("lose-write")
        completed = run_control_program("apply", files.write("", revision), "--store", store)
        expect(completed.returncode == EXIT_DONE and "applied" in completed.stdout,
               f"a lost answer is resolved: {completed.returncode} {completed.stdout} {completed.stderr}")
        difference = run_control_program("diff", files.write("", revision), "--store", STORE)
        expect(difference.returncode == EXIT_DONE and f"version {printed_version(completed)}:" in difference.stdout,
               "what was told is in place")


def store_outage(files):
    """Nothing is half done, and what is in force stays."""
    expect(apply_declarations(files.write("", 30)).returncode == EXIT_DONE, "applied before the outage")
    set_store_fault("down")
    during_outage = apply_declarations(files.write("", 31))
    expect(during_outage.returncode == EXIT_UNREACHABLE and during_outage.stderr, "an outage is told")
    answer = call("PUT", ENTRIES[0], "/v1/jobs/in-outage", job_body("in-outage"))[1]
    expect(answer["outcome"] == "complete", f"work goes on during the outage: {answer}")
    set_store_fault("none")
    expect(run_control_program("diff", files.write("", 31), "--store", STORE).returncode == EXIT_DIFFERS,
           "nothing was applied during the outage")
    expect(apply_declarations(files.write("", 31)).returncode == EXIT_DONE, "apply works after the outage")


def job_body(name):
    return {"service": "clearing", "tasks": [{"body": {"ms": 20, "text": f"{name}/{i}"}}
                                             for i in range(TASKS)]}


class Load:
    """Jobs one after the other from several callers until stopped."""

    def __init__(self, callers=12):
        self.stop = threading.Event()
        self.answers = []
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(callers)]

    def run(self, caller):
        number = 0
        while not self.stop.is_set():
            name = f"moved-{caller}-{number}"
            self.answers.append(call("PUT", ENTRIES[caller % 3], f"/v1/jobs/{name}", job_body(name))[1])
            number += 1

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def wait_for(self, count):
        target = len(self.answers) + count
        while len(self.answers) < target and not self.stop.wait(0.01):
            pass


def moving_service(files):
    """Narrowed, moved and widened under load: nothing is lost, nothing starts outside."""
    total_before = count_starts()
    with Load() as load:
        for workers, outside in (("rack=r0", ("3", "4", "5")), ("rack=r1", ("0", "1", "2")),
                                 ("rack in (r0, r1), worker!=worker-5", ("5",))):
            completed = apply_declarations(files.write(workers, 40))
            expect(completed.returncode == EXIT_DONE, f"in force everywhere: {workers}")
            names = [f"backend-{index}" for index in outside]
            outside_before = [count_starts(name) for name in names]
            load.wait_for(60)
            expect([count_starts(name) for name in names] == outside_before,
                   f"nothing starts outside once in force: {workers}")
    outcomes = {answer["outcome"] for answer in load.answers}
    expect(outcomes == {"complete"}, f"nothing is lost in {len(load.answers)} jobs: {outcomes}")
    expect(count_starts() - total_before == len(load.answers) * TASKS, "each task started once")


def main():
    with tempfile.TemporaryDirectory() as directory, running_fleet(6):
        files = DeclarationFiles(directory)
        expect(len(processes_with_role("backend")) == 6, "six workers")
        concurrent_operators(files)
        lost_answer(files)
        store_outage(files)
        moving_service(files)


if __name__ == "__main__":
    main()
