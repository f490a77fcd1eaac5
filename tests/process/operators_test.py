#!/usr/bin/env python3
"""Operators with real processes: races, a lost answer, an outage, a service moved under load."""
import concurrent.futures
import pathlib
import re
import tempfile
import threading

from fleet_helpers import ENTRIES, STORE, apply, call, control, expect, fleet, members, starts

DONE, CONFLICT, UNREACHABLE, DIFFERS = 0, 3, 4, 5
TASKS = 4


def declarations(workers, revision=0):
    """The service's work goes to the workers that the selector names."""
    return f"""# revision {revision}
services:
  - {{name: clearing}}
selectors:
  - {{name: all, work: "service=clearing", workers: "{workers}", urgency: 5}}
"""


class Files:
    """Declarations in a directory of their own."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.count = 0

    def write(self, *arguments):
        self.count += 1
        path = self.directory / f"declarations-{self.count}.yaml"
        path.write_text(declarations(*arguments), encoding="utf-8")
        return path


def version_of(process):
    return int(re.search(r"version (\d+)", process.stdout).group(1))


def fault(mode):
    call("PUT", STORE, "/fault", mode.encode())


def racing_operators(files):
    """Of operators who start from one version one wins; the others are told what is in place."""
    base = version_of(apply(files.write("", 1), check=True))
    paths = [files.write("", 10 + i) for i in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        done = list(pool.map(lambda path: apply(path, "--base", str(base)), paths))
    codes = sorted(process.returncode for process in done)
    expect(codes == [DONE, CONFLICT, CONFLICT, CONFLICT], f"one of four operators wins: {codes}")
    winner = next(process for process in done if process.returncode == DONE)
    losers = [process for process in done if process.returncode == CONFLICT]
    expect(all(version_of(process) == version_of(winner) and "-# revision" in process.stdout
               for process in losers), "losers are told the version in place and the difference")


def lost_answer(files):
    """The write takes effect and its answer is lost: apply finds out and does not write twice."""
    # With a second address the write is repeated there and meets its own effect.
    for revision, store in ((20, STORE), (21, f"{STORE},{STORE}")):
        fault("lose-write")
        done = control("apply", files.write("", revision), "--store", store)
        expect(done.returncode == DONE and "applied" in done.stdout,
               f"a lost answer is resolved: {done.returncode} {done.stdout} {done.stderr}")
        again = control("diff", files.write("", revision), "--store", STORE)
        expect(again.returncode == DONE and f"version {version_of(done)}:" in again.stdout,
               "what was told is in place")


def outage(files):
    """Nothing is half done, and what is in force stays."""
    expect(apply(files.write("", 30)).returncode == DONE, "applied before the outage")
    fault("down")
    during = apply(files.write("", 31))
    expect(during.returncode == UNREACHABLE and during.stderr, "an outage is told")
    answer = call("PUT", ENTRIES[0], "/v1/jobs/in-outage", job("in-outage"))[1]
    expect(answer["outcome"] == "complete", f"work goes on during the outage: {answer}")
    fault("none")
    expect(control("diff", files.write("", 31), "--store", STORE).returncode == DIFFERS,
           "nothing was applied during the outage")
    expect(apply(files.write("", 31)).returncode == DONE, "apply works after the outage")


def job(name):
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
            self.answers.append(call("PUT", ENTRIES[caller % 3], f"/v1/jobs/{name}", job(name))[1])
            number += 1

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def wait_for(self, more):
        goal = len(self.answers) + more
        while len(self.answers) < goal and not self.stop.wait(0.01):
            pass


def moving_service(files):
    """Narrowed, moved and widened under load: nothing is lost, nothing starts outside."""
    before = starts()
    with Load() as load:
        for workers, outside in (("rack=r0", ("3", "4", "5")), ("rack=r1", ("0", "1", "2")),
                                 ("rack in (r0, r1), worker!=worker-5", ("5",))):
            done = apply(files.write(workers, 40))
            expect(done.returncode == DONE, f"in force everywhere: {workers}")
            names = [f"backend-{index}" for index in outside]
            at = [starts(name) for name in names]
            load.wait_for(60)
            expect([starts(name) for name in names] == at,
                   f"nothing starts outside once in force: {workers}")
    outcomes = {answer["outcome"] for answer in load.answers}
    expect(outcomes == {"complete"}, f"nothing is lost in {len(load.answers)} jobs: {outcomes}")
    expect(starts() - before == len(load.answers) * TASKS, "each task started once")


def main():
    with tempfile.TemporaryDirectory() as directory, fleet(6):
        files = Files(directory)
        expect(len(members("backend")) == 6, "six workers")
        racing_operators(files)
        lost_answer(files)
        outage(files)
        moving_service(files)


if __name__ == "__main__":
    main()
