"""Starts fleets of real daemons without load from callers, and measures what each daemon costs.

All processes listen on loopback and are killed when the fleet's context ends. One process serves all endpoint
instances.
"""

import dataclasses
import json
import pathlib
import re
import resource
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_PORT = 23000
# Offsets from the first port.
CALLERS_OFFSET = 100
PEERS_OFFSET = 200
OPERATORS_OFFSET = 300
ENDPOINTS_OFFSET = 1000
ENDPOINTS_CONTROL_OFFSET = 2000
INSTANCES_PER_GROUP = 3
SMALL_FLEET = 9
SMALL_DATA_CENTRES = 3
LARGE_DATA_CENTRES = 8
CLOCK_TICKS_PER_S = 100
PAGE_KB = resource.getpagesize() / 1024
START_TIMEOUT_S = 45
CALL_TIMEOUT_S = 5
REGION = "region-1"
OTHER_REGION = "region-2"
# One object of each kind besides database groups, so that digests have their full length.
OTHER_OBJECTS = [
    {"kind": "callers", "name": "maker", "value": {"key_sha256": ["0" * 64]}},
    {"kind": "labels", "name": "urgent", "value": {"kinds": ["order"], "labels": {"rank": "urgent"}}},
    {"kind": "selectors", "name": "urgent", "value": {"priority": 10,
                                                      "match": [{"key": "kind.rank", "equals": "urgent"}],
                                                      "owes": {"rank": "urgent", "time_limit_ms": 5000}}},
]
WATCHES_LINE = re.compile(r'^amaranthlane_platform_calls_total\{kind="watch"\} (\S+)$', re.MULTILINE)
METRIC_LINE = re.compile(r'^(amaranthlane_control_(?:bytes|messages)_total)\{direction="(\w+)",kind="(\w+)"\} (\S+)$')


def call(port: int, method: str, path: str, body: dict | None = None) -> dict:
    """Sends an HTTP request to a port on loopback; returns the parsed JSON body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        return json.loads(answer.read())


@dataclasses.dataclass
class Host:
    """The build folder with the programs, and the first of the 3000 ports that a fleet may use."""

    build: pathlib.Path
    first_port: int = FIRST_PORT


@dataclasses.dataclass
class Vm:
    """One VM, and its daemon's process."""

    name: str
    data_centre: str
    region: str
    index: int
    first_port: int
    process: subprocess.Popen | None = None

    @property
    def operators(self) -> int:
        """Returns the port of the operators' interface."""
        return self.first_port + OPERATORS_OFFSET + self.index

    @property
    def callers(self) -> int:
        """Returns the port of the callers' interface."""
        return self.first_port + CALLERS_OFFSET + self.index

    @property
    def peers_address(self) -> str:
        """Returns the address of the interface for other VMs."""
        return f"127.0.0.1:{self.first_port + PEERS_OFFSET + self.index}"


@dataclasses.dataclass
class Sample:
    """The resources that a daemon has used so far, read at one point in time."""

    taken_s: float
    cpu_s: float
    rss_kb: float
    # Bytes and messages by kind, sent and received ones added up.
    bytes: dict[str, float]
    messages: dict[str, float]
    # Number of watch calls that the daemon has sent to the platform.
    watches: float = 0.0


@dataclasses.dataclass
class Cost:
    """The resources that a daemon used in an interval."""

    vm: str
    cpu_percent: float
    rss_mb: float
    bytes_s: dict[str, float]
    messages_s: dict[str, float]
    # True if the daemon opened a watch in the interval. A watch without changes lasts as long as the interval, so each
    # relay opens at least one.
    relay: bool

    def values(self) -> dict[str, float]:
        """Returns the figures that are fitted against the size."""
        figures = {"cpu_percent": self.cpu_percent, "rss_mb": self.rss_mb, "bytes_s": sum(self.bytes_s.values()),
                   "messages_s": sum(self.messages_s.values())}
        for kind in ("beat", "promise", "objects", "probe", "platform"):
            figures[f"{kind}_bytes_s"] = self.bytes_s.get(kind, 0.0)
        return figures


def take_sample(vm: Vm) -> Sample:
    """Reads a daemon's CPU time, resident memory and control-message counters."""
    stat = pathlib.Path(f"/proc/{vm.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    sample = Sample(time.monotonic(), (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S, int(stat[21]) * PAGE_KB, {},
                    {})
    with urllib.request.urlopen(f"http://127.0.0.1:{vm.operators}/metrics", timeout=CALL_TIMEOUT_S) as answer:
        text = answer.read().decode()
    watches = WATCHES_LINE.search(text)
    sample.watches = float(watches.group(1)) if watches else 0.0
    for line in text.splitlines():
        match = METRIC_LINE.match(line)
        if match:
            name, _, kind, value = match.groups()
            table = sample.bytes if "bytes" in name else sample.messages
            table[kind] = table.get(kind, 0.0) + float(value)
    return sample


