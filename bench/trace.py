"""Generates traces of jobs and computes the response times of a central queue that has exact run
times."""
import heapq
import json
import math
import random

SLOTS_PER_WORKER = 8
MEAN_SINGLE_MS = 400


def slowness(index, count=11):
    return 4.0 ** (index / (count - 1))


def capacity(workers=11):
    """Milliseconds of work, as measured at slowness 1, that the fleet completes per millisecond."""
    return sum(SLOTS_PER_WORKER / slowness(index, workers) for index in range(workers))


def random_task_ms(rng):
    """Log-uniform from 50 ms to 1 s; 1 % of the tasks are uniform from 2 s to 4 s."""
    if rng.random() < 0.01:
        return rng.uniform(2000, 4000)
    return 50 * math.exp(rng.uniform(0, math.log(20)))


def generate_jobs(seed, seconds, utilization, team="buyers", kind="title-list", max_tasks=180,
                  prefix="b", idempotent=False):
    """Generates jobs of 1 to max_tasks tasks with Poisson arrivals.

    utilization: the offered work as a share of the fleet's capacity."""
    rng = random.Random(seed)
    mean_task_ms = sum(random_task_ms(rng) for _ in range(20000)) / 20000
    task_counts = [int(math.exp(rng.uniform(0, math.log(max_tasks + 0.99)))) for _ in range(20000)]
    mean_task_count = sum(task_counts) / len(task_counts)
    rate = utilization * capacity() / (mean_task_ms * mean_task_count)
    jobs, at_ms = [], 0.0
    while True:
        at_ms += rng.expovariate(rate)
        if at_ms > seconds * 1000:
            return jobs
        tasks = [random_task_ms(rng) for _ in range(int(math.exp(rng.uniform(0, math.log(
            max_tasks + 0.99)))))]
        declared = [max(1, int(ms * math.exp(rng.uniform(-math.log(5), math.log(5)))))
                    for ms in tasks]
        jobs.append({"at_ms": at_ms, "id": f"{prefix}-{seed}-{len(jobs)}", "team": team,
                     "labels": {"kind": kind}, "tasks": tasks, "declared": declared,
                     "idempotent": idempotent, "deadline_ms": 30000})


def write_trace(jobs, path):
    path.write_text("".join(json.dumps(job) + "\n" for job in sorted(
        jobs, key=lambda job: job["at_ms"])), encoding="utf-8")
    return path


def ideal_response_times(jobs, workers=11):
    """Returns the response times in milliseconds, by job id, of a central first-come-first-served
    queue that has the exact run time of each task. Within a job it places the longest task first,
    each on the worker where it finishes earliest."""
    slot_free_at = [[0.0] * SLOTS_PER_WORKER for _ in range(workers)]
    for slots in slot_free_at:
        heapq.heapify(slots)
    response = {}
    for job in sorted(jobs, key=lambda job: job["at_ms"]):
        end = job["at_ms"]
        for ms in sorted(job["tasks"], reverse=True):
            worker = min(range(workers), key=lambda index: max(
                slot_free_at[index][0], job["at_ms"]) + ms * slowness(index, workers))
            finish = max(slot_free_at[worker][0], job["at_ms"]) + ms * slowness(worker, workers)
            heapq.heapreplace(slot_free_at[worker], finish)
            end = max(end, finish)
        response[job["id"]] = end - job["at_ms"]
    return response


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")
