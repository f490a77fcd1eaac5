#!/usr/bin/env python3
"""Measures the performance figures that have a target in report.py, mostly with real processes, and
writes build/bench/results.json and build/bench/report.html. --quick runs shorter traces and fewer
fleets."""
import argparse
import json
import pathlib
import subprocess
import threading
import time

import fleet as fleets
import trace as traces
from report import write_report
from silent_proxy import SilentProxy

OUTPUT_DIR = fleets.BUILD / "bench"
DECLARATIONS = """
services:
  - {name: clearing, max_queued_tasks: 1000000}
selectors:
  - {name: stop-orders, work: "kind=stop-order", urgency: 9}
  - {name: bulk, work: "kind=bulk", urgency: 0}
teams:
  - {name: buyers, weight: 1}
  - {name: flood, weight: 1, max_queued_tasks: 4000}
"""
STRATEGIES = ("earliest_finish", "least_outstanding", "round_robin", "random")


def complete_times(lines, team=None):
    return {line["id"]: line["response_ms"] for line in lines
            if line["outcome"] == "complete" and team in (None, line["team"])}


def measure_response(results, seconds, quick):
    """Replays one trace with each placement strategy, on a new fleet each time, and compares the
    response times with the ideal ones."""
    jobs = traces.generate_jobs(1, seconds, 0.7)
    warm_up_trace = traces.write_trace(traces.generate_jobs(2, 5, 0.6, prefix="w"),
                                       OUTPUT_DIR / "warm.trace")
    path = traces.write_trace(jobs, OUTPUT_DIR / "response.trace")
    ideal = traces.ideal_response_times(jobs)
    times = {}
    for strategy in STRATEGIES[:2] if quick else STRATEGIES:
        with fleets.Fleet(entry_options={"placement": strategy}) as fleet:
            # Only these two are compared with each other, and both start after the same warm-up.
            # The other strategies learn nothing from a warm-up.
            if strategy in STRATEGIES[:2]:
                fleet.run_trace(warm_up_trace, "warm")
            before = (fleet.total_messages_sent(),
                      fleet.sum_counter("entry", "messages_wasted_total") +
                      fleet.sum_counter("agent", "agent_offers_unused_total"))
            times[strategy] = complete_times(fleet.run_trace(path, strategy))
            sent = fleet.total_messages_sent() - before[0]
            wasted = fleet.sum_counter("entry", "messages_wasted_total") + fleet.sum_counter(
                "agent", "agent_offers_unused_total") - before[1]
            if strategy == STRATEGIES[0]:
                results["messages.per_task"] = sent / sum(len(job["tasks"]) for job in jobs)
                results["messages.wasted_share"] = wasted / sent
    for share in (0.5, 0.99):
        key = f"p{int(share * 100)}"
        ideal_ms = traces.quantile(ideal.values(), share)
        for strategy, measured in times.items():
            results[f"response.{strategy}.{key}_ms"] = traces.quantile(measured.values(), share)
        results[f"response.{key}_vs_ideal"] = (
            results[f"response.earliest_finish.{key}_ms"] / ideal_ms)
        results[f"response.ideal.{key}_ms"] = ideal_ms
    results["response.complete_share"] = len(times[STRATEGIES[0]]) / len(jobs)
    results["response.p99_vs_least_outstanding"] = (
        results["response.earliest_finish.p99_ms"] / results["response.least_outstanding.p99_ms"])
    return {"ideal": ideal, **times}


def measure_flood(results, name, kind, seconds):
    """Compares the jobs of one team before and during an overload in which another team submits ten
    times the work that the fleet can do."""
    before = traces.generate_jobs(3, seconds, 0.3, max_tasks=20, prefix=f"{name}-before")
    during = traces.generate_jobs(3, seconds, 0.3, max_tasks=20, prefix=f"{name}-during")
    flood = traces.generate_jobs(4, seconds, 10.0, team="flood", kind=kind, prefix=f"{name}-flood")
    for job in flood:
        job["deadline_ms"] = 4000
    with fleets.Fleet() as fleet:
        fleet.run_trace(traces.write_trace(traces.generate_jobs(2, 6, 0.5, prefix="w"),
                                           OUTPUT_DIR / "warm.trace"), "warm")
        baseline = fleet.run_trace(traces.write_trace(before, OUTPUT_DIR / "before.trace"),
                                   f"{name}-before")
        during_flood = fleet.run_trace(
            traces.write_trace(during + flood, OUTPUT_DIR / "flood.trace"), f"{name}-during")
    baseline_times = complete_times(baseline)
    flood_times = complete_times(during_flood, "buyers")
    results[f"flood.{name}.kept_goodput"] = len(flood_times) / max(1, len(baseline_times))
    results[f"flood.{name}.kept_p99"] = (traces.quantile(flood_times.values(), 0.99) /
                                         traces.quantile(baseline_times.values(), 0.99))