def cost_between(vm: Vm, first: Sample, last: Sample) -> Cost:
    """Returns a daemon's cost between two samples."""
    elapsed_s = last.taken_s - first.taken_s

    def rates(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
        return {kind: (after[kind] - before.get(kind, 0.0)) / elapsed_s for kind in after}

    return Cost(vm.name, 100 * (last.cpu_s - first.cpu_s) / elapsed_s, last.rss_kb / 1024,
                rates(first.bytes, last.bytes), rates(first.messages, last.messages), last.watches > first.watches)


class Fleet:
    """A fleet with `groups` database groups, all in the first region."""

    def __init__(self, host: Host, vm_count: int, groups: int, other_region_vms: int = 0):
        self.host = host
        self.groups = groups
        self.logs = pathlib.Path(tempfile.mkdtemp(prefix="amaranthlane-capacity-"))
        self.processes: list[subprocess.Popen] = []
        data_centre_count = SMALL_DATA_CENTRES if vm_count <= SMALL_FLEET else LARGE_DATA_CENTRES
        self.vms = [Vm(f"vm-{index:02}", f"dc-{index % data_centre_count + 1}", REGION, index, host.first_port)
                    for index in range(vm_count)]
        self.vms += [Vm(f"vm-{index:02}", "dc-other", OTHER_REGION, index, host.first_port)
                     for index in range(vm_count, vm_count + other_region_vms)]

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def start(self) -> float:
        """Starts all processes; returns the seconds from the start of the first daemon until every VM is ready."""
        self.start_stand_ins()
        start_s = time.monotonic()
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self.await_ready(vm)
        return time.monotonic() - start_s

    def start_stand_ins(self) -> None:
        """Starts the stand-ins for the platform and the endpoint instances, and waits until they answer."""
        vm_entries = [{"vm": vm.name, "data_centre": vm.data_centre, "region": vm.region, "address": vm.peers_address,
                   "state": "live"} for vm in self.vms]
        platform_file = self.logs / "platform.json"
        platform_file.write_text(json.dumps({
            "objects": OTHER_OBJECTS + [self.group_object(group) for group in range(self.groups)], "vms": vm_entries}))
        self.run("endpoints", "stand_ins/endpoint/endpoint_stand_in", "--name", "endpoint", "--port",
                 str(self.host.first_port + ENDPOINTS_OFFSET), "--control-port",
                 str(self.host.first_port + ENDPOINTS_CONTROL_OFFSET), "--instances",
                 str(self.groups * INSTANCES_PER_GROUP))
        self.run("platform", "stand_ins/platform/platform_stand_in", "--port", str(self.host.first_port),
                 "--load", str(platform_file))
        self.await_answer(self.host.first_port, "/control/calls")
        for index in range(self.groups * INSTANCES_PER_GROUP):
            self.await_answer(self.host.first_port + ENDPOINTS_OFFSET + index, "/v1/position")

    def group_object(self, group: int) -> dict:
        """Returns the platform object of one database group."""
        first = self.host.first_port + ENDPOINTS_OFFSET
        numbers = [group * INSTANCES_PER_GROUP + place for place in range(INSTANCES_PER_GROUP)]
        instances = [{"endpoint": f"endpoint-{number + 1}", "address": f"127.0.0.1:{first + number}",
                      "data_centre": f"dc-{place + 1}", "state": "live"} for place, number in enumerate(numbers)]
        name = f"group-{group:04}"
        return {"kind": "database_groups", "name": name,
                "value": {"group": name, "region": REGION, "term": 1, "primary": instances[0]["endpoint"],
                          "instances": instances, "slots": 5, "connections": 35}}

    def run(self, name: str, program: str, *arguments: str) -> subprocess.Popen:
        """Starts one process and writes its output to the logs folder."""
        with open(self.logs / f"{name}.log", "w", encoding="utf-8") as log:
            process = subprocess.Popen([str(self.host.build / program), *arguments], stdout=log,
                                       stderr=subprocess.STDOUT)
        self.processes.append(process)
        return process

    def start_vm(self, vm: Vm) -> None:
        """Starts the daemon of one VM."""
        settings = {"vm": vm.name, "data_centre": vm.data_centre, "region": vm.region,
                    "addresses.callers": f"127.0.0.1:{vm.callers}", "addresses.peers": vm.peers_address,
                    "addresses.operators": f"127.0.0.1:{vm.operators}",
                    "addresses.platform": f"127.0.0.1:{self.host.first_port}",
                    "seeds": f"{self.vms[0].peers_address},{self.vms[1].peers_address}",
                    "limits.caller_connections": "20000"}
        overrides = [part for key, value in settings.items() for part in ("--set", f"{key}={value}")]
        vm.process = self.run(vm.name, "source/daemon/amaranthlaned", *overrides)

    def await_ready(self, vm: Vm) -> None:
        """Waits until a VM is ready: every group has a leader in its view. Raises TimeoutError."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                call(vm.operators, "GET", "/ready")
                return
            except (urllib.error.URLError, OSError):
                time.sleep(0.1)
        raise TimeoutError(f"{vm.name} was not ready within {START_TIMEOUT_S} s; logs in {self.logs}")

    def await_answer(self, port: int, path: str) -> None:
        """Waits until a stand-in answers. Raises TimeoutError; at once if a process of the fleet has ended, for example
        because another process has its port."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and all(process.poll() is None for process in self.processes):
            try:
                call(port, "GET", path)
                return
            except (urllib.error.URLError, OSError):
                time.sleep(0.05)
        raise TimeoutError(f"no answer on port {port}: {START_TIMEOUT_S} s have passed or a process of the fleet has "
                           f"ended; logs in {self.logs}")

    def platform_calls(self) -> dict[str, int]:
        """Returns the number of calls that the platform has received, by kind."""
        return call(self.host.first_port, "GET", "/control/calls")

    def set_outage(self, active: bool) -> None:
        """Starts (`active`) or ends an outage of the platform."""
        call(self.host.first_port, "POST", "/control/outage", {"on": active})

    def samples(self) -> list[Sample]:
        """Takes a sample of each daemon."""
        return [take_sample(vm) for vm in self.vms]

    def costs(self, before: list[Sample]) -> list[Cost]:
        """Returns the cost of each daemon since the samples in `before`."""
        return [cost_between(vm, first, take_sample(vm)) for vm, first in zip(self.vms, before)]
