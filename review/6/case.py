"""Fault: agents whose workers turn away their first tasks for some seconds never use them again."""
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import TROUBLE, run_case  # noqa: E402

WORKERS = 3
GREY_S = 3.0
RATE = 10.0         # requests a second
TRAFFIC_S = 40.0


def case(fleet):
    # As on a day of the bench, the traffic starts when the machines have been up for some seconds.
    time.sleep(4)
    results, threads = [], []
    if TROUBLE:
        for i in range(WORKERS):
            fleet.signal(f"worker-{i}", signal.SIGUSR1)
    began = time.monotonic()
    healthy = not TROUBLE
    number = 0
    while time.monotonic() < began + TRAFFIC_S:
        if not healthy and time.monotonic() > began + GREY_S:
            for i in range(WORKERS):
                fleet.signal(f"worker-{i}", signal.SIGUSR2)
            healthy = True
        threads.append(threading.Thread(target=lambda e=number % len(fleet.hosts):
                                        results.append(fleet.submit(e, ms=200))))
        threads[-1].start()
        number += 1
        time.sleep(1 / RATE)
    for thread in threads:
        thread.join()
    served = sum(status == 200 for _, status, _ in results)
    starts = sum(event["event"] == "start" for event in fleet.events())
    text = f"{served} of {len(results)} requests were served, and {starts} tasks were started"
    fleet.log(text)
    print(text)
    return [text] if served == 0 else []


run_case(case, entries=2, agents=WORKERS)
