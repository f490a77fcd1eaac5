#!/usr/bin/env python3
"""Guards against watches that are never answered and keep old state in use (CONFIG).

A store that is silent for a while drops the calls that it receives meanwhile. A watch among them
has to be opened again soon after the store is back, not at the end of its long wait.
"""
import json
import socket
import time

from leased_fleet_test import (ENTRY_PREFIX, PEER_PORT, ROUTES, STORE_PORT, Fleet, call, eventually,
                               expect, run_checks)
from platform_standins import StoreAddress

SECOND_STORE_PORT = STORE_PORT + 5
SILENCE_S = 3.0
# Shortest contact and configuration times of the deployments together.
IN_FORCE_S = 5.0


class TwoAddressFleet(Fleet):
    """A fleet whose second entry uses an address of the store that the others don't use."""

    def __init__(self, folder):
        super().__init__(folder)
        self.second_address = StoreAddress(self.store, SECOND_STORE_PORT).start()

    def settings(self, role, index):
        lines = super().settings(role, index)
        if (role, index) == ("entry", 1):
            lines = [line.replace(str(STORE_PORT), str(SECOND_STORE_PORT)) for line in lines]
        return lines


def silence_store(fleet):
    """Makes the store silent for SILENCE_S and returns the time when it answers again."""
    fleet.store.silent = True
    fleet.store.drop_watches()
    time.sleep(SILENCE_S)
    fleet.store.silent = False
    return time.monotonic()


def check_configuration(fleet):
    regained = silence_store(fleet)
    changed = json.loads(json.dumps(ROUTES))
    changed["routes"][0]["prefix"] = "/titles/"
    fleet.publish_configuration(changed)
    eventually(lambda: all(call(fleet.entry_address(i), "GET", "/titles/", timeout=1)[0] == 200
                           for i in range(2)),
               "a configuration stored after a silent outage is in force at every entry")
    took_s = time.monotonic() - regained
    expect(took_s <= IN_FORCE_S, f"it is in force within {IN_FORCE_S} s: {took_s:.1f} s")


def check_lost_watch(fleet):
    """The store serves all calls, but has lost the open watches, or their answers are lost."""
    fleet.store.drop_watches()
    lost = time.monotonic()
    fleet.publish_configuration(ROUTES)
    eventually(lambda: all(call(fleet.entry_address(i), "GET", "/lots/", timeout=1)[0] == 200
                           for i in range(2)),
               "a configuration stored after watches were lost is in force at every entry")
    took_s = time.monotonic() - lost
    expect(took_s <= IN_FORCE_S, f"it is in force within {IN_FORCE_S} s: {took_s:.1f} s")


def check_one_entry_without_store(fleet):
    """The store answers one entry only; the other one receives the new version from the agents."""
    fleet.second_address.silent = True
    fleet.store.drop_watches()
    changed = json.loads(json.dumps(ROUTES))
    changed["routes"][0]["prefix"] = "/pallets/"
    fleet.publish_configuration(changed)
    published = time.monotonic()
    eventually(lambda: all(call(fleet.entry_address(i), "GET", "/pallets/", timeout=1)[0] == 200
                           for i in range(2)),
               "a configuration is in force at an entry that the store doesn't answer")
    took_s = time.monotonic() - published
    expect(took_s <= IN_FORCE_S, f"it is in force there within {IN_FORCE_S} s: {took_s:.1f} s")
    fleet.second_address.silent = False


def check_list(fleet):
    regained = silence_store(fleet)
    # An address in the list that the agents do not have from their settings.
    with socket.create_server(("127.0.0.4", PEER_PORT)) as listener:
        fleet.store.put(ENTRY_PREFIX + "third", f"127.0.0.4:{PEER_PORT}".encode())
        listener.settimeout(40)
        listener.accept()[0].close()
        listener.accept()[0].close()
        took_s = time.monotonic() - regained
        fleet.store.delete(ENTRY_PREFIX + "third")
    expect(took_s <= 2 * IN_FORCE_S, f"agents dial a new entry within {2 * IN_FORCE_S} s: {took_s:.1f} s")


if __name__ == "__main__":
    run_checks((check_configuration, check_lost_watch, check_one_entry_without_store, check_list),
               TwoAddressFleet)
