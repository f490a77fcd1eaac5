"""Starts and stops entries and agents of leased jobs, each with its own settings file and log."""
import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "build" / "tarragonlock-leased"
WAIT_LIMIT_S = 20


class LeasedProcesses:
    """Running entries and agents, identified by role and index."""

    def __init__(self, folder, settings):
        """Takes the folder for settings and logs.

        settings(role, index) returns the lines of a process's settings file.
        """
        self.folder = pathlib.Path(folder)
        self.settings = settings
        self.running = {}

    def start(self, role, index):
        path = self.folder / f"{role}-{index}.yaml"
        path.write_text("\n".join(self.settings(role, index)) + "\n", encoding="utf-8")
        with (self.folder / f"{role}-{index}.log").open("ab") as log:
            self.running[role, index] = subprocess.Popen([PROGRAM, role, "--settings", path],
                                                         stdout=log, stderr=log)

    def send_signal(self, role, index, signal_number):
        self.running[role, index].send_signal(signal_number)

    def signal_and_wait(self, role, index, signal_number):
        """Sends a signal, waits until the process exits and returns its exit status."""
        process = self.running.pop((role, index))
        process.send_signal(signal_number)
        return process.wait(timeout=WAIT_LIMIT_S)

    def kill_all(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        self.running.clear()
