"""RECOVER: workers that were unhealthy for a while are never used again after the processes were killed."""
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import RECOVER_S, TROUBLE, run_case  # noqa: E402

WORKERS = 7
GREY_S = 1.5
RATE = 5.0          # requests a second
AFTER_S = 12.0      # how long requests go on after recover_s


def case(fleet):
    results, threads = [], []
    running = True

    def traffic():
        number = 0
        while running:
            entry = number % len(fleet.hosts)
            thread = threading.Thread(target=lambda e=entry: results.append(fleet.submit(e, ms=200)))
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(1 / RATE)

    source = threading.Thread(target=traffic)
    source.start()
    time.sleep(2)
    for i in range(WORKERS):
        # A job of 3.6 s of work on this worker; its client waits for 1.5 s, as it does on the sites.
        long_job = threading.Thread(target=fleet.submit, args=(i % len(fleet.hosts), 3600),
                                    kwargs={"requires": f"r1-{i}", "estimate_ms": 900})
        long_job.start()
        time.sleep(1.0)
        if TROUBLE:
            fleet.signal(f"worker-{i}", signal.SIGUSR1)
        time.sleep(GREY_S)
        if TROUBLE:
            fleet.signal(f"worker-{i}", signal.SIGUSR2)
        time.sleep(0.7)
        long_job.join()
    time.sleep(3)
    fault_at = time.monotonic()
    fleet.kill(*[n for n in fleet.processes if not n.startswith("worker")])
    time.sleep(0.8)
    for i in range(len(fleet.hosts)):
        fleet.start_entry(i)
    for i in range(WORKERS):
        fleet.start_agent(i)
    back_at = time.monotonic()
    time.sleep(RECOVER_S + AFTER_S)
    running = False
    source.join()
    for thread in threads:
        thread.join()
    before = [status for sent, status, _ in results if sent < fault_at - 1.5]
    after = [status for sent, status, _ in results if sent > back_at + RECOVER_S]
    served_before = sum(s == 200 for s in before) / len(before)
    served_after = sum(s == 200 for s in after) / len(after)
    text = (f"served before the final fault: {served_before:.2f} of {len(before)}; "
            f"later than {RECOVER_S:.0f} s after it: {served_after:.2f} of {len(after)}")
    fleet.log(text)
    print(text)
    return [text] if served_before >= 0.25 and served_after < 0.25 else []


run_case(case, entries=2, agents=WORKERS, labels=[f"a,r1-{i}" for i in range(WORKERS)])
