#!/usr/bin/env python3
"""Checks that docs/SETTINGS.md lists exactly the keys that the code reads."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]


def keys_in_code():
    text = "".join((ROOT / "src" / "process" / name).read_text(encoding="utf-8")
                   for name in ("settings.cpp", "leased_settings.cpp"))
    parts = re.split(r"result<(\w+)_settings> \w+::parse", text)[1:]
    keys_by_role = {}
    for role, body in zip(parts[::2], parts[1::2]):
        keys = re.search(r"allow_only\(\{(.*?)\}\)", body, re.DOTALL).group(1)
        keys_by_role[role] = set(re.findall(r'"(\w+)"', keys)) - {"log"}
    return keys_by_role


def keys_in_page():
    text = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    keys_by_role = {}
    for role, body in re.findall(r"## ([\w ]+)\n(.*?)(?=\n## |\Z)", text, re.DOTALL):
        cells = [line.split("|")[1] for line in body.splitlines() if line.startswith("| `")]
        keys_by_role[role.lower().replace(" ", "_")] = {
            key for cell in cells for key in re.findall(r"`([\w.*]+)`", cell)
            if not key.startswith("log.")}
    return keys_by_role


def main():
    code, page = keys_in_code(), keys_in_page()
    for role in code:
        difference = code[role] ^ page.get(role, set())
        if difference:
            print(f"{role}: {sorted(difference)} only in the code or only in docs/SETTINGS.md")
            sys.exit(1)
    if not code or any(len(keys) < 5 for keys in code.values()):
        sys.exit("could not extract the settings keys from the code")
    print("docs/SETTINGS.md lists the keys that the code reads")


if __name__ == "__main__":
    main()
