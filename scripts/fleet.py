"""Runs one deployment locally: the platform stand-in, the endpoint stand-ins and the VMs' daemons.

All processes listen on loopback and end when this script ends.
"""

import argparse
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20
# Added to an endpoint's port to get its control port.
CONTROL_PORT_OFFSET = 10000
# Added to an endpoint's port when the fault-injecting proxy listens there instead.
PROXIED_PORT_OFFSET = 20000


class Fleet:
    """The processes of one deployment."""

    def __init__(self, deployment: str, vm_count: int, build: pathlib.Path, extra: list[str]):
        self.folder = ROOT / "deploy" / deployment
        self.build = build
        self.extra = extra
        self.logs = pathlib.Path(tempfile.mkdtemp(prefix="amaranthlane-"))
        self.processes: list[subprocess.Popen] = []
        self.pids: dict[str, int] = {}
        # Time that the endpoint stand-ins take for a statement, in microseconds.
        self.service_us = 1000
        # Replication lag of the instances of each group, in their order; instances beyond the list have none.
        self.replication_lags_ms: list[int] = []
        # Whether connections to endpoints pass through the fault-injecting proxy. Its routes have the endpoints' names.
        self.proxied = False
        self.proxy_control = "127.0.0.1:6999"
        self.objects = json.loads((self.folder / "objects.json").read_text())
        self.vms = json.loads((self.folder / "vms.json").read_text())["vms"][:vm_count]

    def start(self) -> None:
        """Starts all processes and waits until every VM is ready. Raises RuntimeError if a port is already in use."""
        for vm in self.vms:
            host, port = vm["operators"].split(":")
            with socket.socket() as probe:
                if probe.connect_ex((host, int(port))) == 0:
                    raise RuntimeError(f"{vm['operators']} is already in use, possibly by another fleet")
        if self.proxied:
            self.start_proxy()
        self.start_platform()
        for entry in self.objects["objects"]:
            if entry["kind"] == "database_groups":
                self.start_endpoints(entry["value"])
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self.await_ready(vm["operators"])

    def run(self, name: str, *command: str) -> None:
        """Starts one process and writes its output to the logs folder."""
        log = open(self.logs / f"{name}.log", "w", encoding="utf-8")
        process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        self.processes.append(process)
        self.pids[name] = process.pid

    def start_platform(self) -> None:
        """Starts the platform stand-in with the deployment's objects and VMs."""
        vm_entries = [
            {"vm": vm["vm"], "data_centre": vm["data_centre"], "region": vm["region"], "address": vm["peers"],
             "state": "live"}
            for vm in self.vms
        ]
        platform_file = self.logs / "platform.json"
        platform_file.write_text(json.dumps({"objects": self.objects["objects"], "vms": vm_entries}))
        port = self.objects["platform"].split(":")[1]
        self.run("platform", str(self.build / "stand_ins/platform/platform_stand_in"), "--port", port, "--load",
                 str(platform_file))

    def start_proxy(self) -> None:
        """Starts the fault-injecting proxy at the endpoints' addresses; the endpoints move to other ports."""
        command = [str(self.build / "stand_ins/fault_proxy/fault_proxy"), "--control-port",
                   self.proxy_control.split(":")[1]]
        for entry in self.objects["objects"]:
            for instance in entry["value"].get("instances", []):
                port = int(instance["address"].split(":")[1])
                command += ["--route", f"{instance['endpoint']}:{port}:127.0.0.1:{port + PROXIED_PORT_OFFSET}"]
        self.run("proxy", *command)

    def start_endpoints(self, group: dict) -> None:
        """Starts the endpoint stand-ins of one database group."""
        for index, instance in enumerate(group["instances"]):
            port = int(instance["address"].split(":")[1])
            lag_ms = self.replication_lags_ms[index] if index < len(self.replication_lags_ms) else 0
            listen_port = port + (PROXIED_PORT_OFFSET if self.proxied else 0)
            self.run(instance["endpoint"], str(self.build / "stand_ins/endpoint/endpoint_stand_in"), "--name",
                     instance["endpoint"], "--port", str(listen_port), "--control-port",
                     str(port + CONTROL_PORT_OFFSET), "--slots", str(group["slots"]), "--connections",
                     str(group["connections"]), "--service-us", str(self.service_us), "--lag-ms", str(lag_ms))

    def start_vm(self, vm: dict) -> None:
        """Starts the daemon of one VM."""
        command = [str(self.build / "source/daemon/amaranthlaned"), "--settings", str(self.folder / "vm.yaml")]
        for key, name in (("vm", "vm"), ("data_centre", "data_centre"), ("addresses.callers", "callers"),
                          ("addresses.peers", "peers"), ("addresses.operators", "operators")):
            command += ["--set", f"{key}={vm[name]}"]
        self.run(vm["vm"], *command, *self.extra)

    def await_ready(self, address: str) -> None:
        """Waits until the VM is ready. Raises TimeoutError."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                with urllib.request.urlopen(f"http://{address}/ready", timeout=1):
                    return
            except (urllib.error.URLError, OSError):
                time.sleep(0.1)
        raise TimeoutError(f"{address} was not ready within {START_TIMEOUT_S} s; logs in {self.logs}")

    def statements_run(self) -> int:
        """Returns the number of statements that the endpoints have run in total."""
        total = 0
        for entry in self.objects["objects"]:
            for instance in entry["value"].get("instances", []):
                host, port = instance["address"].split(":")
                total += call(f"{host}:{int(port) + CONTROL_PORT_OFFSET}", "GET", "/control/state")[2]["statements_run"]
        return total

    def stop(self) -> None:
        """Kills all processes and waits for their end."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()


