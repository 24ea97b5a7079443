"""Measures the cost of a daemon without load from callers as the fleet grows, and fits a line through each sweep.

Prints the tables of docs/CAPACITY.md and writes all points and fits as JSON. All rows come from one machine. Under
other load on it, CPU times stay meaningful, while latencies are upper bounds. The script itself uses no random numbers;
the daemons take their jitter from the system's random generator.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import resource
import signal
import socket
import sys
import time
from collections.abc import Callable

import capacity_fit
import capacity_fleet
from capacity_fleet import Cost, Fleet, Host, call

SETTLE_S = 6
INTERVAL_S = 10
EDIT_POLL_S = 0.2
CALL_COUNT_POLL_S = 0.1
GROUPS = 3
VM_SWEEP = [3, 6, 9, 15, 30, 60]
# Fleets with as many groups per VM as the fleet that docs/CAPACITY.md extrapolates to: 950 groups on 550 VMs.
RATIO_SWEEP = [15, 30, 60]
TARGET_VMS = 550
GROUPS_PER_VM = 950 / TARGET_VMS
# Sweeps whose fit includes what grows with the VMs, so that it can be extrapolated to TARGET_VMS.
EXTRAPOLATED_SWEEPS = ["ratio"]
GROUP_SWEEP = [3, 30, 100, 300]
GROUP_SWEEP_VMS = 6
GROUP_SWEEP_OTHER_VMS = 3
CONNECTION_SWEEP = [100, 1000, 5000, 20000]
EDIT_SWEEP = [0, 60, 600]
RESERVED_FILES = 200
FAILURE_RUN_VMS = 30
FITTED_FIGURES = ["cpu_percent", "rss_mb", "bytes_s", "messages_s", "beat_bytes_s", "promise_bytes_s",
                  "objects_bytes_s", "probe_bytes_s", "platform_bytes_s"]
Point = dict[str, object]


def mean_and_maximum(costs: list[Cost]) -> Point:
    """Returns each figure's mean over the daemons, the maximum of CPU, memory and bytes, and the means of relays and of
    other VMs."""
    rows = [cost.values() for cost in costs]
    point: Point = {name: sum(row[name] for row in rows) / len(rows) for name in rows[0]}
    for name in ("cpu_percent", "rss_mb", "bytes_s"):
        point[f"most_{name}"] = max(row[name] for row in rows)
    for role, is_relay in (("relay", True), ("ordinary", False)):
        matching_rows = [cost.values() for cost in costs if cost.relay == is_relay]
        for name in ("cpu_percent", "bytes_s", "messages_s") if matching_rows else ():
            point[f"{role}_{name}"] = sum(row[name] for row in matching_rows) / len(matching_rows)
    return point


def calls_per_second(before: dict[str, int], after: dict[str, int], elapsed_s: float) -> Point:
    """Returns the platform's calls per second, by kind."""
    return {f"platform_{kind}_s": (after[kind] - before[kind]) / elapsed_s for kind in ("reads", "writes", "watches")}


def measure_interval(fleet: Fleet, during: Callable[[float], None] = time.sleep) -> tuple[list[Cost], Point]:
    """Measures the daemons' costs and the platform's call rates while `during` runs for INTERVAL_S."""
    calls, start_s = fleet.platform_calls(), time.monotonic()
    before = fleet.samples()
    during(INTERVAL_S)
    costs = fleet.costs(before)
    return costs, calls_per_second(calls, fleet.platform_calls(), time.monotonic() - start_s)


def sweep_vms(host: Host) -> list[Point]:
    """Measures fleets of several sizes with the same number of groups."""
    return measure_fleets(host, {size: GROUPS for size in VM_SWEEP})


def sweep_ratio(host: Host) -> list[Point]:
    """Measures fleets whose number of groups grows with the number of VMs."""
    return measure_fleets(host, {size: round(size * GROUPS_PER_VM) for size in RATIO_SWEEP})


def measure_fleets(host: Host, groups_by_size: dict[int, int]) -> list[Point]:
    """Measures one fleet after the other; `groups_by_size` gives the groups for each number of VMs."""
    points = []
    for size, groups in groups_by_size.items():
        with Fleet(host, size, groups) as fleet:
            ready_s = fleet.start()
            time.sleep(SETTLE_S)
            costs, calls = measure_interval(fleet)
            points.append({"size": size, "groups": groups, "ready_s": ready_s, **mean_and_maximum(costs), **calls})
        print_point(points[-1])
    return points


