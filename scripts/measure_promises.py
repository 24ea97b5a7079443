"""Measures the write gap at failover, the share of reads served by replicas, and the service by rank under overload.

Each experiment starts a new fleet, runs amaranthload against it with a seeded profile, injects its fault and keeps
the report. Prints one JSON object; docs/MEASUREMENTS.md states which run its figures come from.
"""

import argparse
import json
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from typing import Callable

import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
FAULT_AFTER_S = 3.0
GAP_RUN_MS = 9000
FLOOD_RUN_MS = 12000
FLOOD_SERVICE_US = 50000
REGISTER_GROUPS = ["wrap-register-1", "wrap-register-2", "wrap-register-3"]


def yaml_profile(duration_ms: int, seed: int, groups: list[str], vms: list[str], streams: list[dict], key: str,
                 verify_kind: str) -> str:
    """Returns a profile for amaranthload as JSON, which is valid YAML."""
    return json.dumps({"duration_ms": duration_ms, "seed": seed, "caller_key": key, "groups": groups, "vms": vms,
                       "verify_kind": verify_kind, "connections_per_vm": 512, "streams": streams})


def run_load(build: pathlib.Path, profile: str, inject: Callable[[], None] | None) -> dict:
    """Runs amaranthload, calls `inject` FAULT_AFTER_S after its start, and returns its report."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="amaranthload-"))
    (folder / "profile.yaml").write_text(profile)
    timer = threading.Timer(FAULT_AFTER_S, inject) if inject else None
    command = [str(build / "source/load/amaranthload"), "--profile", str(folder / "profile.yaml"), "--json",
               str(folder / "report.json")]
    if timer:
        timer.start()
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    if timer:
        timer.join()
    if process.returncode not in (0, 1):
        raise RuntimeError(process.stderr)
    return json.loads((folder / "report.json").read_text())


def status_of(running: fleet.Fleet, vm: dict) -> dict:
    """Returns the status page of a VM."""
    return fleet.call(vm["operators"], "GET", "/v1/status")[2]


def leaders(running: fleet.Fleet) -> dict[str, str]:
    """Returns the leader of each group, as the first VM sees it."""
    return {row["group"]: row["leader"] for row in status_of(running, running.vms[0])["leaders"]}


def primaries(running: fleet.Fleet) -> dict[str, str]:
    """Returns the primary of each group, as the group's leader sees it."""
    found = {}
    for vm in running.vms:
        for group in status_of(running, vm)["led_groups"]:
            found[group["group"]] = group["primary"]
    return found


def signal_processes(running: fleet.Fleet, names: set[str], number: int) -> None:
    """Sends a signal to the named processes of the fleet."""
    for process in running.processes:
        if process.pid in {running.pids[name] for name in names}:
            process.send_signal(number)


def set_primary_route_mode(running: fleet.Fleet, mode: str) -> None:
    """Sets the fault proxy's mode on the route to each primary."""
    for endpoint in primaries(running).values():
        fleet.call(running.proxy_control, "POST", f"/control/route/{endpoint}", {"mode": mode})


def kill_one_leader(running: fleet.Fleet) -> None:
    """Kills the VM that leads the first group."""
    signal_processes(running, {leaders(running)["wrap-register-1"]}, signal.SIGKILL)


def kill_leader_and_primary(running: fleet.Fleet) -> None:
    """Kills the leader and the primary of the first group."""
    names = {leaders(running)["wrap-register-1"], primaries(running)["wrap-register-1"]}
    signal_processes(running, names, signal.SIGKILL)


def set_platform_outage(running: fleet.Fleet) -> None:
    """Starts an outage of the platform."""
    fleet.call(running.objects["platform"], "POST", "/control/outage", {"on": True})


# The function that injects each fault, and whether the fault affects all groups or only the first one.
GAP_FAULTS: dict[str, tuple[Callable[[fleet.Fleet], None], bool]] = {
    "none": (lambda running: None, True),
    "primary_killed": (lambda running: signal_processes(running, set(primaries(running).values()), signal.SIGKILL),
                       True),
    "primary_frozen": (lambda running: signal_processes(running, set(primaries(running).values()), signal.SIGSTOP),
                       True),
    "primary_isolated": (lambda running: set_primary_route_mode(running, "freeze"), True),
    "connections_silent": (lambda running: set_primary_route_mode(running, "silent_open"), True),
    "leader_killed": (kill_one_leader, False),
    "leader_and_primary_killed": (kill_leader_and_primary, False),
    "platform_down": (set_platform_outage, True),
}