def call(address: str, method: str, path: str, body: dict | None = None, headers: dict | None = None) -> tuple:
    """Sends an HTTP request; returns the status, the headers and the parsed JSON body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, answer.headers, json.loads(answer.read())
    except urllib.error.HTTPError as answer:
        return answer.code, answer.headers, json.loads(answer.read())


def demonstrate(fleet: Fleet) -> None:
    """Lodges a certificate through one VM, reads it from a replica through another VM, and prints the read's trace."""
    trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
    first, second = fleet.vms[0]["callers"], fleet.vms[-1]["callers"]
    headers = {"Authorization": "Bearer example-key-maker", "Idempotency-Key": "demonstration-1"}
    _, answer_headers, written = call(
        first, "POST", "/v1/groups/wrap-register-1/statements",
        {"kind": "lodgement", "mode": "write", "statement": {"op": "put", "key": "batch-1", "value": "certified"}},
        headers)
    print(f"lodged through {fleet.vms[0]['vm']}: {json.dumps(written)}")
    headers = {"Authorization": "Bearer example-key-maker", "Session-Token": answer_headers["Session-Token"],
               "traceparent": f"00-{trace_id}-00f067aa0ba902b7-01"}
    _, _, read = call(second, "POST", "/v1/groups/wrap-register-1/statements",
                      {"kind": "lodgement-status", "mode": "read", "statement": {"op": "get", "key": "batch-1"}},
                      headers)
    print(f"read through {fleet.vms[-1]['vm']}: {json.dumps(read)}")
    print("trace of the read:")
    for vm in fleet.vms:
        _, _, traces = call(vm["operators"], "GET", f"/v1/traces?trace_id={trace_id}")
        for span in traces["spans"]:
            print(f"  {span['operation']:8} at {vm['vm']:10} {span['elapsed_us']:6} us  {json.dumps(span['tags'])}")


def main() -> int:
    """Parses the command line and runs the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="register", choices=["register", "rack"])
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--demonstrate", action="store_true",
                        help="lodge and read one certificate in the register's deployment, then stop")
    parser.add_argument("--set", action="append", default=[], metavar="KEY=VALUE",
                        help="override a setting of every VM; may be repeated")
    arguments = parser.parse_args()
    extra = [part for override in arguments.set for part in ("--set", override)]
    fleet = Fleet(arguments.deployment, arguments.vms, arguments.build, extra)
    try:
        fleet.start()
        print(f"{len(fleet.vms)} VMs are ready; logs in {fleet.logs}", flush=True)
        if arguments.demonstrate:
            demonstrate(fleet)
        else:
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