def sweep_groups(host: Host) -> list[Point]:
    """Measures a growing number of groups: at VMs that lead and witness them, and at VMs of another region, which only
    know of them."""
    points = []
    for size in GROUP_SWEEP:
        with Fleet(host, GROUP_SWEEP_VMS, size, GROUP_SWEEP_OTHER_VMS) as fleet:
            ready_s = fleet.start()
            time.sleep(SETTLE_S)
            costs, calls = measure_interval(fleet)
            other = mean_and_maximum(costs[GROUP_SWEEP_VMS:])
            points.append({"size": size, "ready_s": ready_s, **mean_and_maximum(costs[:GROUP_SWEEP_VMS]), **calls,
                           **{f"knowing_{name}": value for name, value in other.items()}})
        print_point(points[-1])
    return points


def open_idle(port: int, count: int, source: str) -> list[socket.socket]:
    """Opens callers' connections from a source address; each is idle after one answered request."""
    connections = []
    for _ in range(count):
        connection = socket.create_connection(("127.0.0.1", port), 10, (source, 0))
        connection.sendall(b"POST /v1/none HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        connection.recv(1024)
        connections.append(connection)
    return connections


def sweep_connections(host: Host) -> list[Point]:
    """Measures a growing number of idle callers' connections at one of three VMs."""
    points = []
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1] - RESERVED_FILES
    for number, size in enumerate(min(wanted, limit) for wanted in CONNECTION_SWEEP):
        with Fleet(host, 3, GROUPS) as fleet:
            fleet.start()
            connections = open_idle(fleet.vms[0].callers, size, f"127.0.1.{number + 1}")
            time.sleep(SETTLE_S)
            costs, _ = measure_interval(fleet)
            points.append({"size": size, **mean_and_maximum(costs[:1])})
            for connection in connections:
                connection.close()
        print_point(points[-1])
    return points


@dataclasses.dataclass
class EditTimes:
    """Pending edits by version with their start times, and how long the others took to be in force at every VM."""

    pending: dict[int, float] = dataclasses.field(default_factory=dict)
    took_s: list[float] = dataclasses.field(default_factory=list)

    def poll(self, fleet: Fleet) -> None:
        """Records the times of the edits that have reached every VM."""
        with concurrent.futures.ThreadPoolExecutor(len(fleet.vms)) as pool:
            statuses = pool.map(lambda vm: call(vm.operators, "GET", "/v1/status"), fleet.vms)
        reached = min(status["complete_through"] for status in statuses)
        now = time.monotonic()
        for version in [version for version in self.pending if version <= reached]:
            self.took_s.append(now - self.pending.pop(version))


def edit_labels(fleet: Fleet, per_minute: int, times: EditTimes, seconds: float) -> None:
    """Edits labels through the VMs in turn, `per_minute` times a minute, and polls which edits are in force."""
    start_s = time.monotonic()
    next_poll, edits = start_s, 0
    while time.monotonic() < start_s + seconds:
        now = time.monotonic()
        if per_minute and now >= start_s + edits * 60 / per_minute:
            edits += 1
            vm = fleet.vms[edits % len(fleet.vms)]
            answer = call(vm.operators, "PUT", f"/v1/objects/labels/label-{edits % 20}",
                          {"value": {"kinds": [f"kind-{edits}"], "labels": {"rank": "normal"}}})
            times.pending[answer["version"]] = now
        if now >= next_poll:
            next_poll = now + EDIT_POLL_S
            times.poll(fleet)
        time.sleep(0.005)


def sweep_edits(host: Host) -> list[Point]:
    """Measures nine VMs while labels are edited at several rates."""
    points = []
    with Fleet(host, 9, GROUPS) as fleet:
        fleet.start()
        time.sleep(SETTLE_S)
        for size in EDIT_SWEEP:
            times = EditTimes()
            costs, calls = measure_interval(
                fleet, lambda seconds, size=size, times=times: edit_labels(fleet, size, times, seconds))
            edit_labels(fleet, 0, times, 2)
            took = sorted(times.took_s)
            points.append({"size": size, **mean_and_maximum(costs), **calls, "edits": len(took),
                           "not_in_force": len(times.pending), "in_force_mean_s": sum(took) / max(1, len(took)),
                           "in_force_most_s": took[-1] if took else 0.0})
            print_point(points[-1])
    return points


