"""Writes the HTML report of the benchmark: a table that compares each result with its target, and
plots of response times and of control traffic."""
TARGETS = {
    "response.p50_vs_ideal": (1.05, "most"), "response.p99_vs_ideal": (1.5, "most"),
    "response.p99_vs_least_outstanding": (0.7, "most"), "messages.per_task": (1.0, "most"),
    "messages.wasted_share": (0.01, "most"), "flood.low.kept_goodput": (0.99, "least"),
    "flood.high.kept_goodput": (0.99, "least"), "flood.low.kept_p99": (1.2, "most"),
    "flood.high.kept_p99": (1.2, "most"), "faults.black_hole_lost_share": (0.005, "most"),
    "faults.entry_kill_double_starts": (0, "most"),
    "faults.entry_kill_false_refusals": (0, "most"), "faults.partial_answers": (0, "most"),
    "faults.silent_connection_recovery_ms": (1000, "most"),
    "config.in_force_p99_ms": (1000, "most"), "config.store_calls_slope_per_agent": (0, "most"),
    "control.entry_bytes_per_s_at_840": (10000, "most"),
    "control.agent_bytes_per_s_at_840": (10000, "most"),
    "control.entry_cpu_at_840": (0.024, "most"), "control.entry_mb_at_840": (128, "most"),
    "throughput.starts_per_s": (200000, "least"),
}
COLORS = ("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#7f7f7f")
WIDTH, HEIGHT, MARGIN = 640, 260, 40


def polyline(points, max_x, max_y, color):
    text = " ".join(f"{MARGIN + x / max_x * (WIDTH - 2 * MARGIN):.1f},"
                    f"{HEIGHT - MARGIN - y / max_y * (HEIGHT - 2 * MARGIN):.1f}"
                    for x, y in points)
    return f'<polyline points="{text}" fill="none" stroke="{color}" stroke-width="2"/>'


def plot(series, label_x, label_y):
    """Returns an SVG line plot.

    series: lists of (x, y) points by name."""
    max_x = max(x for points in series.values() for x, _ in points) or 1
    max_y = max(y for points in series.values() for _, y in points) or 1
    parts = [f'<svg width="{WIDTH}" height="{HEIGHT + 20 * len(series)}">'
             f'<rect x="{MARGIN}" y="{MARGIN}" width="{WIDTH - 2 * MARGIN}" '
             f'height="{HEIGHT - 2 * MARGIN}" fill="none" stroke="#aaa"/>'
             f'<text x="{MARGIN}" y="{MARGIN - 8}">{label_y}, up to {max_y:.4g}</text>'
             f'<text x="{MARGIN}" y="{HEIGHT - 12}">{label_x}, up to {max_x:.4g}</text>']
    for i, (name, points) in enumerate(series.items()):
        color = COLORS[i % len(COLORS)]
        parts.append(polyline(points, max_x, max_y, color))
        parts.append(f'<text x="{MARGIN}" y="{HEIGHT + 14 + 20 * i}" fill="{color}">{name}</text>')
    return "".join(parts) + "</svg>"


def quantile_points(values):
    ordered = sorted(values)
    return [(i / max(1, len(ordered) - 1), value) for i, value in enumerate(ordered)]


def table_rows(results):
    for key in sorted(set(results) | set(TARGETS)):
        target, bound = TARGETS.get(key, (None, None))
        value = results.get(key)
        if value is None:
            yield f"<tr><td>{key}<td>not run<td>{target}<td></tr>"
            continue
        verdict = "" if target is None else (
            "met" if (value <= target if bound == "most" else value >= target) else "missed")
        color = {"met": "#27ae60", "missed": "#c0392b"}.get(verdict, "#000")
        target_text = "" if target is None else target
        yield (f'<tr><td>{key}<td>{value:.4g}<td>{target_text}<td style="color:{color}">'
               f'{verdict}</tr>')


def write_report(path, results, details):
    plots = ""
    if "times" in details:
        plots += "<h2>Response times</h2>" + plot(
            {name: quantile_points(times.values()) for name, times in details["times"].items()},
            "share of jobs", "milliseconds")
    if "control" in details:
        plots += "<h2>Control traffic of an idle entry</h2>" + plot(
            {"bytes per second": [(p["agents"], p["entry_bytes"]) for p in details["control"]]},
            "agents", "bytes per second")
    path.write_text(
        '<!doctype html><meta charset="utf-8"><title>Benchmark</title>'
        "<style>body{font-family:sans-serif}td,th{padding:3px 12px;text-align:left}</style>"
        "<h1>Benchmark</h1><table><tr><th>Key<th>Value<th>Target<th></tr>" +
        "".join(table_rows(results)) + "</table>" + plots, encoding="utf-8")
