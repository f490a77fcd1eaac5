#!/usr/bin/env python3
"""Tests real processes: duplicate jobs, invalid input, paused agent, killed and stopped entry."""
import concurrent.futures
import os
import signal
import time

from fleet_helpers import (ENTRIES, ROOT, apply_declarations, call, count_starts, expect,
                           processes_with_role, running_fleet)


def job_body(name, tasks, ms=30):
    return {"service": "clearing", "team": "buyers", "labels": {"kind": "title-list"},
            "tasks": [{"body": {"ms": ms, "text": f"{name}/{i}"}} for i in range(tasks)]}


def submit(entry, name, tasks, ms=30):
    return call("PUT", entry, f"/v1/jobs/{name}", job_body(name, tasks, ms))


def has_own_results(answer, name, tasks):
    """Whether an answer holds the results of all tasks of this job, in order."""
    return answer.get("results") == [f"{name}/{i}" for i in range(tasks)]


def duplicate_submissions(pool):
    """Submits each job at all entries at once: all callers get its results, tasks start once."""
    starts_before = count_starts()
    names = [f"crossed-{i}" for i in range(20)]
    calls = [(entry, name) for name in names for entry in ENTRIES]
    answers = list(pool.map(lambda c: (c[1], submit(c[0], c[1], 5)[1]), calls))
    expect(all(has_own_results(answer, name, 5) for name, answer in answers),
           "each caller gets the results of its own job")
    expect(count_starts() - starts_before == len(names) * 5,
           "each task started once for three submissions")


def bad_input():
    body = job_body("bad", 1)
    expect(call("PUT", ENTRIES[0], "/v1/jobs/bad", b"{")[0] == 400, "broken JSON is refused")
    expect(call("PUT", ENTRIES[0], "/v1/jobs/bad", {**body, "tasks": []})[0] == 400,
           "a job without tasks is refused")
    expect(call("PUT", ENTRIES[0], "/v1/jobs/bad", {**body, "service": "x"})[0] == 404,
           "an unknown service is refused")
    expect(call("PUT", ENTRIES[0], "/v1/jobs/a%20b", body)[0] == 400, "an invalid id is refused")
    expect(call("PUT", ENTRIES[0], "/v1/jobs/bad", b"x" * 5_000_000)[0] in (0, 413),
           "a body that is too large is refused")
    answer = call("GET", ENTRIES[0], "/v1/jobs/never-seen")
    expect(answer[0] == 404, f"an unknown id is not found: {answer}")


def killed_entry(pool):
    """Kills an entry with jobs in progress: resubmitted jobs complete without a second start."""
    starts_before = count_starts()
    killed = processes_with_role("entry")[2]
    names = [f"killed-{i}" for i in range(12)]
    first_calls = [pool.submit(submit, ENTRIES[i % 3], name, 4, 400)
                   for i, name in enumerate(names)]
    time.sleep(0.2)
    os.kill(killed["pid"], signal.SIGKILL)
    concurrent.futures.wait(first_calls)
    resubmitted = [submit(ENTRIES[i % 2], name, 4, 400)[1] for i, name in enumerate(names)]
    incomplete = [(n, a) for a, n in zip(resubmitted, names)
                  if a["outcome"] != "complete" or not has_own_results(a, n, 4)]
    expect(not incomplete, f"every job is complete after its entry was killed: {incomplete}")
    expect(count_starts() - starts_before == len(names) * 4, "no task started twice")


def paused_agent(pool):
    """Pauses an agent for longer than the silence limit: jobs complete, no task starts twice."""
    starts_before = count_starts()
    agent = processes_with_role("agent")[0]
    jobs = [pool.submit(submit, ENTRIES[i % 2], f"paused-{i}", 6, 300) for i in range(6)]
    time.sleep(0.15)
    os.kill(agent["pid"], signal.SIGSTOP)
    time.sleep(2)
    os.kill(agent["pid"], signal.SIGCONT)
    answers = [future.result()[1] for future in jobs]
    expect(all(a["outcome"] == "complete" for a in answers),
           f"jobs are complete after a pause: {answers}")
    expect(count_starts() - starts_before == 36, "no task started twice after a pause")


def graceful_stop(pool):
    """Stops an entry with SIGTERM: requests in progress are still answered."""
    jobs = [pool.submit(submit, ENTRIES[1], f"stopped-{i}", 6, 400) for i in range(6)]
    time.sleep(0.2)
    os.kill(processes_with_role("entry")[1]["pid"], signal.SIGTERM)
    answers = [future.result()[1] for future in jobs]
    expect(all(a["outcome"] == "complete" for a in answers),
           f"a planned stop cuts off no request: {answers}")


def main():
    with running_fleet(4):
        apply_declarations(ROOT / "examples" / "clearing.yaml", check=True)
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            duplicate_submissions(pool)
            bad_input()
            paused_agent(pool)
            killed_entry(pool)
            graceful_stop(pool)


if __name__ == "__main__":
    main()