def follow_platform_calls(fleet: Fleet, seconds: float) -> Point:
    """Polls the platform's call counts; returns each kind's total and its peak within one second."""
    history = [(time.monotonic(), fleet.platform_calls())]
    while history[-1][0] < history[0][0] + seconds:
        time.sleep(CALL_COUNT_POLL_S)
        history.append((time.monotonic(), fleet.platform_calls()))
    result: Point = {}
    for kind in ("reads", "writes", "watches"):
        counts = [(taken_s, calls[kind]) for taken_s, calls in history]
        result[kind] = counts[-1][1] - counts[0][1]
        result[f"{kind}_peak_s"] = max(last - next(count for taken_s, count in counts if taken_s >= end_s - 1.0)
                                       for end_s, last in counts)
    return result


def leaders(fleet: Fleet) -> dict[str, str]:
    """Returns the leader of each group, as the fleet's last VM sees it."""
    return {row["group"]: row["leader"] for row in call(fleet.vms[-1].operators, "GET", "/v1/status")["leaders"]}


def kill_data_centre(fleet: Fleet) -> Point:
    """Kills all VMs of one data centre; returns the time until other VMs lead all groups, and the platform's calls.

    Chooses the data centre whose VMs lead the most groups, apart from that of the fleet's last VM, which reports the
    leaders.
    """
    others = [vm for vm in fleet.vms if vm.data_centre != fleet.vms[-1].data_centre]
    leading_data_centres = [vm.data_centre for name in leaders(fleet).values() for vm in others if vm.name == name]
    lost_data_centre = max(leading_data_centres, key=leading_data_centres.count)
    lost = {vm.name for vm in others if vm.data_centre == lost_data_centre}
    groups = sum(name in lost for name in leaders(fleet).values())
    calls, start_s = fleet.platform_calls(), time.monotonic()
    for vm in fleet.vms:
        if vm.name in lost:
            vm.process.kill()
    while lost & set(leaders(fleet).values()) and time.monotonic() < start_s + 20:
        time.sleep(0.05)
    took_s = time.monotonic() - start_s
    time.sleep(15)
    after = fleet.platform_calls()
    return {"vms_lost": len(lost), "groups_led_by_them": groups, "led_again_s": took_s,
            **{kind: after[kind] - calls[kind] for kind in ("reads", "writes", "watches")}}


def measure_failures(host: Host) -> dict[str, Point]:
    """Measures one fleet at a cold start, in steady state, and after broken watches, a platform outage and the loss of
    a data centre."""
    results: dict[str, Point] = {}
    with Fleet(host, FAILURE_RUN_VMS, FAILURE_RUN_VMS * 2) as fleet, concurrent.futures.ThreadPoolExecutor(1) as pool:
        fleet.start_stand_ins()
        start_s = time.monotonic()
        pending_call_counts = pool.submit(follow_platform_calls, fleet, 12)
        for vm in fleet.vms:
            fleet.start_vm(vm)
        for vm in fleet.vms:
            fleet.await_ready(vm)
        ready_s = time.monotonic() - start_s
        results["cold_start"] = {"ready_s": ready_s, **pending_call_counts.result()}
        time.sleep(SETTLE_S)
        costs, calls = measure_interval(fleet)
        results["steady"] = {**mean_and_maximum(costs), **calls}
        results["watches_broken"] = measure_after_outage(fleet, 0.3)
        results["outage_20_s"] = measure_after_outage(fleet, 20)
        results["data_centre_lost"] = kill_data_centre(fleet)
    return results


def measure_after_outage(fleet: Fleet, seconds: float) -> Point:
    """Takes the platform down for a time; returns its calls after the outage, and the number of leaders that changed
    during it."""
    before = leaders(fleet)
    fleet.set_outage(True)
    time.sleep(seconds)
    changed = sum(before[group] != leader for group, leader in leaders(fleet).items())
    fleet.set_outage(False)
    return {"leaders_changed": changed, **follow_platform_calls(fleet, 8)}