def measure_black_hole(results, seconds):
    """Measures the share of jobs lost after one worker starts to fail every task at 3 s."""
    jobs = traces.generate_jobs(5, seconds + 3, 0.5, max_tasks=1, prefix="hole")
    with fleets.Fleet() as fleet:
        fleet.run_trace(traces.write_trace(traces.generate_jobs(2, 6, 0.5, prefix="w"),
                                           OUTPUT_DIR / "warm.trace"), "warm")
        backend = fleet.http_addresses("backend")[0]
        timer = threading.Timer(3.0, fleets.http, ("PUT", backend, "/mode", "fail"))
        timer.start()
        lines = fleet.run_trace(traces.write_trace(jobs, OUTPUT_DIR / "hole.trace"), "hole")
    # No other fault is injected, so that worker caused every job that did not complete.
    after = [line for line in lines if line["at_ms"] > 3000]
    results["faults.black_hole_lost_share"] = sum(
        line["outcome"] != "complete" for line in lines) / max(1, len(after))


def measure_silent_connections(results, rounds):
    """Measures the time from the moment the only connection to the only worker stops delivering
    data to the next answer."""
    durations_ms = []
    with SilentProxy(("127.0.0.1", fleets.FIRST_PORT + 150),
                     ("127.0.0.1", fleets.FIRST_PORT + 100)) as proxy:
        with fleets.Fleet(entries=1, agents=1, relay_offset=50) as fleet:
            for number in range(rounds):
                time.sleep(1)
                proxy.silence_connections()
                start = time.monotonic()
                body = {"service": "clearing", "team": "buyers",
                        "tasks": [{"body": {"ms": 1, "text": ""}}]}
                fleets.http("PUT", fleet.entry_addresses, f"/v1/jobs/silent-{number}",
                            json.dumps(body))
                durations_ms.append((time.monotonic() - start) * 1000)
    results["faults.silent_connection_recovery_ms"] = max(durations_ms)


def measure_config(results, changes):
    """Measures the time from the acceptance of a configuration to its use by every entry and
    worker."""
    durations_ms = []
    with fleets.Fleet() as fleet:
        for change in range(changes):
            path = OUTPUT_DIR / "change.yaml"
            path.write_text(DECLARATIONS + f"# change {change}\n", encoding="utf-8")
            process = subprocess.run([fleets.BUILD / "tarragonlock", "apply", path, "--store",
                                      fleet.store_address, "--json"],
                                     capture_output=True, check=True)
            version = json.loads(process.stdout)["version"]
            start = time.monotonic()
            fleets.wait_until(lambda: all(
                fleets.counters(address)["config_version"] >= version
                for address in fleet.http_addresses("entry")) and all(
                    fleets.counters(address)["agent_config_version"] >= version
                    for address in fleet.http_addresses("agent")), 12)
            durations_ms.append((time.monotonic() - start) * 1000)
    results["config.in_force_p99_ms"] = traces.quantile(durations_ms, 0.99)


def announce_backends(fleet):
    """Announces a backend server to each agent, so that agents report their load."""
    for address in fleet.http_addresses("agent"):
        fleets.http("POST", address, "/v1/announce", json.dumps(
            {"service": "clearing", "address": "127.0.0.1:9", "slots": 8}))


