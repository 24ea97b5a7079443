"""Measures the cost of each path to an endpoint.

Compares a minimal HTTP server (the floor), an endpoint called directly, the VM that leads the group, and another VM
that forwards to the leader. Prints one JSON object. All rows come from one run on one machine.
"""

import argparse
import json
import pathlib
import socket
import subprocess
import sys
import time

import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLOOR_ADDRESS = "127.0.0.1:7990"
GROUP = "wrap-register-1"
IDLE_CONNECTIONS = 2000


def run_benchmark(build: pathlib.Path, name: str, address: str, interface: str, mode: str) -> dict:
    """Runs path_benchmark, a closed-loop measurement, and returns its report."""
    command = [str(build / "benchmarks/path_benchmark"), name, address, interface, mode]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def resident_kb(pid: int) -> int:
    """Returns the resident memory of a process in kB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def idle_connection_kb(address: str, pid: int) -> float:
    """Opens callers' connections, idle after one answered request; returns the daemon's memory for each in kB."""
    host, port = address.split(":")
    before = resident_kb(pid)
    open_sockets = []
    for _ in range(IDLE_CONNECTIONS):
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"POST /v1/none HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        connection.recv(1024)
        open_sockets.append(connection)
    time.sleep(1)
    after = resident_kb(pid)
    for connection in open_sockets:
        connection.close()
    return (after - before) / IDLE_CONNECTIONS


def measure(build: pathlib.Path) -> dict:
    """Starts the fleet and measures all rows of the report."""
    register = fleet.Fleet("register", 3, build, [])
    register.service_us = 0
    floor = subprocess.Popen([str(build / "benchmarks/floor_server"), FLOOR_ADDRESS])
    try:
        register.start()
        leaders = fleet.call(register.vms[0]["operators"], "GET", "/v1/status")[2]["leaders"]
        leader_name = next(row["leader"] for row in leaders if row["group"] == GROUP)
        leader = next(vm for vm in register.vms if vm["vm"] == leader_name)
        other = next(vm for vm in register.vms if vm["vm"] != leader_name)
        group = next(o["value"] for o in register.objects["objects"] if o["name"] == GROUP)
        endpoint = next(i["address"] for i in group["instances"] if i["endpoint"] == group["primary"])
        pid = register.pids[leader_name]
        report = {"floor": run_benchmark(build, "floor", FLOOR_ADDRESS, "floor", "read")}
        for mode in ("read", "write"):
            report[f"endpoint_{mode}"] = run_benchmark(build, "endpoint", endpoint, "endpoint", mode)
            used = cpu_seconds(pid)
            report[f"leader_{mode}"] = run_benchmark(build, "leader", leader["callers"], "caller", mode)
            report[f"leader_{mode}"]["leader_cpu_seconds"] = cpu_seconds(pid) - used
            report[f"other_{mode}"] = run_benchmark(build, "other", other["callers"], "caller", mode)
        report["kb_per_idle_connection"] = idle_connection_kb(leader["callers"], pid)
        return report
    finally:
        floor.kill()
        register.stop()


def main() -> int:
    """Parses the command line and prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    print(json.dumps(measure(parser.parse_args().build), indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
