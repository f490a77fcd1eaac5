"""Helpers of the tests with real processes: a fleet on loopback, HTTP calls to it and checks."""
import contextlib
import json
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
BASE_PORT = 25000
FLEET_FILE = BUILD / "run" / str(BASE_PORT) / "fleet.json"
STORE = f"127.0.0.1:{BASE_PORT}"
ENTRIES = [f"127.0.0.1:{BASE_PORT + 200 + i}" for i in range(3)]
CALL_TIMEOUT_S = 60


def call(method, address, path, body=None):
    """Returns HTTP status and JSON answer of a call, and status 0 if the connection fails."""
    data = body if isinstance(body, bytes) else None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        text = error.read()
        return error.code, json.loads(text) if text else {}
    except OSError:
        return 0, {"outcome": "no connection"}


def processes_with_role(role):
    return [p for p in json.loads(FLEET_FILE.read_text()) if p["role"] == role]


def count_starts(name=""):
    """Returns the number of tasks started by all backend servers, or by the one with this name."""
    total = 0
    for backend in processes_with_role("backend"):
        if name not in ("", backend["name"]):
            continue
        with urllib.request.urlopen(f"http://{backend['http']}/starts", timeout=5) as answer:
            total += int(answer.read())
    return total


def expect(condition, text):
    """Prints the result of a check and ends the test if it failed."""
    print(("ok     " if condition else "FAILED ") + text, flush=True)
    if not condition:
        sys.exit(1)


@contextlib.contextmanager
def running_fleet(agents):
    """Context manager that starts a local fleet and stops it at the end."""
    subprocess.run([ROOT / "tools" / "local_fleet", "up", "--agents", str(agents), "--port",
                    str(BASE_PORT)], check=True)
    try:
        yield
    finally:
        subprocess.run([ROOT / "tools" / "local_fleet", "down", "--port", str(BASE_PORT)],
                       check=True)


def run_control_program(*arguments, check=False):
    """Runs the control program and returns its CompletedProcess, with the output as text."""
    return subprocess.run([BUILD / "tarragonlock", *arguments], check=check, text=True,
                          capture_output=True)


def apply_declarations(path, *arguments, check=False):
    """Applies a file of declarations and waits until it is in force at all entries."""
    return run_control_program("apply", path, "--store", STORE, "--entries", ",".join(ENTRIES),
                               "--wait", *arguments, check=check)
