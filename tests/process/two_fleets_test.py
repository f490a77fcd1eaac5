#!/usr/bin/env python3
"""Tests that stopping one of two local fleets of a checkout leaves the other one running."""
import pathlib
import subprocess
import sys
import urllib.request

LOCAL_FLEET = pathlib.Path(__file__).resolve().parents[2] / "tools" / "local_fleet"
PORTS = (31000, 32000)


def run(command, port, *options):
    subprocess.run([LOCAL_FLEET, command, "--port", str(port), *options], check=True)


def serves(port):
    with urllib.request.urlopen(f"http://127.0.0.1:{port + 200}/v1/status", timeout=10) as answer:
        return answer.status == 200


def main():
    ports_up = []
    try:
        for port in PORTS:
            ports_up.append(port)
            run("up", port, "--entries", "1", "--agents", "1")
        run("down", ports_up.pop(0))
        if not serves(PORTS[1]):
            sys.exit("FAILED the second fleet serves after the first one is down")
        print("ok     the second fleet serves after the first one is down")
    finally:
        for port in ports_up:
            run("down", port)


if __name__ == "__main__":
    main()
