"""Steady traffic of short jobs, and the share of it that is served."""
import threading
import time

import fleet as f

DEADLINE_MS, RUN_MS, PAUSE_S = 3000, 900, 0.1


class Traffic:
    """One job every PAUSE_S, to the entries in turn; jobs aren't sent again."""

    def __init__(self, fleet):
        self.fleet, self.sent, self.on, self.threads = fleet, [], True, []
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while self.on:
            number = len(self.sent) + 1
            request = {"at": self.fleet.record.now(), "status": None}
            self.sent.append(request)
            thread = threading.Thread(target=self.send, args=(number, request))
            self.threads.append(thread)
            thread.start()
            time.sleep(PAUSE_S)

    def send(self, number, request):
        request["status"] = self.fleet.submit(number % 3, f"{number:016x}", f.job(1, RUN_MS),
                                              DEADLINE_MS)

    def stop(self):
        self.on = False
        time.sleep(2 * PAUSE_S)
        for thread in self.threads:
            thread.join()

    def served(self, begin, end):
        sent = [r for r in self.sent if begin <= r["at"] < end]
        return sum(r["status"] == 200 for r in sent), len(sent)
