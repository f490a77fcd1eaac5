"""Channels of an entry are reset while a task waits because of the limit of its step."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from fleet import Fleet, guarded, trouble  # noqa: E402

JOB = 0xb1
SHARE = 0.55  # of the channels of one of four machines


def main():
    fleet = Fleet(FOLDER, entries=2, agents=2, proxied=True)

    def check(worker, task):
        job, _, step, _ = task.split(".")
        limit = fleet.jobs[job]["steps"][int(step)].get("max_per_server", 0)
        same = sorted(t for t in worker.running if t.rsplit(".", 1)[0] == task.rsplit(".", 1)[0])
        if limit and len(same) > limit:
            fleet.record.violation(f"ROUTE: {worker.name} starts {task}, and runs {same} of a step "
                                   f"with max_per_server {limit}")

    fleet.on_start = check
    fleet.wait_until_ready()
    for round_number in range(3):
        job = f"{JOB + round_number:016x}"
        steps = [{"count": 3, "cpu": 1000, "max_per_server": 1}]
        caller = fleet.submit_later(job, 0, 900, steps)
        if not fleet.wait_for(lambda: all(w.running for w in fleet.workers), 5):
            fleet.record.note("the job did not start on both workers")
            fleet.finish(2)
        time.sleep(0.3)
        if trouble():
            number = fleet.proxies[0].reset_channels(SHARE)
            fleet.record.note(f"{number} channels to entry-0 are reset")
        caller.join(15)
        time.sleep(0.5)
    fleet.finish()


guarded(main)
