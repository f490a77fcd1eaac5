"""Jobs require a kind of worker whose name is "service"; workers of another kind stand beside it."""
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from fleet import Fleet, guarded, trouble  # noqa: E402

KIND = "service" if trouble() else "a"
OTHER_KIND = "b"
JOBS = 10


def main():
    fleet = Fleet(FOLDER, entries=2, agents=2, labels=[[KIND, "r1-1"], [OTHER_KIND, "r1-2"]])

    def check(worker, task):
        job, _, step, _ = task.split(".")
        required = fleet.jobs[job]["steps"][int(step)].get("requires")
        if required and required not in worker.labels:
            fleet.record.violation(f"ROUTE: {task} requires {required!r} and starts on "
                                   f"{worker.name}, which has {worker.labels}")

    fleet.on_start = check
    fleet.wait_until_ready()
    callers = [fleet.submit_later(f"{0xe000 + i:016x}", i % 2, 200,
                                  [{"count": 4, "cpu": 900, "requires": KIND}])
               for i in range(JOBS)]
    for caller in callers:
        caller.join(15)
    fleet.finish()


guarded(main)