def print_point(point: Point) -> None:
    """Prints one point to standard error as soon as it is measured."""
    print(json.dumps({name: round(value, 3) if isinstance(value, float) else value for name, value in point.items()}),
          file=sys.stderr, flush=True)


def fit_figures(points: list[Point], prefix: str = "") -> dict[str, capacity_fit.Line]:
    """Fits each figure against the size of the points."""
    sizes = [float(point["size"]) for point in points]
    return {name: capacity_fit.fit_line(sizes, [float(point[prefix + name]) for point in points])
            for name in FITTED_FIGURES}


def fit_all(points: dict[str, object]) -> dict[str, dict[str, capacity_fit.Line]]:
    """Fits every sweep that was run. Fleets of up to 9 VMs form a full mesh and are fitted apart from larger ones."""
    fitted = {}
    if "vms" in points:
        fitted["vms, full mesh"] = fit_figures([point for point in points["vms"] if point["size"] <= 9])
        fitted["vms, beyond"] = fit_figures([point for point in points["vms"] if point["size"] > 9])
    if "ratio" in points:
        fitted["ratio"] = fit_figures(points["ratio"])
    if "groups" in points:
        fitted["groups, leading VMs"] = fit_figures(points["groups"])
        fitted["groups, knowing VMs"] = fit_figures(points["groups"], "knowing_")
    for sweep in ("connections", "edits"):
        if sweep in points:
            fitted[sweep] = fit_figures(points[sweep])
    return fitted


def print_tables(points: dict[str, object], fitted: dict[str, dict[str, capacity_fit.Line]]) -> None:
    """Prints the points, the fits and the values extrapolated to TARGET_VMS as tables."""
    for sweep, rows in points.items():
        table_rows = [{"run": name, **row} for name, row in rows.items()] if isinstance(rows, dict) else rows
        header = list(dict.fromkeys(name for row in table_rows for name in row))
        print(f"\n{sweep}\n\n" + capacity_fit.markdown_table(
            header, [[row.get(name, "") for name in header] for row in table_rows]))
    rows = [[sweep, name, line.intercept, line.slope, line.slope_error, line.residual]
            for sweep, lines in fitted.items() for name, line in lines.items()]
    print("\nfits\n\n" + capacity_fit.markdown_table(
        ["sweep", "figure", "intercept", "slope", "error of slope", "residual"], rows))
    rows = [[sweep, name, fitted[sweep][name].value_at(TARGET_VMS), fitted[sweep][name].error_at(TARGET_VMS)]
            for sweep in EXTRAPOLATED_SWEEPS if sweep in fitted for name in FITTED_FIGURES]
    print(f"\nat {TARGET_VMS} VMs\n\n" + capacity_fit.markdown_table(["sweep", "figure", "value", "error"], rows))


SWEEPS: dict[str, Callable[[Host], object]] = {
    "vms": sweep_vms, "ratio": sweep_ratio, "groups": sweep_groups, "connections": sweep_connections,
    "edits": sweep_edits, "bad_days": measure_failures}


def main() -> int:
    """Parses the command line, runs the sweeps and prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default=capacity_fleet.ROOT / "build")
    parser.add_argument("--sweep", action="append", choices=list(SWEEPS),
                        help="run this sweep; may be repeated (default: all sweeps)")
    parser.add_argument("--json", type=pathlib.Path, help="write the points and fits to this file")
    parser.add_argument("--first-port", type=int, default=capacity_fleet.FIRST_PORT)
    arguments = parser.parse_args()
    # Raises SystemExit on SIGTERM, so that the fleet is stopped before this process ends.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    host = Host(arguments.build, arguments.first_port)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    print(f"interval {INTERVAL_S} s after {SETTLE_S} s; limit of open files raised from {soft} to {hard}",
          file=sys.stderr)
    points = {name: SWEEPS[name](host) for name in arguments.sweep or SWEEPS}
    fitted = fit_all(points)
    print_tables(points, fitted)
    if arguments.json:
        lines = {sweep: {name: dataclasses.asdict(line) for name, line in rows.items()}
                 for sweep, rows in fitted.items()}
        arguments.json.write_text(json.dumps({"points": points, "fits": lines}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
