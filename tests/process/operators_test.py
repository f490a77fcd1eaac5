#!/usr/bin/env python3
"""Tests the control program with real processes.

Covers concurrent changes, a lost answer of the store, a store outage and moving a service to other
workers under load.
"""
import concurrent.futures
import pathlib
import re
import tempfile
import threading

from fleet_helpers import (ENTRIES, STORE, apply_declarations, call, count_starts, expect,
                           processes_with_role, run_control_program, running_fleet)

# Exit codes of the control program.
EXIT_DONE, EXIT_CONFLICT, EXIT_UNREACHABLE, EXIT_DIFFERS = 0, 3, 4, 5
TASKS = 4


def declarations(workers, revision=0):
    """Returns declarations that place the service's tasks on the workers matching a selector."""
    return f"""# revision {revision}
services:
  - {{name: clearing}}
selectors:
  - {{name: all, work: "service=clearing", workers: "{workers}", urgency: 5}}
"""


class DeclarationFiles:
    """Writes each version of the declarations to a new file of a directory."""

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
    """Of concurrent changes to one base_version version, one is applied and the others are refused.

    A refused change reports the version in force and the difference to it.
    """
    base_version = printed_version(apply_declarations(files.write("", 1), check=True))
    paths = [files.write("", 10 + i) for i in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        completed = list(pool.map(
            lambda path: apply_declarations(path, "--base", str(base_version)), paths))
    codes = sorted(process.returncode for process in completed)
    expect(codes == [EXIT_DONE, EXIT_CONFLICT, EXIT_CONFLICT, EXIT_CONFLICT],
           f"one of four concurrent changes is applied: {codes}")
    winner = next(process for process in completed if process.returncode == EXIT_DONE)
    losers = [process for process in completed if process.returncode == EXIT_CONFLICT]
    expect(all(printed_version(process) == printed_version(winner)
               and "-# revision" in process.stdout for process in losers),
           "refused changes report the version in force and the difference")


def lost_answer(files):
    """A write takes effect but its answer is lost: apply detects this and does not write twice."""
    # With a second address, the write is repeated there and conflicts with its own effect.
    for revision, store in ((20, STORE), (21, f"{STORE},{STORE}")):
        set_store_fault("lose-write")
        completed = run_control_program("apply", files.write("", revision), "--store", store)
        expect(completed.returncode == EXIT_DONE and "applied" in completed.stdout,
               f"apply succeeds though the answer of its write is lost: {completed.returncode} "
               f"{completed.stdout} {completed.stderr}")
        difference = run_control_program("diff", files.write("", revision), "--store", STORE)
        expect(difference.returncode == EXIT_DONE
               and f"version {printed_version(completed)}:" in difference.stdout,
               "the version that apply printed is in force")


def store_outage(files):
    """An apply during a store outage changes nothing, and jobs still complete."""
    expect(apply_declarations(files.write("", 30)).returncode == EXIT_DONE,
           "apply works before the outage")
    set_store_fault("down")
    during_outage = apply_declarations(files.write("", 31))
    expect(during_outage.returncode == EXIT_UNREACHABLE and during_outage.stderr,
           "apply reports the outage")
    answer = call("PUT", ENTRIES[0], "/v1/jobs/in-outage", job_body("in-outage"))[1]
    expect(answer["outcome"] == "complete", f"a job is complete during the outage: {answer}")
    set_store_fault("none")
    difference = run_control_program("diff", files.write("", 31), "--store", STORE)
    expect(difference.returncode == EXIT_DIFFERS, "nothing was applied during the outage")
    expect(apply_declarations(files.write("", 31)).returncode == EXIT_DONE,
           "apply works after the outage")


def job_body(name):
    return {"service": "clearing", "tasks": [{"body": {"ms": 20, "text": f"{name}/{i}"}}
                                             for i in range(TASKS)]}


class Load:
    """Several callers that each submit one job after the other until stopped."""

    def __init__(self, callers=12):
        self.stop = threading.Event()
        self.answers = []
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(callers)]

    def run(self, caller):
        number = 0
        while not self.stop.is_set():
            name = f"moved-{caller}-{number}"
            answer = call("PUT", ENTRIES[caller % 3], f"/v1/jobs/{name}", job_body(name))[1]
            self.answers.append(answer)
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
        """Waits for this number of further answers."""
        target = len(self.answers) + count
        while len(self.answers) < target and not self.stop.wait(0.01):
            pass


def moving_service(files):
    """Narrows, moves and widens the workers of a service under load.

    No job is lost, and no task starts on an excluded worker once the change is in force.
    """
    total_before = count_starts()
    with Load() as load:
        for workers, outside in (("rack=r0", ("3", "4", "5")), ("rack=r1", ("0", "1", "2")),
                                 ("rack in (r0, r1), worker!=worker-5", ("5",))):
            completed = apply_declarations(files.write(workers, 40))
            expect(completed.returncode == EXIT_DONE,
                   f"the change is in force at all entries: {workers}")
            names = [f"backend-{index}" for index in outside]
            outside_before = [count_starts(name) for name in names]
            load.wait_for(60)
            expect([count_starts(name) for name in names] == outside_before,
                   f"no task starts on an excluded worker once in force: {workers}")
    outcomes = {answer["outcome"] for answer in load.answers}
    expect(outcomes == {"complete"}, f"all of {len(load.answers)} jobs are complete: {outcomes}")
    expect(count_starts() - total_before == len(load.answers) * TASKS, "each task started once")


def main():
    with tempfile.TemporaryDirectory() as directory, running_fleet(6):
        files = DeclarationFiles(directory)
        expect(len(processes_with_role("backend")) == 6, "the fleet has six workers")
        concurrent_operators(files)
        lost_answer(files)
        store_outage(files)
        moving_service(files)


if __name__ == "__main__":
    main()
