"""A frozen entry wakes and starts jobs whose clients have left and have sent them again."""
import pathlib
import signal
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import fleet as f  # noqa: E402

FREEZE_S = 3.5     # node_freeze of the site file
DEADLINE_MS = 1500  # time budget of all kinds of request
RESEND_S = 1.3     # resend_ms
RUN_MS = 900       # pallet-release
JOBS = 10


def client(fleet, number, statuses):
    name, body = f"{number:016x}", f.job(1, RUN_MS)
    status = fleet.submit(0, name, body, DEADLINE_MS)
    if status in (0, 502, 504):
        time.sleep(RESEND_S)
        status = fleet.submit(1 + number % 2, name, body, DEADLINE_MS)
    statuses.append(status)


def scenario(fleet):
    statuses, clients = [], []
    if f.TROUBLE:
        fleet.signal("entry", 0, signal.SIGSTOP)
    frozen_at = time.monotonic()
    time.sleep(0.2)
    for number in range(1, JOBS + 1):
        clients.append(threading.Thread(target=client, args=(fleet, number, statuses)))
        clients[-1].start()
        time.sleep(0.03)
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if f.TROUBLE:
        fleet.signal("entry", 0, signal.SIGCONT)
    for each in clients:
        each.join()
    time.sleep(1.5)
    return [f"TWICE: {one['task']} on {one['worker']} from {one['start']:.3f} to {one['end']:.3f} and"
            f" on {other['worker']} from {other['start']:.3f} to {other['end']:.3f}"
            for one, other in f.overlaps(fleet.runs())]


sys.exit(f.main(CASE, scenario))