def measure_gap(build: pathlib.Path, fault: str, trials: int) -> dict:
    """Measures the longest time without an acknowledged write in each group that the fault affects."""
    inject, all_groups = GAP_FAULTS[fault]
    gaps: list[float] = []
    violations = 0
    unknown = 0
    for trial in range(trials):
        running = fleet.Fleet("register", 6, build, [])
        running.proxied = True
        try:
            running.start()
            surviving_addresses = [vm["callers"] for vm in running.vms]
            if not all_groups:
                killed_vm = leaders(running)["wrap-register-1"]
                surviving_addresses = [vm["callers"] for vm in running.vms if vm["vm"] != killed_vm]
            stream = {"kind": "lodgement", "mode": "write", "rank": "urgent", "rate": 300, "time_limit_ms": 8000}
            profile = yaml_profile(GAP_RUN_MS, trial + 1, REGISTER_GROUPS, surviving_addresses, [stream],
                                   "example-key-maker", "unlabelled-read")
            report = run_load(build, profile, lambda: inject(running))
        finally:
            running.stop()
        affected_groups = REGISTER_GROUPS if all_groups else REGISTER_GROUPS[:1]
        gaps += [report["write_gap_ms"][group] for group in affected_groups]
        violations += sum(report["violations"].values())
        unknown += report["streams"][0]["unknown"]
    return {"samples": len(gaps), "median_ms": statistics.median(gaps), "worst_ms": max(gaps), "violations": violations,
            "unknown_outcomes": unknown}


def measure_replica_reads(build: pathlib.Path, seed: int) -> dict:
    """Measures the share of reads that replicas serve with a replication lag of 0 to 3 s."""
    running = fleet.Fleet("rack", 8, build, [])
    running.replication_lags_ms = [0, 1500, 3000]
    try:
        running.start()
        command = [str(build / "source/load/amaranthload"), "--profile", str(ROOT / "deploy/profiles/rack.yaml"),
                   "--seed", str(seed), "--json", str(running.logs / "report.json")]
        subprocess.run(command, capture_output=True, text=True, check=False)
        return json.loads((running.logs / "report.json").read_text())
    finally:
        running.stop()


def flood_streams(flooding: str, factor: float) -> list[dict]:
    """Returns streams of three ranks; the stream `flooding` runs at `factor` times the capacity of its endpoints."""
    slots = 5 * len(REGISTER_GROUPS)
    per_endpoint = slots / (FLOOD_SERVICE_US / 1e6)
    rates = {"lodgement": per_endpoint * 0.2, "finding": per_endpoint * 0.2, "wrap-check": per_endpoint * 0.5}
    # Bulk reads can use the primary and both replicas of a group, writes only the primary.
    rates[flooding] = factor * per_endpoint * (3 if flooding == "wrap-check" else 1)
    return [
        {"kind": "lodgement", "mode": "write", "rank": "urgent", "rate": rates["lodgement"], "time_limit_ms": 2000},
        {"kind": "finding", "mode": "write", "rank": "normal", "rate": rates["finding"], "time_limit_ms": 2000},
        {"kind": "wrap-check", "mode": "read", "rank": "bulk", "rate": rates["wrap-check"], "time_limit_ms": 2000},
    ]


def measure_flood(build: pathlib.Path, policy: str, flooding: str, factor: float) -> dict:
    """Measures the service by rank under a scheduling policy while one kind of statement overloads the endpoints."""
    running = fleet.Fleet("register", 6, build, ["--set", f"scheduling.policy={policy}"])
    running.service_us = FLOOD_SERVICE_US
    try:
        running.start()
        vms = [vm["callers"] for vm in running.vms]
        profile = yaml_profile(FLOOD_RUN_MS, 1, REGISTER_GROUPS, vms, flood_streams(flooding, factor),
                               "example-key-maker", "")
        report = run_load(build, profile, None)
        report["endpoint_statements"] = running.statements_run()
        return report
    finally:
        running.stop()


def main() -> int:
    """Parses the command line and prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--trials", type=int, default=7,
                        help="runs for each fault (default: 7); a fault of all groups gives three samples a run")
    parser.add_argument("--only", choices=["gaps", "reads", "floods"], action="append")
    arguments = parser.parse_args()
    chosen = arguments.only or ["gaps", "reads", "floods"]
    report: dict = {}
    if "gaps" in chosen:
        report["write_gaps"] = {}
        for fault in GAP_FAULTS:
            report["write_gaps"][fault] = measure_gap(arguments.build, fault, arguments.trials)
            print(fault, report["write_gaps"][fault], file=sys.stderr, flush=True)
    if "reads" in chosen:
        report["replica_reads"] = measure_replica_reads(arguments.build, 1)
    if "floods" in chosen:
        report["floods"] = {}
        for policy in ("floors", "strict_priority", "first_come"):
            for flooding, factor in (("wrap-check", 3.0), ("wrap-check", 10.0), ("lodgement", 3.0),
                                     ("lodgement", 10.0)):
                name = f"{policy}/{flooding}/{factor:g}"
                report["floods"][name] = measure_flood(arguments.build, policy, flooding, factor)
                rows = {row["kind"]: (row["sent"], round(row["done_share"], 3))
                        for row in report["floods"][name]["streams"]}
                print(name, rows, file=sys.stderr, flush=True)
    print(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