def measure_control(results, sizes, seconds):
    """Measures the resource use of an idle entry at several fleet sizes and extrapolates it
    linearly to 840 agents."""
    points = []
    for size in sizes:
        with fleets.Fleet(entries=3, agents=size, backends=False) as fleet:
            stop = threading.Event()

            def announce_every_second():
                while not stop.is_set():
                    announce_backends(fleet)
                    stop.wait(1.0)
            announcer = threading.Thread(target=announce_every_second)
            announcer.start()
            time.sleep(2)
            entry = next(p for p in fleet.members if p["role"] == "entry")
            agent = next(p for p in fleet.members if p["role"] == "agent")
            first = read_usage(entry, agent, fleet)
            time.sleep(seconds)
            last = read_usage(entry, agent, fleet)
            stop.set()
            announcer.join()
        point = {key: (last[key] - first[key]) / seconds for key in first if key != "mb"}
        points.append({"agents": size, "mb": last["mb"], **point})
    for key, name in (("entry_bytes", "control.entry_bytes_per_s_at_840"),
                      ("cpu", "control.entry_cpu_at_840"), ("mb", "control.entry_mb_at_840")):
        results[name] = extrapolate(points, key, 840)
    results["control.agent_bytes_per_s_at_840"] = max(point["agent_bytes"] for point in points)
    results["config.store_calls_per_s"] = points[-1]["store_calls"]
    results["config.store_calls_slope_per_agent"] = slope(points, "store_calls")
    return points


def read_usage(entry, agent, fleet):
    entry_counters = fleets.counters(entry["http"])
    agent_counters = fleets.counters(agent["http"])
    return {"entry_bytes": entry_counters["link_bytes_sent_total"] +
            entry_counters["link_bytes_received_total"],
            "agent_bytes": agent_counters["agent_link_bytes_sent_total"] +
            agent_counters["agent_link_bytes_received_total"],
            "cpu": fleets.cpu_seconds(entry["pid"]), "mb": fleets.resident_mb(entry["pid"]),
            "store_calls": float(fleets.http("GET", fleet.store_address, "/calls"))}


def slope(points, key):
    mean_x = sum(p["agents"] for p in points) / len(points)
    mean_y = sum(p[key] for p in points) / len(points)
    sum_of_squares = sum((p["agents"] - mean_x) ** 2 for p in points)
    return sum((p["agents"] - mean_x) * (p[key] - mean_y) for p in points) / sum_of_squares


def extrapolate(points, key, agents):
    mean_x = sum(p["agents"] for p in points) / len(points)
    mean_y = sum(p[key] for p in points) / len(points)
    return mean_y + slope(points, key) * (agents - mean_x)


def measure_throughput(results):
    process = subprocess.run([fleets.BUILD / "bench_throughput", "840"], capture_output=True,
                             check=True)
    results["throughput.starts_per_s"] = json.loads(process.stdout)["starts_per_s"]


def measure_faults(results, seeds):
    """Counts the violations that the history checker reports when explore runs the dispatching code
    under random fault schedules."""
    process = subprocess.run([fleets.BUILD / "explore", "--seeds", str(seeds), "--first-seed",
                              "100001"], capture_output=True, text=True, check=False)
    lines = [line for line in process.stdout.splitlines() if "VIOLATION" in line]
    results["faults.entry_kill_double_starts"] = sum("started twice" in line for line in lines)
    results["faults.entry_kill_false_refusals"] = sum("refused" in line for line in lines)
    results["faults.partial_answers"] = sum("partial" in line for line in lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="", help="run only the measurement of this name")
    args = parser.parse_args()
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    fleets.DECLARATIONS_FILE.write_text(DECLARATIONS, encoding="utf-8")
    results, details = {}, {}
    quick = args.quick
    parts = {
        "throughput": lambda: measure_throughput(results),
        "faults": lambda: measure_faults(results, 200 if quick else 2000),
        "response": lambda: details.update(
            times=measure_response(results, 6 if quick else 11, quick)),
        "flood": lambda: [measure_flood(results, name, kind, 7) for name, kind in
                          (("low", "bulk"), ("high", "stop-order"))],
        "hole": lambda: measure_black_hole(results, 10 if quick else 30),
        "silent": lambda: measure_silent_connections(results, 3 if quick else 5),
        "config": lambda: measure_config(results, 3 if quick else 15),
        "control": lambda: details.update(control=measure_control(
            results, (20, 40, 60), 5 if quick else 6)),
    }
    quick_parts = ("throughput", "faults", "response", "silent", "config")
    for name, part in parts.items():
        if args.only and name != args.only or quick and not args.only and name not in quick_parts:
            continue
        start = time.monotonic()
        part()
        print(f"{name}: {time.monotonic() - start:.0f} s", flush=True)
    (OUTPUT_DIR / "results.json").write_text(json.dumps(results, indent=1, sort_keys=True))
    write_report(OUTPUT_DIR / "report.html", results, details)
    for key in sorted(results):
        print(f"{key:<44} {results[key]:.4g}")


if __name__ == "__main__":
    main()
